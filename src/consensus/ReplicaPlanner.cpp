#include "include/consensus/ReplicaPlanner.h"

#include <algorithm>

namespace arbutus::consensus {

// A voter that is silent for longer gives its place to one that answers. Shorter
// than the time in which a replaced machine must have caught up.
static constexpr std::chrono::milliseconds voterReplaceDelay(1500);
// A learner that is silent for longer is forgotten.
static constexpr std::chrono::seconds learnerDropDelay(10);
// A request to join is repeated more often than this while it is meant.
static constexpr std::chrono::seconds joinLifetime(2);

void ReplicaPlanner::joinRequested(const ReplicaKey& replica, base::TimePoint now) { joins_[replica] = now; }

void ReplicaPlanner::observe(const ReplicaKey& self, const Configuration& configuration, const std::vector<ReplicaKey>& active, base::TimePoint now)
{
    now_ = now;
    std::map<ReplicaKey, base::TimePoint> seen;
    for (const auto* members : { &configuration.voters, &configuration.learners }) {
        for (const auto& member : *members) {
            auto known = activeAt_.find(member);
            seen[member] = known == activeAt_.end() ? now : known->second;
        }
    }
    for (const auto& member : active) {
        if (auto found = seen.find(member); found != seen.end())
            found->second = now;
    }
    seen[self] = now;
    activeAt_ = std::move(seen);
    for (auto it = joins_.begin(); it != joins_.end();)
        it = now > it->second + joinLifetime ? joins_.erase(it) : std::next(it);
}

bool ReplicaPlanner::isActive(const ReplicaKey& member) const
{
    auto found = activeAt_.find(member);
    return found != activeAt_.end() && found->second == now_;
}

bool ReplicaPlanner::hasBeenInactiveFor(const ReplicaKey& member, std::chrono::milliseconds delay, base::TimePoint now) const
{
    auto found = activeAt_.find(member);
    return found != activeAt_.end() && now >= found->second + delay;
}

std::optional<ReplicaChange> ReplicaPlanner::removal(const Configuration& configuration, base::TimePoint now) const
{
    for (const auto& voter : configuration.voters) {
        // The same machine with another disk: what the old disk held is gone.
        bool isWiped = std::any_of(configuration.learners.begin(), configuration.learners.end(), [this, &voter](const ReplicaKey& learner) { return learner.replica == voter.replica && learner.disk != voter.disk && isActive(learner); });
        if (isWiped)
            return ReplicaChange { ChangeKind::Remove, voter };
    }
    if (configuration.voters.size() > targetVoters_) {
        for (const auto& voter : configuration.voters) {
            if (hasBeenInactiveFor(voter, voterReplaceDelay, now))
                return ReplicaChange { ChangeKind::Remove, voter };
        }
    }
    for (const auto& learner : configuration.learners) {
        if (hasBeenInactiveFor(learner, learnerDropDelay, now))
            return ReplicaChange { ChangeKind::Remove, learner };
    }
    return std::nullopt;
}

std::optional<ReplicaChange> ReplicaPlanner::promotion(const Configuration& configuration) const
{
    // One voter above the target lets a successor in before its predecessor goes.
    if (configuration.voters.size() > targetVoters_)
        return std::nullopt;
    for (const auto& learner : configuration.learners) {
        bool hasOtherDisk = std::any_of(configuration.voters.begin(), configuration.voters.end(), [&learner](const ReplicaKey& voter) { return voter.replica == learner.replica; });
        if (isActive(learner) && !hasOtherDisk)
            return ReplicaChange { ChangeKind::Promote, learner };
    }
    return std::nullopt;
}

std::optional<ReplicaChange> ReplicaPlanner::admission(const Configuration& configuration, base::TimePoint now) const
{
    for (const auto& [replica, askedAt] : joins_) {
        if (now <= askedAt + joinLifetime && !configuration.isVoter(replica) && !configuration.isLearner(replica))
            return ReplicaChange { ChangeKind::AddLearner, replica };
    }
    return std::nullopt;
}

std::optional<ReplicaChange> ReplicaPlanner::next(const ReplicaKey& self, const Configuration& configuration, const std::vector<ReplicaKey>& active, base::TimePoint now)
{
    observe(self, configuration, active, now);
    if (auto change = removal(configuration, now))
        return change;
    if (auto change = promotion(configuration))
        return change;
    return admission(configuration, now);
}

} // namespace arbutus::consensus
