#pragma once

#include "include/base/Random.h"
#include "include/fleet/ServiceDemand.h"
#include "include/fleet/UpstreamRegistry.h"
#include "include/forwarding/HandoverMark.h"
#include "include/forwarding/HeaderCodec.h"
#include "include/forwarding/UpstreamConnection.h"
#include "include/http1/ServerConnection.h"
#include "include/routes/RouteTable.h"
#include "include/routing/CapacityQueue.h"
#include "include/routing/CrashGuard.h"
#include "include/routing/DemandMeter.h"
#include "include/routing/HandoverPeers.h"
#include "include/routing/LayerPathSelector.h"
#include "include/routing/PriorityAdmission.h"
#include "include/routing/RequestRateLimiter.h"
#include "include/routing/ServiceBalancer.h"
#include "include/routing/StartupQueue.h"
#include "include/routing/UpstreamPauses.h"
#include "include/routing/UpstreamReachability.h"
#include "include/routing/WindowedRetryBudget.h"

#include <list>
#include <map>
#include <memory>

namespace arbutus::fleet {
struct UpstreamInFlightLoad;
}

namespace arbutus::forwarding {

class Exchange;
class ReachabilityProbe;

// Parameters of routing::WindowedRetryBudget for one service: within any `window`, all
// entry VMs together may send at most `ratio` retries per request plus `slack` retries.
struct WindowedRetryBudgetOptions {
    double ratio = 0.2;
    double slack = 20;
    std::chrono::milliseconds window { 10000 };
};

// Decisions that a deployment switches on by settings.
struct RoutingOptions {
    // Whether a plan from the demand in all data centres says in which one a stream begins,
    // and plain calls stay in their data centre while it has free slots. Otherwise, a first
    // engine or upstream elsewhere has a fixed cost.
    bool plansDataCentres = false;
    // Whether all entry VMs together limit how often they try an engine that refuses streams.
    bool limitsRefusingEngines = false;
};

struct ReverseProxyOptions {
    std::string dataCentre;
    WindowedRetryBudgetOptions retryBudget;
    std::uint64_t seed = 1;
    // Of the server that passes requests to the proxy.
    std::shared_ptr<http1::ByteBudget> bytes = std::make_shared<http1::ByteBudget>();
    // Each running request takes a connection to an upstream. Half as many may be idle.
    std::size_t maxRequests = 4096;
    RoutingOptions routing = {};
    // The key of the deployment, which proves to other entry VMs that this one hands a request
    // over.
    std::string sharedKey = {};
};

// Totals since the process started.
struct ReverseProxyCounters {
    std::uint64_t requests = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    // Those of the refused that the admission by priority refused.
    std::uint64_t refusedByPriority = 0;
    std::uint64_t failed = 0;
    std::uint64_t callerDisconnects = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
    // Requests that were handed over to other entry VMs, and taken from them.
    std::uint64_t handovers = 0;
    std::uint64_t takenHandovers = 0;
};

// Repeats of requests, by what the retry budget said.
struct RepeatCounts {
    std::uint64_t charged = 0;
    // Ended the request, or made a stream that has begun wait.
    std::uint64_t refused = 0;
    // Of attempts that have not reached an upstream.
    std::uint64_t uncharged = 0;
};

// Load balancing, retry and queueing state of one service.
struct ServiceState {
    std::string name;
    std::unique_ptr<routing::LayerPathSelector> pathSelector;
    std::unique_ptr<routing::ServiceBalancer> balancer;
    std::shared_ptr<routing::WindowedRetryBudget> retryBudget;
    routing::CapacityQueue waitQueue;
    routing::RequestRateLimiter rateLimiter;
    routing::UpstreamPauses pauses;

    routing::DemandMeter demand;
    // Consulted if the service has a model and routes that differ in priority.
    routing::PriorityAdmission admission;
    // What logAdmission() has logged, and what it has not.
    int loggedAdmissionLevel = 10;
    std::uint64_t unloggedAdmissionRefusals = 0;
    // Not logged yet.
    RepeatCounts repeats = {};

    // isReachable() returns false without a new check until this time.
    base::TimePoint nextReachabilityCheckAt {};
    // The plan of the last log line, and the streams that had crossed.
    routing::CrossSitePlanner::Shares loggedShares = {};
    std::uint64_t loggedCrossedStreams = 0;

