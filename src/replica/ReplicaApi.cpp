#include "src/replica/ReplicaApi.h"

#include "include/control/CommandCodec.h"
#include "include/http/RpcOverHttp.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <future>

namespace arbutus::replica {

using base::ErrorKind;
using base::Result;
using rpc::Parameters;

// Shorter than the callers' timeout of 1.5 s, after which they ignore the result.
static constexpr std::chrono::milliseconds commandTimeout(1400);
static constexpr std::size_t maxListedOrders = 1000;

[[noreturn]] static void throwRpcFailure(ErrorKind kind, const std::string& detail) { throw rpc::RpcFailure(http::rpcCode(kind), detail); }

static std::string parameter(const Parameters& parameters, const std::string& name)
{
    auto it = parameters.find(name);
    if (it == parameters.end())
        throwRpcFailure(ErrorKind::InvalidRequest, fmt::format("the required parameter {} is missing", name));
    return it->second;
}

static std::uint64_t numberParameter(const Parameters& parameters, const std::string& name)
{
    std::string text = parameter(parameters, name);
    std::uint64_t number = 0;
    auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || end != text.data() + text.size())
        throwRpcFailure(ErrorKind::InvalidRequest, fmt::format("the parameter {} is not a whole number", name));
    return number;
}

static Parameters querySheet(const state::StateMachine& machine, const Parameters&)
{
    const auto& configuration = machine.configuration();
    Parameters reply { { "revision", std::to_string(configuration.sheetRevision) }, { "feedRevision", std::to_string(configuration.revision) }, { "csv", "" } };
    if (auto acceptance = machine.currentSheetAcceptance()) {
        reply["csv"] = configuration.sheet->canonicalText();
        reply["operator"] = acceptance->operatorName;
        reply["number"] = std::to_string(acceptance->operatorNumber);
        reply["digest"] = acceptance->digest;
    }
    return reply;
}

static Parameters describeOrder(const state::OrderState& order)
{
    Parameters reply { { "team", order.order.team }, { "service", order.order.service }, { "key", order.order.key }, { "status", std::string(state::toString(order.status)) }, { "vm", order.entryVm }, { "claim", std::to_string(order.claimNumber) }, { "changedAt", std::to_string(order.changedAt.time_since_epoch().count()) } };
    if (order.recorded) {
        reply["httpStatus"] = std::to_string(order.recorded->answer.httpStatus);
        reply["resolvedBy"] = order.recorded->resolvedBy;
    }
    return reply;
}

static Parameters queryOrder(const state::StateMachine& machine, const Parameters& parameters)
{
    auto order = machine.orders().find({ parameter(parameters, "team"), parameter(parameters, "service"), parameter(parameters, "key") });
    if (!order)
        throwRpcFailure(ErrorKind::NotFound, "there is no such order");
    return describeOrder(*order);
}

static Parameters queryOrders(const state::StateMachine& machine, const Parameters& parameters)
{
    static constexpr std::array statuses { state::OrderStatus::Closed, state::OrderStatus::Running, state::OrderStatus::Unknown, state::OrderStatus::Answered, state::OrderStatus::AnswerDropped };
    std::string requested = parameter(parameters, "status");
    for (auto status : statuses) {
        if (state::toString(status) != requested)
            continue;
        std::string lines;
        auto orders = machine.orders().findByStatus(status, maxListedOrders);
        for (const auto& order : orders)
            lines += fmt::format("{} {} {} {} vm={} claim={}\n", requested, order.order.team, order.order.service, order.order.key, order.entryVm, order.claimNumber);
        return { { "orders", lines }, { "count", std::to_string(orders.size()) } };
    }
    throwRpcFailure(ErrorKind::InvalidRequest, fmt::format("unknown order status {}", requested));
}

static Parameters queryAudit(const state::StateMachine& machine, const Parameters& parameters)
{
    base::WallTime from(std::chrono::microseconds(numberParameter(parameters, "from")));
    base::WallTime to(std::chrono::microseconds(numberParameter(parameters, "to")));
    auto exported = machine.audit().exportPeriod(from, to);
    std::string lines;
    for (const auto& record : exported.records)
        lines += state::toString(record) + "\n";
    auto fault = state::AuditChain::verify(exported);
    return { { "records", lines }, { "count", std::to_string(exported.records.size()) }, { "previousDigest", state::toHex(exported.previousDigest) }, { "lastDigest", state::toHex(exported.lastDigest) }, { "verified", fault ? fault->reason : "yes" } };
}

ReplicaApi::ReplicaApi(const base::Clock& clock, ReplicaNode& node)
    : clock_(clock)
    , node_(node)
{
    for (const auto& method : control::commandMethods())
        dispatcher_.add(method, [this, method](const Parameters& parameters) { return propose(method, parameters); });

    struct NamedQuery {
        const char* name;
        Query query;
    };
    static constexpr std::array queries { NamedQuery { "sheet", &querySheet }, NamedQuery { "order", &queryOrder }, NamedQuery { "orders", &queryOrders }, NamedQuery { "audit", &queryAudit } };
    for (const auto& named : queries)
        dispatcher_.add(named.name, [this, query = named.query](const Parameters& parameters) { return this->query(query, parameters); });
    dispatcher_.add("status", [this](const Parameters&) { return status(); });
    dispatcher_.add("changeReplicas", [this](const Parameters& parameters) { return changeReplicas(parameters); });
}

