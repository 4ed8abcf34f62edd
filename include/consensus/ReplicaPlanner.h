#pragma once

#include "include/base/Time.h"
#include "include/consensus/ReplicaCore.h"

#include <map>
#include <optional>

namespace arbutus::consensus {

// A configuration change proposed by the planner.
struct ReplicaChange {
    ChangeKind kind = ChangeKind::AddLearner;
    ReplicaKey replica;

    friend bool operator==(const ReplicaChange& left, const ReplicaChange& right) { return left.kind == right.kind && left.replica == right.replica; }
};

// Plans the leader's configuration changes that restore the target number of voters
// without an operator. A replica with an empty disk or on a new VM is added as a
// learner, promoted, and replaces a voter that is told to stop, whose process is gone or
// that has stopped responding. Plans one single-server change at a time; ReplicaCore
// rejects a change that would leave no active majority.
class ReplicaPlanner {
public:
    // `targetVoterCount` is the number of voters to maintain.
    explicit ReplicaPlanner(std::size_t targetVoterCount)
        : targetVoterCount_(targetVoterCount)
    {
    }

    // Forgets when members responded to an earlier leadership of this replica. Call
    // whenever it has become the leader.
    void beginLeadership(base::TimePoint now)
    {
        lastActiveAt_.clear();
        leaderSince_ = now;
    }

    // Records that a replica outside the configuration requests to join. The request
    // expires unless it is repeated.
    void recordJoinRequest(const ReplicaKey&, base::TimePoint now);

    // Records that a member has been told to stop and asks for its removal. It is removed
    // at once if it is a voter above the target, and not promoted. The request expires
    // unless it is repeated.
    void recordLeaveRequest(const ReplicaKey&, base::TimePoint now);

    // Records that the address of a replica refuses connections, so that its process is
    // gone. Has the effect of a leave request, but expires earlier.
    void recordProcessGone(std::uint64_t replica, base::TimePoint now);

    // Returns the next change, or nullopt if none is due. `activePeers` are the peers
    // that currently respond to this leader.
    std::optional<ReplicaChange> planNext(const ReplicaKey& self, const Configuration&, const std::vector<ReplicaKey>& activePeers, base::TimePoint now);

    // Whether a voter does not respond, is departing or has lost its disk while another replica
    // can take its place. Until that is done, the set bears fewer losses than its size allows.
    // `activePeers` are the peers that currently respond to this leader.
    bool isRepairDue(const ReplicaKey& self, const Configuration&, const std::vector<ReplicaKey>& activePeers, base::TimePoint now) const;

private:
    void updateActivity(const ReplicaKey& self, const Configuration&, const std::vector<ReplicaKey>& activePeers, base::TimePoint now);
    bool isActive(const ReplicaKey&) const;
    // Whether the process of this member is about to end or has ended.
    bool isDeparting(const ReplicaKey&) const;
    bool hasBeenInactiveFor(const ReplicaKey&, std::chrono::milliseconds, base::TimePoint now) const;
    std::optional<ReplicaChange> planRemoval(const Configuration&, base::TimePoint now) const;
    // Whether a voter above the target may be promoted.
    bool mayExceedTarget(const Configuration&) const;
    std::optional<ReplicaChange> planPromotion(const Configuration&) const;
    std::optional<ReplicaChange> planAddition(const Configuration&) const;

    std::size_t targetVoterCount_;
    std::map<ReplicaKey, base::TimePoint> joinRequests_;
    std::map<ReplicaKey, base::TimePoint> leaveRequests_;
    std::map<std::uint64_t, base::TimePoint> goneProcesses_;
    // When each member last responded. A member without an earlier time counts as active
    // now, so a new leader grants every member the full delay.
    std::map<ReplicaKey, base::TimePoint> lastActiveAt_;
    base::TimePoint leaderSince_;
    base::TimePoint now_;
};

} // namespace arbutus::consensus
