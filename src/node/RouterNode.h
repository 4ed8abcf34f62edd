#pragma once

#include "include/base/Clock.h"
#include "include/fleet/FleetFollower.h"
#include "include/forwarding/ReverseProxy.h"
#include "include/net/RepeatingTimer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace arbutus::node {

struct RouterOptions {
    std::string name;
    net::Endpoint callers;
    net::Endpoint readiness;
    std::uint16_t internalPort = 0;
    std::string sharedKey;
    std::vector<std::uint32_t> seeds;
    std::string dataCentre;
    forwarding::RetryBudgetOptions retries;
    // The time between the order to stop and the end by force.
    std::chrono::milliseconds stopGrace { 8000 };
    std::uint64_t seed = 1;
};

// An entry VM: follows the control VMs and forwards callers' requests.
class RouterNode {
public:
    using DecodeRoutes = std::function<base::Result<routes::RouteConfiguration>(std::string_view)>;

    RouterNode(boost::asio::io_context&, const forwarding::Dialect&, DecodeRoutes, RouterOptions);

    // Fails with InvalidSetting if an address cannot be bound.
    base::Result<void> start();
    void setSeeds(const std::vector<std::uint32_t>& ips) { follower_.setSeeds(ips); }

    // Says that it is not ready, finishes what it has taken, and calls `finished`.
    void stop(std::function<void()> finished);

private:
    class Readiness;

    void tick();
    void takeRoutes(std::uint64_t version, const std::string& document);
    bool isReady() const;
    void finishStopping(base::TimePoint now);

    boost::asio::io_context& context_;
    const DecodeRoutes decodeRoutes_;
    const RouterOptions options_;
    base::BootClock clock_;
    fleet::UpstreamRegistry registry_;
    std::uint64_t seenRevision_ = 0;
    forwarding::ReverseProxy gate_;
    std::shared_ptr<Readiness> readiness_;
    std::unique_ptr<http1::Server> callers_;
    std::unique_ptr<http1::Server> probes_;
    fleet::PeerLinks links_;
    fleet::FleetFollower follower_;
    net::RepeatingTimer timer_;
    unsigned ticks_ = 0;
    std::optional<base::TimePoint> stopSince_;
    std::function<void()> finished_;
};

} // namespace arbutus::node