Parameters ReplicaApi::propose(const std::string& method, const Parameters& parameters)
{
    auto body = control::commandFromParameters(method, parameters);
    if (!body)
        throwRpcFailure(body.error().kind, body.error().detail);
    std::string command = state::encodeCommand({ clock_.wallNow(), body.value() });
    // Rejects a command that the state machine could not decode before it enters the log.
    if (auto checked = state::decodeCommand(command); !checked)
        throwRpcFailure(checked.error().kind, checked.error().detail);
    auto promise = std::make_shared<std::promise<Result<state::Outcome>>>();
    node_.propose(std::move(command), clock_.now() + commandTimeout, [promise](Result<state::Outcome> outcome) { promise->set_value(std::move(outcome)); });
    auto outcome = promise->get_future().get();
    if (!outcome)
        throwRpcFailure(outcome.error().kind, outcome.error().detail);
    return control::toParameters(outcome.value());
}

Parameters ReplicaApi::query(Query query, const Parameters& parameters)
{
    // The state machine may be read only within the callback, on the event loop's thread.
    auto promise = std::make_shared<std::promise<Result<Parameters>>>();
    node_.read(clock_.now() + commandTimeout, [promise, query, parameters](Result<const state::StateMachine*> machine) {
        if (!machine) {
            promise->set_value(machine.error());
            return;
        }
        try {
            promise->set_value(query(*machine.value(), parameters));
        } catch (const rpc::RpcFailure& failure) {
            promise->set_value(base::makeError(http::errorKindFromRpcCode(failure.code()), failure.what()));
        }
    });
    auto reply = promise->get_future().get();
    if (!reply)
        throwRpcFailure(reply.error().kind, reply.error().detail);
    return reply.value();
}

static std::string formatReplicaKey(const consensus::ReplicaKey& key) { return fmt::format("{}/{:x}", key.replica, key.disk); }

static std::string formatReplicaKeys(const std::vector<consensus::ReplicaKey>& keys)
{
    std::string names;
    for (const auto& key : keys)
        names += (names.empty() ? "" : " ") + formatReplicaKey(key);
    return names;
}

Parameters ReplicaApi::describe() const
{
    static constexpr std::array<const char*, 4> roles { "follower", "pre-candidate", "candidate", "leader" };
    auto status = node_.status();
    return { { "replica", formatReplicaKey(status.self) }, { "role", roles[static_cast<std::size_t>(status.role)] }, { "term", std::to_string(status.term) }, { "commitIndex", std::to_string(status.commitIndex) }, { "appliedIndex", std::to_string(status.appliedIndex) }, { "lastIndex", std::to_string(status.lastIndex) }, { "voters", formatReplicaKeys(status.configuration.voters) }, { "learners", formatReplicaKeys(status.configuration.learners) }, { "sheetRevision", std::to_string(status.sheetRevision) }, { "auditHead", state::toHex(status.auditHead) }, { "syncs", std::to_string(status.syncCount) }, { "snapshots", std::to_string(status.snapshotCount) }, { "diskFull", status.isDiskFull ? "yes" : "no" } };
}

Parameters ReplicaApi::status() const
{
    // Operators need the leader's view of the cluster.
    if (node_.status().role != consensus::Role::Leader)
        throwRpcFailure(ErrorKind::NotLeader, "this replica is not the leader");
    return describe();
}

Parameters ReplicaApi::changeReplicas(const Parameters& parameters)
{
    struct NamedChange {
        const char* name;
        consensus::ChangeKind kind;
    };
    static constexpr std::array changes { NamedChange { "add-learner", consensus::ChangeKind::AddLearner }, NamedChange { "promote", consensus::ChangeKind::Promote }, NamedChange { "remove", consensus::ChangeKind::Remove } };
    std::string requested = parameter(parameters, "change");
    std::string disk = parameter(parameters, "disk");
    consensus::ReplicaKey replica { numberParameter(parameters, "replica"), 0 };
    if (auto [end, code] = std::from_chars(disk.data(), disk.data() + disk.size(), replica.disk, 16); code != std::errc() || end != disk.data() + disk.size())
        throwRpcFailure(ErrorKind::InvalidRequest, "the parameter disk is not a hexadecimal number");
    for (const auto& change : changes) {
        if (change.name != requested)
            continue;
        // The configuration entry carries no command, so the request is recorded in the
        // audit chain first. The record remains even if the change is then rejected.
        auto auditReply = propose("ChangeReplicas", { { "operator", parameter(parameters, "operator") }, { "change", fmt::format("{} {}", requested, formatReplicaKey(replica)) } });
        auto promise = std::make_shared<std::promise<Result<void>>>();
        node_.changeConfiguration(change.kind, replica, clock_.now() + commandTimeout, [promise](Result<void> result) { promise->set_value(std::move(result)); });
        auto result = promise->get_future().get();
        if (!result)
            throwRpcFailure(result.error().kind, result.error().detail);
        return auditReply;
    }
    throwRpcFailure(ErrorKind::InvalidRequest, fmt::format("unknown change {}", requested));
}

} // namespace arbutus::replica
