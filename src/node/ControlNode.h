#pragma once

#include "include/base/Clock.h"
#include "include/base/Timeline.h"
#include "include/consensus/ReplicaPlanner.h"
#include "include/fleet/FleetFollower.h"
#include "include/fleet/FleetSource.h"
#include "include/fleet/SilenceWatch.h"
#include "include/http1/ServerConnection.h"
#include "include/net/RepeatingTimer.h"
#include "include/placement/LayerController.h"
#include "include/transport/FrameServer.h"
#include "src/forwarding/ControlCall.h"
#include "src/replica/ReplicaNode.h"

#include <memory>
#include <string>
#include <vector>

namespace arbutus::node {

// What an engine answers about itself.
struct EngineStatus {
    double pace = 1;
    fleet::LayerRange layers;
};

// The formats that differ between platforms.
class PlatformCodec {
public:
    virtual ~PlatformCodec() = default;

    base::Result<routes::RouteConfiguration> decodeRoutes(std::string_view document) const { return onDecodeRoutes(document); }
    // The whole HTTP request that orders an engine to hold layers.
    std::string layerCommandRequest(const placement::LayerOrder& command, std::uint64_t fencingNumber) const { return onLayerCommandRequest(command, fencingNumber); }
    placement::OrderResult decodeLayerCommandStatus(int status) const { return onDecodeLayerCommandStatus(status); }
    // The whole HTTP request that asks an engine for its state, and its answer.
    std::string engineStatusRequest(const fleet::UpstreamFact& engine) const { return onEngineStatusRequest(engine); }
    base::Result<EngineStatus> decodeEngineStatus(std::string_view body) const { return onDecodeEngineStatus(body); }

private:
    virtual base::Result<routes::RouteConfiguration> onDecodeRoutes(std::string_view) const = 0;
    virtual std::string onLayerCommandRequest(const placement::LayerOrder&, std::uint64_t fencingNumber) const = 0;
    virtual placement::OrderResult onDecodeLayerCommandStatus(int status) const = 0;
    virtual std::string onEngineStatusRequest(const fleet::UpstreamFact&) const = 0;
    virtual base::Result<EngineStatus> onDecodeEngineStatus(std::string_view body) const = 0;
};

struct ControlOptions {
    std::string name;
    std::uint32_t ip = 0;
    std::uint16_t internalPort = 0;
    std::string dataFolder;
    std::string sharedKey;
    std::vector<std::uint32_t> seeds;
    // The whole deployment starts for the first time, with empty disks.
    bool isFirstStart = false;
    std::size_t targetVoters = 3;
    // Time between two reports of an upstream.
    std::chrono::milliseconds heartbeatInterval { 1200 };
    std::uint64_t seed = 1;
};

// A control VM: a replica of the durable state, the registry of upstreams, the
// feed of the entry VMs and, while it leads, the placement of layers and the
// repair of the replicas. Everything but the replica runs on one event loop.
class ControlNode {
public:
    using StoreRoutesCallback = std::function<void(base::Result<void>)>;
    using ReadRoutesCallback = std::function<void(base::Result<std::shared_ptr<const std::string>>)>;

    ControlNode(boost::asio::io_context&, const PlatformCodec&, ControlOptions);
    ~ControlNode();

    // Blocks until the first configuration of the replicas is known, or until a
    // signal to stop.
    base::Result<void> start();

    // Stores a valid configuration, or confirms that one as high is in force.
    // Fails with NotLeader, NoQuorum or CommandUnconfirmed.
    void replaceRoutes(std::uint64_t version, std::string document, StoreRoutesCallback);
    // Whether a configuration of this version or a higher one is committed here.
    bool hasCommittedRoutes(std::uint64_t version) const { return version <= replicaView_.routesVersion; }
    // The newest configuration, proved to be current.
    void readRoutes(ReadRoutesCallback);
    const PlatformCodec& codec() const { return codec_; }

    // Whether this VM is in contact with a leader; what it accepted otherwise might
    // not reach the entry VMs.
    bool isConnected() const;
    void recordHeartbeat(fleet::UpstreamFact);
    void deregister(const std::string& id, std::int64_t bornMilliseconds);

    // The leader's IP address, if another VM leads.
    std::optional<std::uint32_t> remoteLeaderIp() const;
    void setSeeds(const std::vector<std::uint32_t>& ips);

private:
    struct ReplicaView {
        replica::ReplicaStatus status;
        std::uint64_t routesVersion = 0;
        std::shared_ptr<const std::string> routes;
        std::uint64_t planRevision = 0;
        std::shared_ptr<const std::string> plan;
    };

    base::Result<void> startReplica();
    base::Result<consensus::Configuration> agreeOnInitialConfiguration();
    std::optional<std::string> handleFrame(const transport::Frame&, const transport::FrameServer::Reply&);
    void publishReplicaView(const replica::ReplicaStatus&, const state::StateMachine&);
    void applyReplicaView(const ReplicaView&);
    void sendMessage(const consensus::Message&);

    void tick();
    void requestToJoin(base::TimePoint now);
    void reconcileReplicas(base::TimePoint now);
    void placeLayers(base::TimePoint now);
    void proposePlans(const placement::LayerPlans&);
    void pollEngines(base::TimePoint now);
    void pollEngine(const fleet::UpstreamFact&);
    void startCall(const net::Endpoint&, std::string request, std::chrono::milliseconds timeout, std::function<void(const std::optional<forwarding::ControlCall::Answer>&)>);
    void sendLayerCommand(const placement::LayerOrder&);
    std::string encodeIntroduction() const;
    std::string encodeCommand(state::CommandBody) const;
    bool isLeader() const { return replicaView_.status.role == consensus::Role::Leader; }

    boost::asio::io_context& context_;
    const PlatformCodec& codec_;
    const ControlOptions options_;
    base::BootClock clock_;
    base::Timeline timeline_;
    fleet::PeerLinks links_;
    fleet::UpstreamRegistry registry_;
    fleet::FleetSource fleetSource_;
    fleet::FleetFollower follower_;
    std::unique_ptr<replica::ReplicaNode> replica_;
    std::unique_ptr<transport::FrameServer> frameServer_;
    net::RepeatingTimer timer_;
    base::TimePoint nextJoinAt_;
    base::TimePoint leaderSeenAt_;

    // What the replica's thread said last; used on the loop only.
    ReplicaView replicaView_;
    // Guards against telling the loop of rounds in which nothing changed.
    std::optional<ReplicaView> publishedView_;

    fleet::SilenceWatch silenceWatch_;
    consensus::ReplicaPlanner replicaPlanner_;
    bool isChangingReplicas_ = false;
    placement::LayerController layerController_;
    placement::LayerPlans layerPlans_;
    std::uint64_t decodedPlanRevision_ = 0;
    bool isProposingPlans_ = false;
    std::vector<routes::Service> services_;
    std::uint64_t decodedRoutesVersion_ = 0;
    base::TimePoint nextRoutesDecodeAt_;
    forwarding::UpstreamPool upstreamPool_;
    std::vector<std::shared_ptr<forwarding::ControlCall>> calls_;
    // When each engine is asked again, by its id.
    std::map<std::string, base::TimePoint> nextEnginePollAt_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace arbutus::node