    // Returns whether any upstream can serve a request, regardless of its free capacity.
    bool isReachable(base::TimePoint now);
    // Logs the share of streams that goes to each other data centre if it has changed
    // noticeably.
    void logPlan(base::TimePoint now);
    // Logs the shares of the priority classes if the overall share has changed by a tenth.
    void logAdmission(base::TimePoint now);
    // Logs the repeats since the last call, and what the retry budget allows, if there are any.
    void logRepeats();
};

// Forwards callers' requests to upstreams according to the active route table.
// Not thread-safe: all calls must run on the event loop of its io_context.
class ReverseProxy final : public http1::RequestHandler {
public:
    ReverseProxy(boost::asio::io_context&, const HeaderCodec&, ReverseProxyOptions);
    ~ReverseProxy() override;

    // Sets where the bytes to and from upstreams are counted.
    void setTrafficLookup(UpstreamConnectionPool::TrafficLookup lookup) { pool_.setTrafficLookup(std::move(lookup)); }
    // Activates a route table. Requests that were already admitted keep the previous one.
    void setRoutes(std::shared_ptr<const routes::RouteTable>);
    const routes::RouteTable* routes() const { return routes_.get(); }
    // Sets whether the routes may have been replaced for too long. While they may, requests are
    // refused as not run.
    void setRoutesOutdated(bool mayBeOutdated) { mayRoutesBeOutdated_ = mayBeOutdated; }
    bool mayRoutesBeOutdated() const { return mayRoutesBeOutdated_; }
    // Applies the registry's changes since the last call.
    void setUpstreams(const fleet::UpstreamRegistry&);
    // Sets the load that the other entry VMs report for each upstream.
    void setPeerLoad(const std::map<std::string, fleet::UpstreamInFlightLoad>&);
    // Sets the demand at all entry VMs, by which new streams are admitted. Without a call for
    // 2 s, all are admitted.
    void setDemand(const fleet::ServiceDemands&, base::TimePoint now);
    // Returns the demand at this VM for services that have a model or routes that differ in
    // priority.
    fleet::ServiceDemands ownDemand(base::TimePoint now) const;
    // Sets the number of entry VMs that place load on upstreams now.
    void setEntryVmCount(std::uint32_t count);
    // Sets the part of this VM in limits that hold for all entry VMs together. Until the first
    // call, it uses no part of the retry budgets' slack.
    void setLimitPart(const fleet::LimitPart&);
    // Returns the load that this VM has placed on each upstream.
    std::vector<fleet::UpstreamInFlightLoad> ownLoad() const;

    // Returns what the control VMs must learn of the upstreams' limits, and the permits that
    // this VM wants. Call once for each poll.
    fleet::RequestLimitReports takeLimitReports();
    // Whether the limit of any upstream is known.
    bool hasLimits() const;
    // Merges the limits and permits of a control VM's answer. The permits were granted by
    // `grantedBy`, a time of base::bootNow().
    void applyLimitReports(const fleet::RequestLimitReports&, base::TimePoint grantedBy);

    // Holds back requests with parts that crash upstreams. The caller exchanges its
    // observations with the other entry VMs.
    routing::CrashGuard& crashGuard() { return crashGuard_; }

    // Returns the upstreams that have announced their leave in answers since the last call.
    // They get no new requests; the caller tells the other VMs.
    std::vector<fleet::UpstreamProcess> takeLeavingUpstreams() { return std::exchange(leavingUpstreams_, {}); }

    // Sets the entry VMs that take requests which this one cannot send to upstreams itself.
    void setHandoverPeers(const std::vector<net::Endpoint>& peers) { handoverPeers_.setPeers(peers); }
    // Whether requests of other entry VMs can be served here.
    bool acceptsHandovers() const { return routes_ && !mayRoutesBeOutdated_ && !isStopping_ && !reachability_.isCutOff(); }
    // Whether this VM may have to hand requests over.
    bool needsHandoverPeers() const { return reachability_.isImpaired(std::chrono::steady_clock::now()); }
    // Handles a request that another entry VM has handed over. It is not handed over again.
    std::shared_ptr<http1::ActiveRequest> takeHandover(const std::shared_ptr<http1::ServerConnection>&, http1::Request, const HandoverMark&);

