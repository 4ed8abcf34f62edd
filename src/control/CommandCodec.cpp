#include "include/control/CommandCodec.h"

#include "include/base/Base64.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <optional>
#include <type_traits>

namespace arbutus::control {

using base::ErrorKind;
using base::makeError;
using base::Result;
using rpc::Parameters;

// Reads typed parameters and records the error of the first missing or invalid one.
class ParameterReader {
public:
    explicit ParameterReader(const Parameters& parameters)
        : parameters_(parameters)
    {
    }

    std::string text(const std::string& name)
    {
        auto it = parameters_.find(name);
        if (it != parameters_.end())
            return it->second;
        fail(fmt::format("the parameter {} is missing", name));
        return {};
    }

    std::uint64_t number(const std::string& name)
    {
        std::string value = text(name);
        std::uint64_t number = 0;
        auto [end, code] = std::from_chars(value.data(), value.data() + value.size(), number);
        if (code != std::errc() || end != value.data() + value.size())
            fail(fmt::format("the parameter {} is not a whole number", name));
        return number;
    }

    bool flag(const std::string& name)
    {
        std::string value = text(name);
        if (value != "true" && value != "false")
            fail(fmt::format("the parameter {} is not true or false", name));
        return value == "true";
    }

    std::string bytes(const std::string& name)
    {
        auto decoded = base::fromBase64(text(name));
        if (decoded)
            return std::move(decoded).value();
        fail(fmt::format("the parameter {} is not base64", name));
        return {};
    }

    state::OrderKey order() { return { text("team"), text("service"), text("key") }; }

    state::OrderAnswer answer() { return { static_cast<std::uint32_t>(number("httpStatus")), text("contentType"), bytes("body") }; }

    const std::optional<std::string>& failure() const { return failure_; }

private:
    void fail(std::string reason)
    {
        if (!failure_)
            failure_ = std::move(reason);
    }

