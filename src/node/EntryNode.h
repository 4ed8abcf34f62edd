#pragma once

#include "include/base/Clock.h"
#include "include/fleet/FleetPoller.h"
#include "include/fleet/PeerLinks.h"
#include "include/forwarding/HandoverHandler.h"
#include "include/forwarding/ReverseProxy.h"
#include "include/net/RepeatingTimer.h"
#include "src/node/MachineLimits.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutus::node {

struct EntryOptions {
    std::string name;
    net::Endpoint callerEndpoint;
    net::Endpoint readinessEndpoint;
    std::uint16_t internalPort = 0;
    std::string sharedKey;
    std::vector<std::uint32_t> seeds;
    std::string dataCentre;
    forwarding::WindowedRetryBudgetOptions retryBudget;
    forwarding::RoutingOptions routing;
    // How long after its confirmation a configuration may come into force.
    std::chrono::milliseconds routesApplyTime { 2000 };
    // Time between the stop request and the forced termination of the process.
    std::chrono::milliseconds stopGrace { 8000 };
    MachineLimits machine;
    std::uint64_t seed = 1;
};

// An entry VM. Follows the control VMs for routes and upstreams, and forwards
// callers' requests to the upstreams.
class EntryNode {
public:
    using DecodeRoutes = std::function<base::Result<routes::RouteConfiguration>(std::string_view)>;

    EntryNode(boost::asio::io_context&, const forwarding::HeaderCodec&, DecodeRoutes, EntryOptions);

    // Starts to accept callers and readiness probes. Fails with InvalidSetting if an
    // address cannot be bound.
    base::Result<void> start();
    void setSeeds(const std::vector<std::uint32_t>& ips) { fleetPoller_.setSeeds(ips); }

    // Begins a graceful shutdown: fails readiness probes and drains the requests in
    // flight. Calls `onStopped` when none is left or shortly before the stop grace ends.
    void stop(std::function<void()> onStopped);

private:
    class ReadinessHandler;

    void tick();
    // Tells the proxy whether the configuration may have been replaced for too long.
    void applyRoutesProof();
    // Tells the proxy which entry VMs take requests of others.
    void applyHandoverPeers();
    // Tells the proxy how many entry VMs there are, and its part in limits of all of them.
    void applyEntryVmCount();
    // Logs once a second what was exchanged with other data centres, if anything.
    void reportActivity(base::TimePoint now);
    bool applyRoutes(std::uint64_t version, const std::string& document, const fleet::FleetPoller::RoutesDelivery&);
    // Adds what the proxy has observed to the reports that the other VMs get.
    void record(const routing::CrashGuard::PartCrashed&);
    void record(const routing::CrashGuard::PartAnswered&);
    void record(const routing::CrashGuard::UpstreamAnswered&);
    // Exchanges crash reports between the proxy and the other VMs.
    void exchangeCrashReports(base::TimePoint now);
    bool isReady() const;
    void tryFinishStopping(base::TimePoint now);
    // Answers what is still open shortly before the stop grace ends, and stops.
    void endRemainingRequests(base::TimePoint now);

    boost::asio::io_context& context_;
    const DecodeRoutes decodeRoutes_;
    const EntryOptions options_;
    const http1::ServerResources resources_;
    base::BootClock clock_;
    fleet::TrafficAccount traffic_;
    fleet::UpstreamRegistry registry_;
    std::uint64_t registryRevision_ = 0;
    fleet::CrashReportRegistry crashReports_;
    std::uint64_t crashRevision_ = 0;
    forwarding::ReverseProxy proxy_;
    std::shared_ptr<ReadinessHandler> readinessHandler_;
    std::unique_ptr<http1::Server> callerServer_;
    std::unique_ptr<http1::Server> readinessServer_;
    forwarding::HandoverHandler handoverHandler_;
    std::unique_ptr<http1::Server> handoverServer_;
    fleet::PeerLinks links_;
    fleet::FleetPoller fleetPoller_;
    fleet::EntryVmCensus census_;
    std::uint64_t observedAnswers_ = 0;
    net::RepeatingTimer timer_;
    base::TimePoint nextReportAt_;
    unsigned ticks_ = 0;
    std::uint64_t requestsAtLastCheck_ = 0;
    std::optional<base::TimePoint> stoppingSince_;
    std::function<void()> onStopped_;
};

} // namespace arbutus::node
