#pragma once

#include "include/base/Clock.h"
#include "include/consensus/ReplicaDeparture.h"
#include "include/consensus/ReplicaPlanner.h"
#include "include/fleet/FleetMessages.h"
#include "include/fleet/PeerLinks.h"
#include "include/transport/FrameServer.h"
#include "src/replica/ReplicaNode.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <functional>
#include <optional>
#include <vector>

namespace arbutus::node {

// Keeps the set of replicas complete on behalf of one control VM: asks to join and to leave
// it and, while this VM leads, plans the changes of the set. Runs on the event loop.
class ReplicaSetKeeper {
public:
    using KnownReplicas = std::function<std::vector<std::uint32_t>()>;

    struct Options {
        std::uint32_t ip = 0;
        std::size_t targetVoters = 3;
    };

    // `status` is the replica's last published status. All references must outlive this
    // object.
    ReplicaSetKeeper(boost::asio::io_context&, const base::Clock&, Options, replica::ReplicaNode&, const replica::ReplicaStatus& status, fleet::PeerLinks&, KnownReplicas);

    // Call after `status` has changed.
    void statusChanged(bool hasBecomeLeader);
    // Call several times a second.
    void tick(bool isConnected, base::TimePoint now);

    // Records that a replica outside the set asks to join.
    void recordJoinRequest(const fleet::JoinRequest&);
    // Records that a replica asks to leave, and replies whether it has left.
    void handleLeaveRequest(const fleet::LeaveRequest&, const transport::FrameServer::Reply&);

    // Whether this VM leads and a committed change bears the losses that the deployment
    // tolerates, or the set is not complete although it had time for a repair.
    bool mayConfirm(base::TimePoint now) const;

    // Leaves the set if another replica has taken this one's place, and calls `onLeft` once
    // when the process may end, no later than shortly after `deadline`. From now on this
    // replica does not ask to join.
    void leave(base::TimePoint deadline, std::function<void()> onLeft);

private:
    bool isLeader() const { return status_.role == consensus::Role::Leader; }
    std::optional<std::uint32_t> remoteLeaderIp() const;
    void requestToJoin(base::TimePoint now);
    void advanceDeparture(base::TimePoint now);
    void requestRemoval(base::TimePoint now);
    void recordGoneProcesses(base::TimePoint now);
    bool isRepairDue(base::TimePoint now) const;
    // Notes since when a repair has been due.
    void trackRepair(base::TimePoint now);
    // Logs how many replicas the set has and how many respond, if this VM leads and one of
    // these numbers has changed.
    void logReplicaCounts();
    void reconcile(base::TimePoint now);

    boost::asio::io_context& context_;
    const base::Clock& clock_;
    const Options options_;
    replica::ReplicaNode& replica_;
    const replica::ReplicaStatus& status_;
    fleet::PeerLinks& links_;
    const KnownReplicas knownReplicas_;
    consensus::ReplicaPlanner planner_;
    bool isChanging_ = false;
    std::optional<base::TimePoint> repairDueSince_;
    // Voters, responding voters and learners as logged last.
    std::array<std::size_t, 3> loggedCounts_ {};
    base::TimePoint nextJoinAt_;
    base::TimePoint leaderSeenAt_;
    // Set once this VM has been told to stop.
    std::optional<consensus::ReplicaDeparture> departure_;
    std::function<void()> onLeft_;
};

} // namespace arbutus::node
