#pragma once

#include "include/base/Random.h"
#include "include/fleet/UpstreamRegistry.h"
#include "include/forwarding/Dialect.h"
#include "include/forwarding/UpstreamConnection.h"
#include "include/http1/ServerConnection.h"
#include "include/routes/RouteTable.h"
#include "include/routing/LayerPathSelector.h"
#include "include/routing/RetryAllowance.h"
#include "include/routing/ServiceBalancer.h"
#include "include/routing/StartupQueue.h"
#include "include/routing/WaitingLine.h"

#include <list>
#include <map>
#include <memory>

namespace arbutus::fleet {
struct UpstreamWork;
}

namespace arbutus::forwarding {

class Exchange;

struct RetryLimits {
    double ratio = 0.2;
    double slack = 20;
    std::chrono::milliseconds window { 10000 };
};

struct GateOptions {
    std::string dataCentre;
    RetryLimits retries;
    std::uint64_t seed = 1;
};

// Counts since the start.
struct GateCounters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t callersLeft = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
};

// What the choice of an upstream is made with, one for each service.
struct ServiceState {
    std::string name;
    std::unique_ptr<routing::LayerPathSelector> paths;
    std::unique_ptr<routing::ServiceBalancer> balancer;
    routing::RetryAllowance retries;
    routing::WaitingLine line;

    // When a search that found no way to the service is repeated.
    base::TimePoint searchAgainAt;

    // Whether any upstream could take a request, with room or not.
    bool isReachable(base::TimePoint now);
};

// Takes callers' requests and forwards them to upstreams by the routes in force.
// Everything runs on one event loop.
class Gate final : public http1::RequestHandler {
public:
    Gate(boost::asio::io_context&, const Dialect&, GateOptions);
    ~Gate() override;

    void setRoutes(std::shared_ptr<const routes::RouteTable>);
    const routes::RouteTable* routes() const { return routes_.get(); }
    // Brings the services' upstreams up to the registry's revision.
    void setUpstreams(const fleet::UpstreamRegistry&);
    void setOthersWork(const std::map<std::string, fleet::UpstreamWork>&);
    void setEntryCount(std::uint32_t count);
    std::vector<fleet::UpstreamWork> ownWork() const;

    // Connections end after their present request.
    void stop() { isStopping_ = true; }
    // Later requests that cannot be finished before `end` are refused as not run: at
    // once the streams, whose length is not known, and calls by their route's timeout.
    void refuseUnfinishable(base::TimePoint end) { refuseBeyond_ = end; }
    std::size_t openExchanges() const { return exchanges_.size(); }
    // Applies the time limits of requests; call many times a second.
    void tick(base::TimePoint now);

    const GateCounters& counters() const { return counters_; }

private:
    friend class Exchange;

    std::shared_ptr<http1::ActiveRequest> onRequest(const std::shared_ptr<http1::ServerConnection>&, http1::Request) override;
    http1::ServerLimits onLimits() const override;
    bool onIsStopping() const override { return isStopping_; }
    http1::Response onRequestErrorResponse(int status) const override;

    ServiceState& service(const std::string& name);
    void applyFact(const fleet::UpstreamFact&);
    void remove(const fleet::UpstreamFact&);

    boost::asio::io_context& context_;
    const Dialect& dialect_;
    const GateOptions options_;
    base::Random random_;
    UpstreamPool pool_;
    routing::StartupQueue startup_;
    std::shared_ptr<const routes::RouteTable> routes_;
    std::map<std::string, ServiceState> services_;
    // What each service was last told, by upstream id.
    std::map<std::string, fleet::UpstreamFact> known_;
    std::uint64_t upstreamRevision_ = 0;
    std::uint32_t entryCount_ = 1;
    std::list<std::shared_ptr<Exchange>> exchanges_;
    bool isStopping_ = false;
    std::optional<base::TimePoint> refuseBeyond_;
    base::TimePoint poolTickAt_;
    GateCounters counters_;
};

// The body of an answer that this product makes itself.
http1::Response problemResponse(const base::Error&, std::optional<std::chrono::milliseconds> retryAfter);

} // namespace arbutus::forwarding
