#pragma once

#include "include/base/Clock.h"
#include "include/base/LatenessMeter.h"
#include "include/base/Timeline.h"
#include "include/fleet/FleetPollServer.h"
#include "include/fleet/FleetPoller.h"
#include "include/fleet/HeartbeatMonitor.h"
#include "include/fleet/PeerLinks.h"
#include "include/http1/ServerConnection.h"
#include "include/net/RepeatingTimer.h"
#include "include/transport/FrameServer.h"
#include "src/node/DepartureCommitter.h"
#include "src/node/EngineClient.h"
#include "src/node/LayerPlacer.h"
#include "src/node/PlatformCodec.h"
#include "src/node/ReplicaSetKeeper.h"
#include "src/replica/ReplicaNode.h"

#include <memory>
#include <string>
#include <vector>

namespace arbutus::node {

struct ControlOptions {
    std::string name;
    std::uint32_t ip = 0;
    std::string dataCentre;
    std::uint16_t internalPort = 0;
    std::string dataFolder;
    std::string sharedKey;
    std::vector<std::uint32_t> seeds;
    // The deployment is bootstrapped: every control VM starts with an empty disk.
    bool isBootstrap = false;
    std::size_t targetVoters = 3;
    // Interval at which each upstream sends heartbeats.
    std::chrono::milliseconds heartbeatInterval { 1200 };
    double linkMegabitsPerSecond = 100;
    std::uint64_t seed = 1;
};

// A control VM. Runs a replica of the durable state, keeps the registry of
// upstreams, and serves both to the entry VMs. While it is the leader, it also
// places layers on engines and repairs the set of replicas. The replica has a
// thread of its own, and peers' frames arrive on the frame server's worker;
// everything else runs on the event loop.
class ControlNode {
public:
    using StoreCallback = std::function<void(base::Result<void>)>;
    using ReadRoutesCallback = std::function<void(base::Result<std::shared_ptr<const std::string>>)>;

    ControlNode(boost::asio::io_context&, const PlatformCodec&, ControlOptions);
    ~ControlNode();

    // Starts the replica and the frame server. On bootstrap, a seed blocks until the
    // initial configuration of the replicas is known, and fails with ShuttingDown if a
    // stop signal arrives first.
    base::Result<void> start();

    // See ReplicaSetKeeper::leave().
    void leave(base::TimePoint deadline, std::function<void()> onLeft) { replicaSet_->leave(deadline, std::move(onLeft)); }
    base::TimePoint now() const { return clock_.now(); }

    // Commits a valid configuration, without a proposal if this version or a higher one is
    // committed already. Succeeds once enough replicas hold it, as ReplicaSetKeeper decides.
    // Fails with NotLeader, NoQuorum or CommandUnconfirmed.
    void replaceRoutes(std::uint64_t version, const std::string& document, StoreCallback);
    // Reads the current configuration (linearizable). Fails with NotFound if none has
    // been committed yet.
    void readRoutes(ReadRoutesCallback);
    const PlatformCodec& codec() const { return codec_; }

    // Whether this VM is the leader or follows one. Without a leader, an accepted
    // heartbeat might not reach the entry VMs.
    bool isConnected() const;
    // Whether this VM, besides, has applied all that was committed when that contact began, and
    // has heard of its leader lately. Otherwise what it has stored may have been replaced.
    bool isCurrent() const;
    // What entry VMs are told of the newest configuration.
    fleet::VersionReport versionReport() const;
    // Applies a heartbeat that an upstream sent to this VM.
    void recordHeartbeat(fleet::UpstreamRecord);
    // Applies an upstream's announcement that it is shutting down.
    // `startedAtMilliseconds` is its start in Unix milliseconds, or 0 if unknown.
    void deregister(const std::string& id, std::int64_t startedAtMilliseconds);
    // Returns the start of the process that a departure means, in Unix milliseconds: the one
    // that it states, otherwise as UpstreamRegistry::departingStart() finds. Fails with NoQuorum
    // until the entry VMs have been heard, and while it may mean either of two processes.
    base::Result<std::int64_t> departingStart(const std::string& id, std::int64_t statedMilliseconds) const;
    // Whether the departure of this process is committed.
    bool isDepartureCommitted(const fleet::UpstreamProcess& process) const { return registry_.departures().contains(process); }
    // Commits the departure of a process, through the leader if this VM is not. Once
    // acknowledged, it must reach every entry VM and outlast the restart of all. Fails like
    // replaceRoutes(), and with NoQuorum if the leader does not answer.
    void commitDeparture(const fleet::UpstreamProcess&, StoreCallback);

