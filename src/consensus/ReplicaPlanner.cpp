#include "include/consensus/ReplicaPlanner.h"

#include <algorithm>

namespace arbutus::consensus {

// A voter that has not responded for this long is removed once a replacement has been
// promoted. Shorter than the time within which a replacement machine must catch up.
static constexpr std::chrono::milliseconds voterReplacementDelay(1500);
// From this target on, two voters may be lost at once, so a replacement is promoted in time
// after the loss of one. Before that, an even number of voters would only mean that neither
// side of a partition into halves has a majority: six of six control VMs had no leader for
// eight seconds. With three voters, a replacement must be a voter before the stop.
static constexpr std::size_t minTargetWithoutSpareVoter = 5;
// A learner that has not responded for this long is removed.
static constexpr std::chrono::seconds learnerRemovalDelay(10);
// A replica that still wants to join repeats its request within this time.
static constexpr std::chrono::seconds joinRequestLifetime(2);
static constexpr std::chrono::seconds leaveRequestLifetime(1);
// A replica that wants to join has reached a new leader within this time.
static constexpr std::chrono::seconds joinRequestDelay(1);
// The caller repeats what it sees of a process several times within this time.
static constexpr std::chrono::milliseconds goneProcessLifetime(400);

void ReplicaPlanner::recordJoinRequest(const ReplicaKey& replica, base::TimePoint now) { joinRequests_[replica] = now; }

void ReplicaPlanner::recordLeaveRequest(const ReplicaKey& replica, base::TimePoint now) { leaveRequests_[replica] = now; }

void ReplicaPlanner::recordProcessGone(std::uint64_t replica, base::TimePoint now) { goneProcesses_[replica] = now; }

template <typename Key>
static void expire(std::map<Key, base::TimePoint>& recordedAt, std::chrono::milliseconds lifetime, base::TimePoint now)
{
    for (auto it = recordedAt.begin(); it != recordedAt.end();)
        it = now > it->second + lifetime ? recordedAt.erase(it) : std::next(it);
}

void ReplicaPlanner::updateActivity(const ReplicaKey& self, const Configuration& configuration, const std::vector<ReplicaKey>& activePeers, base::TimePoint now)
{
    now_ = now;
    std::map<ReplicaKey, base::TimePoint> lastActive;
    for (const auto* members : { &configuration.voters, &configuration.learners }) {
        for (const auto& member : *members) {
            auto known = lastActiveAt_.find(member);
            lastActive[member] = known == lastActiveAt_.end() ? now : known->second;
        }
    }
    for (const auto& member : activePeers) {
        if (auto found = lastActive.find(member); found != lastActive.end())
            found->second = now;
    }
    lastActive[self] = now;
    lastActiveAt_ = std::move(lastActive);
    expire(joinRequests_, joinRequestLifetime, now);
    expire(leaveRequests_, leaveRequestLifetime, now);
    expire(goneProcesses_, goneProcessLifetime, now);
}

bool ReplicaPlanner::isActive(const ReplicaKey& member) const
{
    auto found = lastActiveAt_.find(member);
    return found != lastActiveAt_.end() && found->second == now_;
}

bool ReplicaPlanner::isDeparting(const ReplicaKey& member) const { return leaveRequests_.count(member) || goneProcesses_.count(member.replica); }

bool ReplicaPlanner::hasBeenInactiveFor(const ReplicaKey& member, std::chrono::milliseconds delay, base::TimePoint now) const
{
    auto found = lastActiveAt_.find(member);
    return found != lastActiveAt_.end() && now >= found->second + delay;
}

std::optional<ReplicaChange> ReplicaPlanner::planRemoval(const Configuration& configuration, base::TimePoint now) const
{
    for (const auto& voter : configuration.voters) {
        // An active learner on the same replica with another disk number means that the
        // voter's disk was wiped.
        bool isWiped = std::any_of(configuration.learners.begin(), configuration.learners.end(), [this, &voter](const ReplicaKey& learner) { return learner.replica == voter.replica && learner.disk != voter.disk && isActive(learner); });
        if (isWiped)
            return ReplicaChange { ChangeKind::Remove, voter };
    }
    if (configuration.voters.size() > targetVoterCount_) {
        for (const auto& voter : configuration.voters) {
            if (isDeparting(voter) || hasBeenInactiveFor(voter, voterReplacementDelay, now))
                return ReplicaChange { ChangeKind::Remove, voter };
        }
    }
    for (const auto& learner : configuration.learners) {
        if (hasBeenInactiveFor(learner, learnerRemovalDelay, now))
            return ReplicaChange { ChangeKind::Remove, learner };
    }
    return std::nullopt;
}

bool ReplicaPlanner::mayExceedTarget(const Configuration& configuration) const
{
    if (targetVoterCount_ < minTargetWithoutSpareVoter)
        return true;
    return std::any_of(configuration.voters.begin(), configuration.voters.end(), [this](const ReplicaKey& voter) { return !isActive(voter) || isDeparting(voter); });
}

std::optional<ReplicaChange> ReplicaPlanner::planPromotion(const Configuration& configuration) const
{
    // At most one voter above the target, so that a replacement is promoted before the
    // voter that it replaces is removed.
    auto limit = targetVoterCount_ + (mayExceedTarget(configuration) ? 1 : 0);
    if (configuration.voters.size() >= limit)
        return std::nullopt;
    for (const auto& learner : configuration.learners) {
        bool isReplicaVoter = std::any_of(configuration.voters.begin(), configuration.voters.end(), [&learner](const ReplicaKey& voter) { return voter.replica == learner.replica; });
        if (isActive(learner) && !isDeparting(learner) && !isReplicaVoter)
            return ReplicaChange { ChangeKind::Promote, learner };
    }
    return std::nullopt;
}

std::optional<ReplicaChange> ReplicaPlanner::planAddition(const Configuration& configuration) const
{
    for (const auto& [replica, requestedAt] : joinRequests_) {
        if (!isDeparting(replica) && !configuration.isVoter(replica) && !configuration.isLearner(replica))
            return ReplicaChange { ChangeKind::AddLearner, replica };
    }
    return std::nullopt;
}

bool ReplicaPlanner::isRepairDue(const ReplicaKey& self, const Configuration& configuration, const std::vector<ReplicaKey>& activePeers, base::TimePoint now) const
{
    auto isResponding = [&](const ReplicaKey& member) { return member == self || std::find(activePeers.begin(), activePeers.end(), member) != activePeers.end(); };
    const auto& [voters, learners] = configuration;
    const bool isAnyVoterLost = std::any_of(voters.begin(), voters.end(), [&](const ReplicaKey& voter) { return !isResponding(voter) || isDeparting(voter); });
    if (!isAnyVoterLost && voters.size() >= targetVoterCount_)
        return false;
    const bool isSpareResponding = std::any_of(learners.begin(), learners.end(), [&](const ReplicaKey& learner) { return isResponding(learner) && !isDeparting(learner); });
    const bool mayAnyBeJoining = now < leaderSince_ + joinRequestDelay;
    const bool isAnyJoining = std::any_of(joinRequests_.begin(), joinRequests_.end(), [&](const auto& request) { return now <= request.second + joinRequestLifetime && !configuration.isVoter(request.first); });
    return voters.size() > targetVoterCount_ || isSpareResponding || isAnyJoining || mayAnyBeJoining;
}

std::optional<ReplicaChange> ReplicaPlanner::planNext(const ReplicaKey& self, const Configuration& configuration, const std::vector<ReplicaKey>& activePeers, base::TimePoint now)
{
    updateActivity(self, configuration, activePeers, now);
    if (auto change = planRemoval(configuration, now))
        return change;
    if (auto change = planPromotion(configuration))
        return change;
    return planAddition(configuration);
}

} // namespace arbutus::consensus
