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
struct EngineReport {
    double pace = 1;
    fleet::LayerRange layers;
};

// The formats that differ between platforms.
class ControlDialect {
public:
    virtual ~ControlDialect() = default;

    base::Result<routes::RouteConfiguration> decodeRoutes(std::string_view document) const { return onDecodeRoutes(document); }
    // The whole HTTP request that orders an engine to hold layers.
    std::string orderRequest(const placement::LayerCommand& order, std::uint64_t fencingNumber) const { return onOrderRequest(order, fencingNumber); }
    placement::LayerCommandResult readOrderAnswer(int status) const { return onReadOrderAnswer(status); }
    // The whole HTTP request that asks an engine for its state, and its answer.
    std::string reportRequest(const fleet::UpstreamFact& engine) const { return onReportRequest(engine); }
    base::Result<EngineReport> readReport(std::string_view body) const { return onReadReport(body); }

private:
    virtual base::Result<routes::RouteConfiguration> onDecodeRoutes(std::string_view) const = 0;
    virtual std::string onOrderRequest(const placement::LayerCommand&, std::uint64_t fencingNumber) const = 0;
    virtual placement::LayerCommandResult onReadOrderAnswer(int status) const = 0;
    virtual std::string onReportRequest(const fleet::UpstreamFact&) const = 0;
    virtual base::Result<EngineReport> onReadReport(std::string_view body) const = 0;
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
    std::chrono::milliseconds reportInterval { 1200 };
    std::uint64_t seed = 1;
};

// A control VM: a replica of the durable state, the registry of upstreams, the
// feed of the entry VMs and, while it leads, the placement of layers and the
// repair of the replicas. Everything but the replica runs on one event loop.
class ControlNode {
public:
    using RoutesStored = std::function<void(base::Result<void>)>;
    using RoutesRead = std::function<void(base::Result<std::shared_ptr<const std::string>>)>;

    ControlNode(boost::asio::io_context&, const ControlDialect&, ControlOptions);
    ~ControlNode();

    // Blocks until the first configuration of the replicas is known, or until a
    // signal to stop.
    base::Result<void> start();

    // Stores a valid configuration, or confirms that one as high is in force.
    // Fails with NotLeader, NoQuorum or CommandUnconfirmed.
    void replaceRoutes(std::uint64_t version, std::string document, RoutesStored);
    // Whether a configuration of this version or a higher one is committed here.
    bool holdsRoutes(std::uint64_t version) const { return version <= round_.routesVersion; }
    // The newest configuration, proved to be current.
    void readRoutes(RoutesRead);
    const ControlDialect& dialect() const { return dialect_; }

    // Whether this VM is in contact with a leader; what it accepted otherwise might
    // not reach the entry VMs.
    bool isConnected() const;
    void report(fleet::UpstreamFact);
    void farewell(const std::string& id, std::int64_t bornMilliseconds);

    // The leader's IP address, if another VM leads.
    std::optional<std::uint32_t> otherLeader() const;
    void setSeeds(const std::vector<std::uint32_t>& ips);

private:
    struct Round {
        replica::ReplicaStatus status;
        std::uint64_t routesVersion = 0;
        std::shared_ptr<const std::string> routes;
        std::uint64_t planRevision = 0;
        std::shared_ptr<const std::string> plan;
    };

    base::Result<void> startReplica();
    base::Result<consensus::Configuration> agreeOnFirstConfiguration();
    std::optional<std::string> handleFrame(const transport::Frame&, const transport::FrameServer::Reply&);
    void noteRound(const replica::ReplicaStatus&, const state::StateMachine&);
    void takeRound(const Round&);
    void sendMessage(const consensus::Message&);

    void tick();
    void askToJoin(base::TimePoint now);
    void repairReplicas(base::TimePoint now);
    void placeLayers(base::TimePoint now);
    void proposePlans(const placement::LayerPlans&);
    void askEngines(base::TimePoint now);
    void askEngine(const fleet::UpstreamFact&);
    void startCall(const net::Endpoint&, std::string request, std::chrono::milliseconds timeout, std::function<void(const std::optional<forwarding::ControlCall::Response>&)>);
    void sendOrder(const placement::LayerCommand&);
    std::string introduction() const;
    std::string command(state::CommandBody) const;
    bool isLeader() const { return round_.status.role == consensus::Role::Leader; }

    boost::asio::io_context& context_;
    const ControlDialect& dialect_;
    const ControlOptions options_;
    base::BootClock clock_;
    base::Timeline timeline_;
    fleet::PeerLinks links_;
    fleet::UpstreamRegistry registry_;
    fleet::FleetSource source_;
    fleet::FleetFollower follower_;
    std::unique_ptr<replica::ReplicaNode> replica_;
    std::unique_ptr<transport::FrameServer> frames_;
    net::RepeatingTimer timer_;
    base::TimePoint joinAt_;
    base::TimePoint leaderSeenAt_;

    // What the replica's thread said last; used on the loop only.
    Round round_;
    // Guards against telling the loop of rounds in which nothing changed.
    std::optional<Round> told_;

    fleet::SilenceWatch silence_;
    consensus::ReplicaPlanner replicaPlanner_;
    bool isChangingReplicas_ = false;
    placement::LayerController layers_;
    placement::LayerPlans plans_;
    std::uint64_t decodedPlanRevision_ = 0;
    bool isProposingPlans_ = false;
    std::vector<routes::Service> services_;
    std::uint64_t decodedRoutesVersion_ = 0;
    base::TimePoint decodeRoutesAt_;
    forwarding::UpstreamConnectionPool pool_;
    std::vector<std::shared_ptr<forwarding::ControlCall>> calls_;
    // When each engine is asked again, by its id.
    std::map<std::string, base::TimePoint> askAt_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace arbutus::node