    // Returns the leader's IP address, or nullopt if this VM is the leader or none is
    // known.
    std::optional<std::uint32_t> remoteLeaderIp() const;
    void setSeeds(const std::vector<std::uint32_t>& ips);

private:
    // A copy of the replica's state for use on the event loop.
    struct ReplicaView {
        replica::ReplicaStatus status;
        std::uint64_t routesVersion = 0;
        std::shared_ptr<const std::string> packedRoutes;
        std::uint64_t planRevision = 0;
        std::shared_ptr<const std::string> plan;
        std::shared_ptr<const fleet::DepartureTable::Names> departures;
    };

    base::Result<void> startReplica();
    base::Result<consensus::Configuration> agreeOnInitialConfiguration();
    // Answers the polls that have changes to receive.
    void answerPendingPolls(base::TimePoint now);
    void receivePoll(fleet::FleetPoll, std::size_t bytes, const transport::FrameServer::Reply&);
    void receiveLoad(fleet::LoadUpdate, std::size_t bytes);
    std::optional<std::string> handleFrame(const transport::Frame&, const transport::FrameServer::Reply&);
    void publishReplicaView(const replica::ReplicaStatus&, const state::StateMachine&);
    // Calls `done` with success once mayConfirm() of the set of replicas holds, or with
    // NoQuorum if it does not in time.
    void confirmOnceRepaired(StoreCallback done);
    void answerConfirmations(base::TimePoint now);
    void logLeader() const;
    void applyReplicaView(const ReplicaView&);
    // Passes the committed configuration on to the entry VMs.
    void publishRoutes();
    void sendMessage(const consensus::Message&);

    void tick();
    // Answers polls and exchanges the load of the entry VMs with the other control VMs.
    void answerPolls();
    // Logs once a second what was sent and how late this VM acted.
    void reportActivity(base::TimePoint now);
    // Proposes a command and calls `done` on the event loop with its outcome.
    void propose(state::CommandBody, std::chrono::milliseconds timeout, StoreCallback done);
    std::string encodeIntroduction() const;
    std::string encodeCommand(state::CommandBody) const;
    // Whether this replica knows that this version or a higher one is committed.
    bool hasCommittedRoutes(std::uint64_t version) const { return version <= replicaView_.routesVersion; }
    bool isLeader() const { return replicaView_.status.role == consensus::Role::Leader; }

    boost::asio::io_context& context_;
    const PlatformCodec& codec_;
    const ControlOptions options_;
    base::BootClock clock_;
    base::Timeline timeline_;
    fleet::TrafficAccount traffic_;
    fleet::PeerLinks links_;
    fleet::UpstreamRegistry registry_;
    fleet::CrashReportRegistry crashReports_;
    fleet::FleetPollServer fleetPollServer_;
    fleet::FleetPoller fleetPoller_;
    std::unique_ptr<replica::ReplicaNode> replica_;
    std::unique_ptr<transport::FrameServer> frameServer_;
    net::RepeatingTimer timer_;
    net::RepeatingTimer answerTimer_;
    base::LatenessMeter tickLateness_;
    base::TimePoint tickDueAt_;
    base::TimePoint nextReportAt_;

    // The last published view and its route document; accessed on the event loop only.
    ReplicaView replicaView_;
    std::shared_ptr<const std::string> routesDocument_ = std::make_shared<const std::string>();
    // The view published last, to skip unchanged ones; accessed on the replica's thread
    // only.
    std::optional<ReplicaView> publishedView_;

    fleet::HeartbeatMonitor heartbeatMonitor_;
    // Set by start().
    std::optional<ReplicaSetKeeper> replicaSet_;
    // A committed configuration whose operator waits for the answer.
    struct Confirmation {
        StoreCallback done;
        base::TimePoint deadline;
    };
    std::vector<Confirmation> confirmations_;
    EngineClient engineClient_;
    DepartureCommitter departures_;
    LayerPlacer layerPlacer_;
};

} // namespace arbutus::node
