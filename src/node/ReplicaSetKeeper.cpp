#include "src/node/ReplicaSetKeeper.h"

#include "include/base/Logger.h"
#include "include/control/Frames.h"
#include "include/net/Endpoint.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace arbutus::node {

using base::Result;
using control::FrameKind;

static constexpr base::Logger logger("control");

static constexpr std::chrono::milliseconds joinRequestInterval(500);
// A replica without a leader for this long may have been removed from the
// configuration and asks to join again.
static constexpr std::chrono::seconds leaderlessTimeout(2);
static constexpr std::chrono::milliseconds changeTimeout(3000);
static constexpr std::chrono::milliseconds leaveRequestTimeout(300);
// A process whose address has refused connections for this long is gone; one that is
// only restarted joins again.
static constexpr std::chrono::milliseconds goneProcessDelay(150);
// A set that is not repaired by then may lack a replica that can be promoted. Operators do
// not wait for it.
static constexpr std::chrono::seconds maxRepairTime(4);

ReplicaSetKeeper::ReplicaSetKeeper(boost::asio::io_context& context, const base::Clock& clock, Options options, replica::ReplicaNode& replica, const replica::ReplicaStatus& status, fleet::PeerLinks& links, KnownReplicas knownReplicas)
    : context_(context)
    , clock_(clock)
    , options_(options)
    , replica_(replica)
    , status_(status)
    , links_(links)
    , knownReplicas_(std::move(knownReplicas))
    , planner_(options_.targetVoters)
    , leaderSeenAt_(clock.now())
{
}

void ReplicaSetKeeper::statusChanged(bool hasBecomeLeader)
{
    if (hasBecomeLeader)
        planner_.beginLeadership(clock_.now());
    // The next change need not wait for a tick: between two of them the set tolerates fewer
    // losses.
    if (isLeader())
        reconcile(clock_.now());
    advanceDeparture(clock_.now());
    trackRepair(clock_.now());
    logReplicaCounts();
}

bool ReplicaSetKeeper::isRepairDue(base::TimePoint now) const
{
    const auto status = replica_.status();
    return !status.isConfigurationCommitted || planner_.isRepairDue(status.self, status.configuration, status.activePeers, now);
}

void ReplicaSetKeeper::trackRepair(base::TimePoint now)
{
    if (!isLeader() || !isRepairDue(now))
        repairDueSince_.reset();
    else if (!repairDueSince_)
        repairDueSince_ = now;
}

bool ReplicaSetKeeper::mayConfirm(base::TimePoint now) const
{
    if (!isLeader())
        return false;
    const bool hadTime = repairDueSince_ && now >= *repairDueSince_ + maxRepairTime;
    return hadTime || !isRepairDue(now);
}

void ReplicaSetKeeper::logReplicaCounts()
{
    if (!isLeader()) {
        loggedCounts_ = {};
        return;
    }
    const auto& [voters, learners] = status_.configuration;
    auto isResponding = [this](const consensus::ReplicaKey& voter) { return voter == status_.self || std::find(status_.activePeers.begin(), status_.activePeers.end(), voter) != status_.activePeers.end(); };
    auto responding = static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), isResponding));
    std::array<std::size_t, 3> counts { voters.size(), responding, learners.size() };
    if (std::exchange(loggedCounts_, counts) != counts)
        logger.info("The set of replicas changed.", { { "voters", counts[0] }, { "responding_voters", counts[1] }, { "learners", counts[2] }, { "quorum", status_.configuration.majority() }, { "term", status_.term } });
}

void ReplicaSetKeeper::tick(bool isConnected, base::TimePoint now)
{
    if (isConnected)
        leaderSeenAt_ = now;
    requestToJoin(now);
    if (isLeader())
        reconcile(now);
    trackRepair(now);
    advanceDeparture(now);
}

void ReplicaSetKeeper::recordJoinRequest(const fleet::JoinRequest& join) { planner_.recordJoinRequest({ join.replica, join.disk }, clock_.now()); }

std::optional<std::uint32_t> ReplicaSetKeeper::remoteLeaderIp() const
{
    if (!status_.leader || status_.leader->replica == options_.ip)
        return std::nullopt;
    return static_cast<std::uint32_t>(status_.leader->replica);
}

