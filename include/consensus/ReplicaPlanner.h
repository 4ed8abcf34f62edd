#pragma once

#include "include/base/Time.h"
#include "include/consensus/ReplicaCore.h"

#include <map>
#include <optional>

namespace arbutus::consensus {

struct ReplicaChange {
    ChangeKind kind = ChangeKind::AddLearner;
    ReplicaKey replica;

    friend bool operator==(const ReplicaChange& left, const ReplicaChange& right) { return left.kind == right.kind && left.replica == right.replica; }
};

// Decides for the leader how the replicas are repaired without an operator: a
// replica with an empty disk or on a new VM is taken in as a learner, promoted,
// and takes the place of a voter that does not answer. One change at a time, and
// none that leaves a majority of voters that do not answer (the core checks that).
class ReplicaPlanner {
public:
    // `targetVoters` is the number of voters to keep.
    explicit ReplicaPlanner(std::size_t targetVoterCount)
        : targetVoterCount_(targetVoterCount)
    {
    }

    // A replica that is not in the configuration asks to be taken in.
    void recordJoinRequest(const ReplicaKey&, base::TimePoint now);

    // The next change, or nothing. `active` are the peers that answer this leader.
    std::optional<ReplicaChange> planNext(const ReplicaKey& self, const Configuration&, const std::vector<ReplicaKey>& activePeers, base::TimePoint now);

private:
    void updateActivity(const ReplicaKey& self, const Configuration&, const std::vector<ReplicaKey>& activePeers, base::TimePoint now);
    bool isActive(const ReplicaKey&) const;
    bool hasBeenInactiveFor(const ReplicaKey&, std::chrono::milliseconds, base::TimePoint now) const;
    std::optional<ReplicaChange> planRemoval(const Configuration&, base::TimePoint now) const;
    std::optional<ReplicaChange> planPromotion(const Configuration&) const;
    std::optional<ReplicaChange> planAddition(const Configuration&, base::TimePoint now) const;

    std::size_t targetVoterCount_;
    std::map<ReplicaKey, base::TimePoint> joinRequests_;
    // When each member answered last; a new leader gives all of them a full period.
    std::map<ReplicaKey, base::TimePoint> lastActiveAt_;
    base::TimePoint now_;
};

} // namespace arbutus::consensus
