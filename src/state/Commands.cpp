#include "include/state/Commands.h"

#include "include/sheet/Sheet.h"
#include "src/state/Unpack.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <optional>

namespace arbutus::state {

static constexpr std::size_t maxNameBytes = 64;
static constexpr std::size_t maxDetailBytes = 1024;
static constexpr std::size_t digestHexDigits = 64;
// Start of the year 2200. A later time indicates a faulty proposer.
static constexpr base::WallTime maxProposalTime { std::chrono::seconds(7'258'118'400) };

// Stored in audit records, so a name stays the same if its type is renamed.
static constexpr std::array<std::string_view, std::variant_size_v<CommandBody>> commandNames {
    "ApplySheet", "ClaimOrder", "RecordOutcome", "CloseClaim", "ResolveOrder", "DeclareEntryGone", "RecordOrderRefusal",
    "RecordRefusals", "SetDrain", "RecordCrash", "ClearCrash", "TakeFencingNumber", "TrimAudit", "ChangeReplicas", "ReplaceRoutes", "SetLayerPlan"
};

std::string toString(const OrderKey& order) { return fmt::format("{}/{}/{}", order.team, order.service, order.key); }

std::string_view commandName(const CommandBody& body) { return commandNames[body.index()]; }

namespace {
// Validates the fields of a command and reports the first invalid one.
class FieldChecker {
public:
    void text(std::string_view name, std::string_view value, std::size_t maxBytes, bool mayBeEmpty = false)
    {
        bool isPrintable = std::all_of(value.begin(), value.end(), [](char c) { return c >= 0x20 && c < 0x7f; });
        require(isPrintable && value.size() <= maxBytes && (mayBeEmpty || !value.empty()), name);
    }
    void name(std::string_view field, std::string_view value) { text(field, value, maxNameBytes); }
    void digest(std::string_view name, std::string_view value)
    {
        bool isHex = std::all_of(value.begin(), value.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
        require(isHex && value.size() == digestHexDigits, name);
    }
    void order(const OrderKey& order)
    {
        name("order.team", order.team);
        name("order.service", order.service);
        text("order.key", order.key, maxOrderKeyBytes);
    }
    void claimNumber(std::uint64_t number) { require(number, "claimNumber"); }
    void errorKind(std::uint32_t kind) { require(kind <= static_cast<std::uint32_t>(base::ErrorKind::Internal), "errorKind"); }
    void time(std::string_view name, base::WallTime time) { require(time.time_since_epoch().count() > 0 && time < maxProposalTime, name); }
    void answer(const OrderAnswer& answer, bool isPresent)
    {
        if (isPresent) {
            require(answer.httpStatus >= 100 && answer.httpStatus <= 599, "answer.httpStatus");
            text("answer.contentType", answer.contentType, maxOrderKeyBytes, true);
            require(answer.body.size() <= maxOutcomeBodyBytes, "answer.body");
        } else {
            require(!answer.httpStatus && answer.contentType.empty() && answer.body.empty(), "answer");
        }
    }
    void require(bool isValid, std::string_view field)
    {
        if (!isValid && !firstInvalid_)
            firstInvalid_ = field;
    }
    std::optional<std::string> firstInvalid() const { return firstInvalid_; }

private:
    std::optional<std::string> firstInvalid_;
};
} // namespace

static void check(FieldChecker& checker, const ApplySheet& command)
{
    checker.name("operatorName", command.operatorName);
    checker.require(command.csv.size() <= sheet::maxTextBytes, "csv");
}

static void check(FieldChecker& checker, const ClaimOrder& command)
{
    checker.order(command.order);
    checker.digest("bodyDigest", command.bodyDigest);
    checker.claimNumber(command.claimNumber);
    checker.name("entryVm", command.entryVm);
}

static void check(FieldChecker& checker, const RecordOutcome& command)
{
    checker.order(command.order);
    checker.claimNumber(command.claimNumber);
    checker.answer(command.answer, !command.isUnknown);
}

static void check(FieldChecker& checker, const CloseClaim& command)
{
    checker.order(command.order);
    checker.claimNumber(command.claimNumber);
}

static void check(FieldChecker& checker, const ResolveOrder& command)
{
    checker.name("operatorName", command.operatorName);
    checker.order(command.order);
    checker.answer(command.answer, command.didRun);
}

static void check(FieldChecker& checker, const DeclareEntryGone& command) { checker.name("entryVm", command.entryVm); }

static void check(FieldChecker& checker, const RecordOrderRefusal& command)
{
    // The fields may be empty because a missing key can be the reason for the refusal.
    checker.text("order.team", command.order.team, maxNameBytes, true);
    checker.text("order.service", command.order.service, maxNameBytes, true);
    checker.text("order.key", command.order.key, maxOrderKeyBytes, true);
    checker.name("entryVm", command.entryVm);
    checker.errorKind(command.errorKind);
    checker.text("detail", command.detail, maxDetailBytes, true);
}

static void check(FieldChecker& checker, const RecordRefusals& command)
{
    checker.name("entryVm", command.entryVm);
    checker.time("from", command.from);
    checker.time("to", command.to);
    checker.require(command.from <= command.to, "to");
    checker.require(command.counts.size() <= maxRefusalCounts, "counts");
    for (const auto& count : command.counts) {
        checker.text("counts.team", count.team, maxNameBytes, true);
        checker.errorKind(count.errorKind);
    }
}

static void check(FieldChecker& checker, const SetDrain& command)
{
    checker.name("operatorName", command.operatorName);
    checker.name("upstream", command.upstream);
}

static void check(FieldChecker& checker, const RecordCrash& command)
{
    checker.digest("fingerprint", command.fingerprint);
    checker.name("upstream", command.upstream);
}

static void check(FieldChecker& checker, const ClearCrash& command)
{
    checker.digest("fingerprint", command.fingerprint);
    checker.name("upstream", command.upstream);
}

static void check(FieldChecker& checker, const IssueFencingToken& command)
{
    checker.name("scope", command.scope);
    checker.name("holder", command.holder);
}

static void check(FieldChecker& checker, const TrimAudit& command)
{
    checker.name("operatorName", command.operatorName);
    checker.digest("digest", command.digest);
}

static void check(FieldChecker& checker, const ChangeReplicas& command)
{
    checker.name("operatorName", command.operatorName);
    checker.text("change", command.change, maxDetailBytes);
}

static void check(FieldChecker& checker, const ReplaceRoutes& command)
{
    checker.require(command.version, "version");
    checker.require(!command.document.empty(), "document");
}

static void check(FieldChecker& checker, const SetLayerPlan& command) { checker.require(command.revision, "revision"); }

std::string encodeCommand(const Command& command)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(3);
    packer.pack(static_cast<std::uint32_t>(command.body.index()));
    packer.pack(command.time);
    std::visit([&packer](const auto& body) { packer.pack(body); }, command.body);
    return { buffer.data(), buffer.size() };
}

template <std::size_t I>
static CommandBody unpackCommandBody(const msgpack::object& object) { return object.as<std::variant_alternative_t<I, CommandBody>>(); }

template <std::size_t... I>
static CommandBody unpackCommandBody(std::uint32_t kind, const msgpack::object& object, std::index_sequence<I...>)
{
    static constexpr std::array<CommandBody (*)(const msgpack::object&), sizeof...(I)> unpackers { unpackCommandBody<I>... };
    return unpackers.at(kind)(object);
}

// Throws a msgpack exception or std::out_of_range if `bytes` is not a command.
static Command unpackCommand(std::string_view bytes)
{
    std::size_t offset = 0;
    auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, unpackLimit(bytes.size()));
    if (offset != bytes.size() || handle->type != msgpack::type::ARRAY || handle->via.array.size != 3)
        throw msgpack::type_error();
    const msgpack::object* parts = handle->via.array.ptr;
    Command command;
    command.time = parts[1].as<base::WallTime>();
    command.body = unpackCommandBody(parts[0].as<std::uint32_t>(), parts[2], std::make_index_sequence<std::variant_size_v<CommandBody>>());
    return command;
}

base::Result<Command> decodeCommand(std::string_view bytes)
{
    if (bytes.size() > maxCommandBytes)
        return base::makeError(base::ErrorKind::MalformedFrame, fmt::format("a command of {} bytes is longer than {}", bytes.size(), maxCommandBytes));
    Command command;
    try {
        command = unpackCommand(bytes);
    } catch (const std::exception&) {
        return base::makeError(base::ErrorKind::MalformedFrame, "the command cannot be decoded");
    }
    // Each command has a single encoding, so equal commands have equal digests in the
    // audit chain.
    if (encodeCommand(command) != bytes)
        return base::makeError(base::ErrorKind::MalformedFrame, "the command is not in its canonical form");
    FieldChecker checker;
    checker.time("time", command.time);
    std::visit([&checker](const auto& body) { check(checker, body); }, command.body);
    if (auto field = checker.firstInvalid())
        return base::makeError(base::ErrorKind::InvalidRequest, fmt::format("{}: field {} is out of its range", commandName(command.body), *field));
    return command;
}

std::optional<std::uint64_t> routesVersionIn(std::string_view bytes)
{
    static const std::uint64_t replaceRoutesIndex = CommandBody(ReplaceRoutes()).index();
    try {
        // The document stays where it is.
        auto keepInPlace = [](msgpack::type::object_type, std::size_t, void*) { return true; };
        auto handle = msgpack::unpack(bytes.data(), bytes.size(), keepInPlace);
        const auto& command = handle.get();
        if (command.type != msgpack::type::ARRAY || command.via.array.size != 3 || command.via.array.ptr[0].as<std::uint64_t>() != replaceRoutesIndex)
            return std::nullopt;
        const auto& body = command.via.array.ptr[2];
        if (body.type != msgpack::type::ARRAY || !body.via.array.size)
            return std::nullopt;
        return body.via.array.ptr[0].as<std::uint64_t>();
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace arbutus::state