void ReplicaSetKeeper::requestToJoin(base::TimePoint now)
{
    consensus::ReplicaKey self { options_.ip, replica_.diskNumber() };
    const auto& configuration = status_.configuration;
    bool isMember = configuration.isVoter(self) || configuration.isLearner(self);
    if (departure_ || (isMember && now < leaderSeenAt_ + leaderlessTimeout) || now < nextJoinAt_)
        return;
    nextJoinAt_ = now + joinRequestInterval;
    for (auto ip : knownReplicas_()) {
        if (auto* link = links_.link(ip))
            link->send(static_cast<std::uint8_t>(FrameKind::ReplicaJoin), fleet::encode(fleet::JoinRequest { self.replica, self.disk }));
    }
}

void ReplicaSetKeeper::leave(base::TimePoint deadline, std::function<void()> onLeft)
{
    departure_.emplace(options_.targetVoters, deadline);
    onLeft_ = std::move(onLeft);
    advanceDeparture(clock_.now());
}

void ReplicaSetKeeper::advanceDeparture(base::TimePoint now)
{
    if (!departure_ || !onLeft_)
        return;
    const auto status = replica_.status();
    if (!departure_->mayEnd(status.self, status.configuration, status.isConfigurationCommitted, now)) {
        requestRemoval(now);
        return;
    }
    logger.info("The replica may end.", { { "is_voter", status.configuration.isVoter(status.self) }, { "voters", status.configuration.voters.size() }, { "leader", status.leader ? net::ipText(static_cast<std::uint32_t>(status.leader->replica)) : "none" } });
    std::exchange(onLeft_, nullptr)();
}

void ReplicaSetKeeper::requestRemoval(base::TimePoint now)
{
    const auto& self = status_.self;
    if (isLeader()) {
        planner_.recordLeaveRequest(self, now);
        reconcile(now);
        return;
    }
    auto leader = remoteLeaderIp();
    auto* link = leader ? links_.link(*leader) : nullptr;
    if (!link)
        return;
    link->request(static_cast<std::uint8_t>(FrameKind::ReplicaLeave), fleet::encode(fleet::LeaveRequest { self.replica, self.disk }), std::chrono::steady_clock::now() + leaveRequestTimeout, [this, &context = context_](const Result<std::string>& answer) {
        auto decoded = answer ? fleet::decode<fleet::LeaveAnswer>(answer.value()) : Result<fleet::LeaveAnswer>(answer.error());
        if (decoded && decoded.value().hasLeft) {
            boost::asio::post(context, [this] {
                departure_->recordRemoval();
                advanceDeparture(clock_.now());
            });
        }
    });
}

void ReplicaSetKeeper::handleLeaveRequest(const fleet::LeaveRequest& leave, const transport::FrameServer::Reply& reply)
{
    const consensus::ReplicaKey member { leave.replica, leave.disk };
    const auto now = clock_.now();
    const auto status = replica_.status();
    const bool isMember = status.configuration.isVoter(member) || status.configuration.isLearner(member);
    const bool isCurrent = status.role == consensus::Role::Leader && now < status.leaseEnd;
    reply(fleet::encode(fleet::LeaveAnswer { isCurrent && status.isConfigurationCommitted && !isMember }));
    if (!isMember || !isLeader())
        return;
    planner_.recordLeaveRequest(member, now);
    reconcile(now);
}

void ReplicaSetKeeper::recordGoneProcesses(base::TimePoint now)
{
    for (const auto& voter : status_.configuration.voters) {
        if (links_.isRefusedFor(static_cast<std::uint32_t>(voter.replica), goneProcessDelay))
            planner_.recordProcessGone(voter.replica, now);
    }
}

void ReplicaSetKeeper::reconcile(base::TimePoint now)
{
    if (isChanging_)
        return;
    recordGoneProcesses(now);
    auto change = planner_.planNext(status_.self, status_.configuration, status_.activePeers, now);
    if (!change)
        return;
    isChanging_ = true;
    static constexpr std::array<const char*, 3> changeNames { "add learner", "promote", "remove" };
    logger.info("Changing the replica configuration.", { { "change", changeNames[static_cast<std::size_t>(change->kind)] }, { "replica", net::ipText(static_cast<std::uint32_t>(change->replica.replica)) }, { "disk", fmt::format("{:x}", change->replica.disk) } });
    replica_.changeConfiguration(change->kind, change->replica, now + changeTimeout, [this, &context = context_](const Result<void>& result) {
        boost::asio::post(context, [this, result] {
            isChanging_ = false;
            if (!result)
                logger.warning("Failed to change the replica configuration; it will be retried.", { { "reason", result.error().detail } });
        });
    });
}

} // namespace arbutus::node