    const Parameters& parameters_;
    std::optional<std::string> failure_;
};

static std::string flagText(bool value) { return value ? "true" : "false"; }

static void addOrder(Parameters& parameters, const state::OrderKey& order)
{
    parameters["team"] = order.team;
    parameters["service"] = order.service;
    parameters["key"] = order.key;
}

static void addAnswer(Parameters& parameters, const state::OrderAnswer& answer)
{
    parameters["httpStatus"] = std::to_string(answer.httpStatus);
    parameters["contentType"] = answer.contentType;
    parameters["body"] = base::toBase64(answer.body);
}

static Parameters writeCommand(const state::ApplySheet& command)
{
    return { { "operator", command.operatorName }, { "number", std::to_string(command.operatorNumber) }, { "baseRevision", std::to_string(command.baseRevision) }, { "csv", command.csv } };
}

static void readCommand(ParameterReader& reader, state::ApplySheet& command)
{
    command = { reader.text("operator"), reader.number("number"), reader.number("baseRevision"), reader.text("csv") };
}

static Parameters writeCommand(const state::ClaimOrder& command)
{
    Parameters parameters { { "digest", command.bodyDigest }, { "claim", std::to_string(command.claimNumber) }, { "vm", command.entryVm }, { "incarnation", std::to_string(command.entryIncarnation) } };
    addOrder(parameters, command.order);
    return parameters;
}

static void readCommand(ParameterReader& reader, state::ClaimOrder& command)
{
    command = { reader.order(), reader.text("digest"), reader.number("claim"), reader.text("vm"), reader.number("incarnation") };
}

static Parameters writeCommand(const state::RecordOutcome& command)
{
    Parameters parameters { { "claim", std::to_string(command.claimNumber) }, { "unknown", flagText(command.isUnknown) } };
    addOrder(parameters, command.order);
    addAnswer(parameters, command.answer);
    return parameters;
}

static void readCommand(ParameterReader& reader, state::RecordOutcome& command)
{
    command = { reader.order(), reader.number("claim"), reader.flag("unknown"), reader.answer() };
}

static Parameters writeCommand(const state::CloseClaim& command)
{
    Parameters parameters { { "claim", std::to_string(command.claimNumber) } };
    addOrder(parameters, command.order);
    return parameters;
}

static void readCommand(ParameterReader& reader, state::CloseClaim& command)
{
    command = { reader.order(), reader.number("claim") };
}

static Parameters writeCommand(const state::ResolveOrder& command)
{
    Parameters parameters { { "operator", command.operatorName }, { "didRun", flagText(command.didRun) } };
    addOrder(parameters, command.order);
    addAnswer(parameters, command.answer);
    return parameters;
}

static void readCommand(ParameterReader& reader, state::ResolveOrder& command)
{
    command = { reader.text("operator"), reader.order(), reader.flag("didRun"), reader.answer() };
}

static Parameters writeCommand(const state::DeclareEntryGone& command)
{
    return { { "vm", command.entryVm }, { "incarnation", std::to_string(command.entryIncarnation) } };
}

static void readCommand(ParameterReader& reader, state::DeclareEntryGone& command)
{
    command = { reader.text("vm"), reader.number("incarnation") };
}

static Parameters writeCommand(const state::RecordOrderRefusal& command)
{
    Parameters parameters { { "vm", command.entryVm }, { "kind", std::to_string(command.errorKind) }, { "detail", command.detail } };
    addOrder(parameters, command.order);
    return parameters;
}

static void readCommand(ParameterReader& reader, state::RecordOrderRefusal& command)
{
    command = { reader.order(), reader.text("vm"), static_cast<std::uint32_t>(reader.number("kind")), reader.text("detail") };
}

// Writes one line per count: kind, count, team. The team is last because it may contain
// spaces.
static Parameters writeCommand(const state::RecordRefusals& command)
{
    std::string counts;
    for (const auto& count : command.counts)
        counts += fmt::format("{} {} {}\n", count.errorKind, count.count, count.team);
    return { { "vm", command.entryVm }, { "from", std::to_string(command.from.time_since_epoch().count()) }, { "to", std::to_string(command.to.time_since_epoch().count()) }, { "counts", counts } };
}

static void readCommand(ParameterReader& reader, state::RecordRefusals& command)
{
    command.entryVm = reader.text("vm");
    command.from = base::WallTime(std::chrono::microseconds(reader.number("from")));
    command.to = base::WallTime(std::chrono::microseconds(reader.number("to")));
    std::string counts = reader.text("counts");
    const char* next = counts.data();
    const char* end = next + counts.size();
    while (next < end) {
        state::RefusalCount count;
        auto [afterKind, kindCode] = std::from_chars(next, end, count.errorKind);
        if (kindCode != std::errc() || afterKind == end)
            return;
        auto [afterCount, countCode] = std::from_chars(afterKind + 1, end, count.count);
        if (countCode != std::errc() || afterCount == end)
            return;
        const char* lineEnd = std::find(afterCount, end, '\n');
        count.team.assign(afterCount + 1, lineEnd);
        command.counts.push_back(std::move(count));
        next = lineEnd + 1;
    }
}

static Parameters writeCommand(const state::SetDrain& command)
{
    return { { "operator", command.operatorName }, { "upstream", command.upstream }, { "draining", flagText(command.isDraining) } };
}

static void readCommand(ParameterReader& reader, state::SetDrain& command)
{
    command = { reader.text("operator"), reader.text("upstream"), reader.flag("draining") };
}

static Parameters writeCommand(const state::RecordCrash& command)
{
    return { { "fingerprint", command.fingerprint }, { "upstream", command.upstream }, { "incarnation", std::to_string(command.upstreamIncarnation) }, { "alone", flagText(command.wasSoleSuspect) } };
}

static void readCommand(ParameterReader& reader, state::RecordCrash& command)
{
    command = { reader.text("fingerprint"), reader.text("upstream"), reader.number("incarnation"), reader.flag("alone") };
}

static Parameters writeCommand(const state::ClearCrash& command)
{
    return { { "fingerprint", command.fingerprint }, { "upstream", command.upstream }, { "incarnation", std::to_string(command.upstreamIncarnation) } };
}

static void readCommand(ParameterReader& reader, state::ClearCrash& command)
{
    command = { reader.text("fingerprint"), reader.text("upstream"), reader.number("incarnation") };
}

static Parameters writeCommand(const state::IssueFencingToken& command)
{
    return { { "scope", command.scope }, { "holder", command.holder } };
}

static void readCommand(ParameterReader& reader, state::IssueFencingToken& command)
{
    command = { reader.text("scope"), reader.text("holder") };
}

static Parameters writeCommand(const state::TrimAudit& command)
{
    return { { "operator", command.operatorName }, { "through", std::to_string(command.throughSequence) }, { "digest", command.digest } };
}

static void readCommand(ParameterReader& reader, state::TrimAudit& command)
{
    command = { reader.text("operator"), reader.number("through"), reader.text("digest") };
}

static Parameters writeCommand(const state::ChangeReplicas& command)
{
    return { { "operator", command.operatorName }, { "change", command.change } };
}

static void readCommand(ParameterReader& reader, state::ChangeReplicas& command)
{
    command = { reader.text("operator"), reader.text("change") };
}

static Parameters writeCommand(const state::ReplaceRoutes& command)
{
    return { { "version", std::to_string(command.version) }, { "document", command.document } };
}

static void readCommand(ParameterReader& reader, state::ReplaceRoutes& command)
{
    command = { reader.number("version"), reader.text("document") };
}

static Parameters writeCommand(const state::SetLayerPlan& command)
{
    return { { "revision", std::to_string(command.revision) }, { "plan", base::toBase64(command.plan) } };
}

static void readCommand(ParameterReader& reader, state::SetLayerPlan& command)
{
    command = { reader.number("revision"), reader.bytes("plan") };
}

template <std::size_t Index>
static state::CommandBody readAlternative(ParameterReader& reader)
{
    std::variant_alternative_t<Index, state::CommandBody> command;
    readCommand(reader, command);
    return command;
}

using Reader = state::CommandBody (*)(ParameterReader&);

template <std::size_t... Indices>
static constexpr auto makeReaders(std::index_sequence<Indices...>)
{
    return std::array<Reader, sizeof...(Indices)> { &readAlternative<Indices>... };
}

static constexpr auto readers = makeReaders(std::make_index_sequence<std::variant_size_v<state::CommandBody>>());

template <std::size_t... Indices>
static std::vector<std::string> makeMethods(std::index_sequence<Indices...>)
{
    return { std::string(state::commandName(state::CommandBody(std::in_place_index<Indices>)))... };
}

std::vector<std::string> commandMethods()
{
    return makeMethods(std::make_index_sequence<std::variant_size_v<state::CommandBody>>());
}

std::string methodOf(const state::CommandBody& command) { return std::string(state::commandName(command)); }

Parameters toParameters(const state::CommandBody& command)
{
    return std::visit([](const auto& body) { return writeCommand(body); }, command);
}

Result<state::CommandBody> commandFromParameters(const std::string& method, const Parameters& parameters)
{
    auto methods = commandMethods();
    for (std::size_t i = 0; i < methods.size(); ++i) {
        if (methods[i] != method)
            continue;
        ParameterReader reader(parameters);
        auto command = readers[i](reader);
        if (reader.failure())
            return makeError(ErrorKind::InvalidRequest, *reader.failure());
        return command;
    }
    return makeError(ErrorKind::InvalidRequest, fmt::format("there is no command {}", method));
}

static Parameters writeOutcome(const state::NoCommand&) { return {}; }

static Parameters writeOutcome(const state::Accepted&) { return {}; }

static Parameters writeOutcome(const state::Refusal& refusal)
{
    return { { "kind", std::string(base::errorRule(refusal.kind).name) }, { "kindNumber", std::to_string(static_cast<int>(refusal.kind)) }, { "detail", refusal.detail } };
}

static std::string timeText(base::WallTime time) { return std::to_string(time.time_since_epoch().count()); }

static Parameters acceptanceParameters(const state::SheetAcceptance& acceptance)
{
    return { { "revision", std::to_string(acceptance.revision) }, { "operator", acceptance.operatorName }, { "number", std::to_string(acceptance.operatorNumber) }, { "digest", acceptance.digest }, { "acceptedAt", timeText(acceptance.acceptedAt) } };
}

static Parameters writeOutcome(const state::SheetAccepted& accepted)
{
    auto parameters = acceptanceParameters(accepted.acceptance);
    parameters["isResend"] = flagText(accepted.isResend);
    return parameters;
}

static Parameters writeOutcome(const state::SheetRefused& refused)
{
    Parameters parameters = writeOutcome(refused.refusal);
    std::string problems;
    for (const auto& problem : refused.problems)
        problems += sheet::toString(problem) + "\n";
    std::string differences;
    for (const auto& delta : refused.differences)
        differences += sheet::toString(delta) + "\n";
    parameters["problems"] = problems;
    parameters["differences"] = differences;
    parameters["differenceCount"] = std::to_string(refused.differenceCount);
    if (refused.conflictingAcceptance)
        parameters.merge(acceptanceParameters(*refused.conflictingAcceptance));
    return parameters;
}

static constexpr std::array<std::string_view, 6> claimStatusNames { "granted", "running", "unknown", "answered", "answer-dropped", "closed" };

static Parameters writeOutcome(const state::ClaimReply& reply)
{
    Parameters parameters { { "status", std::string(claimStatusNames[static_cast<std::size_t>(reply.status)]) } };
    if (reply.recorded)
        addAnswer(parameters, reply.recorded->answer);
    return parameters;
}

static Parameters writeOutcome(const state::CrashReply& reply)
{
    return { { "blamed", flagText(reply.isBlamed) }, { "deaths", std::to_string(reply.crashCount) }, { "deathsAlone", std::to_string(reply.soleSuspectCrashCount) } };
}

static Parameters writeOutcome(const state::FencingToken& token) { return { { "number", std::to_string(token.number) } }; }

static Parameters writeOutcome(const state::VersionReply& reply)
{
    return { { "inForce", std::to_string(reply.versionInForce) }, { "adopted", flagText(reply.isAdopted) } };
}

Parameters toParameters(const state::Outcome& outcome)
{
    auto parameters = std::visit([](const auto& alternative) { return writeOutcome(alternative); }, outcome);
    parameters["result"] = std::string(state::resultName(outcome));
    return parameters;
}

Result<void> refusalFromParameters(const Parameters& parameters)
{
    if (!parameters.count("kindNumber"))
        return base::outcome::success();
    ParameterReader reader(parameters);
    auto number = reader.number("kindNumber");
    auto kind = number <= static_cast<std::uint64_t>(ErrorKind::Internal) ? static_cast<ErrorKind>(number) : ErrorKind::Internal;
    return makeError(kind, reader.text("detail"));
}

Result<state::ClaimReply> claimReplyFromParameters(const Parameters& parameters)
{
    BOOST_OUTCOME_TRYV(refusalFromParameters(parameters));
    ParameterReader reader(parameters);
    std::string status = reader.text("status");
    for (std::size_t i = 0; i < claimStatusNames.size(); ++i) {
        if (claimStatusNames[i] != status)
            continue;
        state::ClaimReply reply;
        reply.status = static_cast<state::ClaimStatus>(i);
        if (parameters.count("httpStatus")) {
            reply.recorded.emplace();
            reply.recorded->answer = reader.answer();
        }
        if (!reader.failure())
            return reply;
    }
    return makeError(ErrorKind::Internal, "the reply to the claim is malformed");
}

} // namespace arbutus::control