    // Closes each caller connection after its current request.
    // Refuses new requests, as not run, whose own deadline is after `deadline`, except
    // streams that may resume elsewhere.
    void stop(base::TimePoint deadline)
    {
        isStopping_ = true;
        stopDeadline_ = deadline;
    }
    // Like stop(), but also refuses all streams, because their length is unknown.
    void setDrainDeadline(base::TimePoint deadline)
    {
        stopDeadline_ = deadline;
        refusesStreams_ = true;
    }
    // Answers or breaks off all requests, because this VM ends. What may have run is
    // answered as unknown, and what has not run is refused.
    void endRequests();
    // Returns the bytes of answers that are buffered or wait for slow callers.
    std::size_t heldBytes() const { return options_.bytes->held(http1::HeldFor::Answers); }
    std::size_t openExchangeCount() const { return exchanges_.size(); }
    // Applies request timeouts and polls waiting requests. Call many times a second.
    void tick(base::TimePoint now);

    const ReverseProxyCounters& counters() const { return counters_; }

private:
    friend class Exchange;

    std::shared_ptr<http1::ActiveRequest> onRequest(const std::shared_ptr<http1::ServerConnection>&, http1::Request) override;
    http1::ServerLimits onLimits() const override;
    bool onIsStopping() const override { return isStopping_; }
    http1::Response onRequestErrorResponse(int status) const override;

    std::shared_ptr<http1::ActiveRequest> startExchange(const std::shared_ptr<http1::ServerConnection>&, http1::Request, std::optional<HandoverMark>);
    // Whether a request waits for an upstream and none has sent anything for a while.
    bool isWaitingInSilence(base::TimePoint now) const;
    // Tells the retry budgets which upstreams have not missed their heartbeats.
    void settleRepeats();
    // Connects to upstreams while none can be reached, or while all are silent.
    void probeUpstreams(base::TimePoint now);

    // Returns the state of a service, and creates it if necessary. New state makes the next
    // setUpstreams() apply all upstreams again.
    ServiceState& service(const std::string& name);
    void applyUpstream(const fleet::UpstreamRecord&);
    void detachUpstream(const fleet::UpstreamRecord&);
    // Forgets the limit and the pause that an earlier process of the upstream has named.
    void forgetWishes(const fleet::UpstreamRecord&);
    // Returns the record of an upstream if `process` is the one that is known, else null.
    fleet::UpstreamRecord* findProcess(const fleet::UpstreamProcess& process);
    // Record whether an upstream could be reached, and log when this VM has lost its paths to
    // all of them or has one again.
    void upstreamMissed(const std::string& upstream, base::TimePoint now);
    void upstreamConnected(base::TimePoint now);
    void upstreamReached(base::TimePoint now);
    void upstreamLeaves(const fleet::UpstreamProcess&);
    void upstreamPauses(const fleet::UpstreamProcess&, base::TimePoint until);

    boost::asio::io_context& context_;
    const HeaderCodec& headerCodec_;
    const ReverseProxyOptions options_;
    base::Random random_;
    UpstreamConnectionPool pool_;
    routing::StartupQueue startupQueue_;
    routing::CrashGuard crashGuard_;
    routing::UpstreamReachability reachability_;
    routing::HandoverPeers handoverPeers_;
    base::TimePoint lastReachedAt_;
    std::list<std::unique_ptr<ReachabilityProbe>> probes_;
    std::shared_ptr<const routes::RouteTable> routes_;
    bool mayRoutesBeOutdated_ = false;
    std::map<std::string, ServiceState> services_;
    // The last state of each upstream that is not gone, by upstream id.
    std::map<std::string, fleet::UpstreamRecord> knownUpstreams_;
    std::vector<fleet::UpstreamProcess> leavingUpstreams_;
    std::uint64_t upstreamRevision_ = 0;
    std::uint32_t entryVmCount_ = 1;
    fleet::LimitPart limitPart_;
    // Of the exchanges that have not finished.
    std::size_t runningCount_ = 0;
    std::list<std::shared_ptr<Exchange>> exchanges_;
    bool isStopping_ = false;
    // When the requests of a stopping VM must have ended.
    std::optional<base::TimePoint> stopDeadline_;
    bool refusesStreams_ = false;
    base::TimePoint nextPoolTickAt_;
    ReverseProxyCounters counters_;
};

// Returns the problem response for an error that the proxy itself reports. `retryAfter`
// sets the Retry-After field.
http1::Response problemResponse(const base::Error&, std::optional<std::chrono::milliseconds> retryAfter);
// Returns the response to a request that a process has no resources for. It has not run.
http1::Response overloadResponse();

} // namespace arbutus::forwarding
