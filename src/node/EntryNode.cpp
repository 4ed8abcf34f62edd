#include "src/node/EntryNode.h"

#include "include/base/Logger.h"

#include <boost/asio/post.hpp>

namespace arbutus::node {

static constexpr base::Logger logger("entry");

// Resolution of all request timeouts.
static constexpr std::chrono::milliseconds tickInterval(40);
// Tasks that need no such resolution run once in this number of ticks.
static constexpr unsigned ticksPerSlowTick = 5;
// The load balancer removes an entry VM after two failed probes; until then new
// connections still arrive.
static constexpr std::chrono::milliseconds drainDelay(2600);
// The last requests are ended this long before the stop grace ends.
static constexpr std::chrono::milliseconds stopMargin(300);
// The process ends this long before the stop grace ends, also if a caller has not read its
// last answer.
static constexpr std::chrono::milliseconds deliveryMargin(100);
// Idle connections are closed after this time while stopping.
static constexpr std::chrono::milliseconds stopIdleTimeout(200);
static constexpr std::chrono::seconds activityReportInterval(1);

// A probe needs no body.
static constexpr std::uint64_t maxProbeBodyBytes = 4096;

// Answers the load balancer's readiness probes: 200 if ready, otherwise 503.
class EntryNode::ReadinessHandler final : public http1::RequestHandler {
public:
    explicit ReadinessHandler(const EntryNode& node)
        : node_(node)
    {
    }

private:
    std::shared_ptr<http1::ActiveRequest> onRequest(const std::shared_ptr<http1::ServerConnection>& connection, http1::Request) override
    {
        http1::Response response;
        response.status = node_.isReady() ? 200 : 503;
        connection->send(response);
        return nullptr;
    }
    http1::ServerLimits onLimits() const override
    {
        http1::ServerLimits limits;
        limits.read.bodyBytes = maxProbeBodyBytes;
        return limits;
    }

    const EntryNode& node_;
};

static fleet::FleetPoller::Options pollerOptions(const EntryOptions& options)
{
    fleet::FleetPoller::Options result;
    result.self = options.name;
    result.isEntry = true;
    result.dataCentre = options.dataCentre;
    result.incarnation = static_cast<std::uint32_t>(options.seed);
    result.routesApplyTime = options.routesApplyTime;
    return result;
}

// Control VMs use the internal port itself.
static std::uint16_t handoverPort(const EntryOptions& options) { return static_cast<std::uint16_t>(options.internalPort + 1); }

static boost::asio::ip::tcp::endpoint tcpEndpoint(const net::Endpoint& endpoint)
{
    return { boost::asio::ip::address_v4(endpoint.ip), endpoint.port };
}

EntryNode::EntryNode(boost::asio::io_context& context, const forwarding::HeaderCodec& headerCodec, DecodeRoutes decodeRoutes, EntryOptions options)
    : context_(context)
    , decodeRoutes_(std::move(decodeRoutes))
    , options_(std::move(options))
    , resources_(entryResources(options_.machine))
    , traffic_(options_.dataCentre)
    , proxy_(context, headerCodec, { options_.dataCentre, options_.retryBudget, options_.seed, resources_.bytes, resources_.maxConnections, options_.routing, options_.sharedKey })
    , readinessHandler_(std::make_shared<ReadinessHandler>(*this))
    , handoverHandler_(proxy_, headerCodec, options_.sharedKey)
    , links_({ options_.name, options_.internalPort, options_.sharedKey, options_.seed })
    , fleetPoller_(
          clock_, [this](auto&&... request) { return links_.sendPoll(std::forward<decltype(request)>(request)...); }, pollerOptions(options_), registry_, crashReports_, [this](std::function<void()> task) { boost::asio::post(context_, std::move(task)); })
    , census_(options_.retryBudget.window)
    , timer_(context, tickInterval, [this] { tick(); })
{
}

base::Result<void> EntryNode::start()
{
    fleetPoller_.setEntryHooks([this](std::uint64_t version, const std::string& document, const auto& delivery) { return applyRoutes(version, document, delivery); }, [this] { return proxy_.ownLoad(); });
    fleetPoller_.setCrashReportsHandler([this] { exchangeCrashReports(std::chrono::steady_clock::now()); });
    fleetPoller_.setLimitHooks([this] { return proxy_.takeLimitReports(); }, [this](const auto& reports, base::TimePoint grantedBy) { proxy_.applyLimitReports(reports, grantedBy); }, [this] { return proxy_.hasLimits(); });
    fleetPoller_.setDemandHooks([this] { return proxy_.ownDemand(std::chrono::steady_clock::now()); }, [this](const fleet::ServiceDemands& demand) { proxy_.setDemand(demand, std::chrono::steady_clock::now()); });
    fleetPoller_.setHandoverHooks(
        options_.callerEndpoint.ip, [this] { return proxy_.acceptsHandovers(); }, [this] { return proxy_.needsHandoverPeers(); });
    fleetPoller_.setTraffic(traffic_);
    fleetPoller_.setSeeds(options_.seeds);
    proxy_.setTrafficLookup([this](const net::Endpoint& endpoint) { return traffic_.counter(fleet::TrafficAccount::Kind::Upstream, registry_.dataCentreAt(endpoint)); });
    BOOST_OUTCOME_TRY(callerServer, http1::Server::Make(context_, tcpEndpoint(options_.callerEndpoint), proxy_, resources_));
    callerServer_ = std::move(callerServer);
    BOOST_OUTCOME_TRY(readinessServer, http1::Server::Make(context_, tcpEndpoint(options_.readinessEndpoint), *readinessHandler_, probeResources()));
    readinessServer_ = std::move(readinessServer);
    BOOST_OUTCOME_TRY(handoverServer, http1::Server::Make(context_, tcpEndpoint({ options_.callerEndpoint.ip, handoverPort(options_) }), handoverHandler_, resources_));
    handoverServer_ = std::move(handoverServer);
    timer_.start();
    logger.info("Started the entry VM.", { { "address", options_.callerEndpoint.text() }, { "max_held_bytes", resources_.bytes->capacity() }, { "max_connections", resources_.maxConnections } });
    return base::outcome::success();
}

bool EntryNode::applyRoutes(std::uint64_t version, const std::string& document, const fleet::FleetPoller::RoutesDelivery& delivery)
{
    auto decoded = decodeRoutes_(document);
    if (!decoded) {
        logger.error("Failed to decode a committed configuration.", { { "version", version }, { "reason", decoded.error().detail } });
        return false;
    }
    std::set<std::string> services;
    for (const auto& service : decoded.value().services)
        services.insert(service.name);
    registry_.setServices(std::move(services), clock_.now());
    proxy_.setRoutes(routes::RouteTable::Make(std::move(decoded).value()));
    logger.info("Applied a configuration.", { { "version", version }, { "bytes", document.size() }, { "delay_ms", delivery.delay.count() }, { "documents", delivery.documents }, { "document_bytes", delivery.documentBytes }, { "failed_polls", delivery.failedPolls } });
    return true;
}

void EntryNode::record(const routing::CrashGuard::PartCrashed& observation) { crashReports_.apply({ observation.part, observation.origin.crash, observation.origin.request, false, 0 }, clock_.now()); }

void EntryNode::record(const routing::CrashGuard::PartAnswered& observation) { crashReports_.refute(observation.part, clock_.now()); }

void EntryNode::record(const routing::CrashGuard::UpstreamAnswered& observation)
{
    // The proxy reads another clock.
    auto offset = clock_.now() - base::TimePoint(std::chrono::steady_clock::now());
    std::optional<base::TimePoint> connectedAt;
    if (observation.connectedAt)
        connectedAt = *observation.connectedAt + offset;
    crashReports_.refuteCrash(observation.crash, observation.sentAt + offset, connectedAt, clock_.now());
}

void EntryNode::exchangeCrashReports(base::TimePoint now)
{
    auto& guard = proxy_.crashGuard();
    auto revisionBefore = crashReports_.revision();
    for (const auto& observation : guard.takeObservations())
        std::visit([this](const auto& kind) { record(kind); }, observation);
    if (crashReports_.revision() != revisionBefore)
        fleetPoller_.sendCrashReports();
    if (crashReports_.revision() == crashRevision_)
        return;
    for (const auto& report : crashReports_.changesSince(crashRevision_, clock_.now())) {
        auto suspicion = crashReports_.suspicion(report.part, clock_.now());
        bool wasHeldBack = guard.isHeldBack(report.part);
        guard.setSuspicion(report.part, suspicion, now);
        bool isHeldBack = guard.isHeldBack(report.part);
        if (wasHeldBack || isHeldBack)
            logger.info("The suspicion against a prompt part or a request changed.", { { "part", report.part }, { "is_request", routing::isWholeRequest(report.part) }, { "is_held_back", isHeldBack }, { "crashes", suspicion.origins.size() }, { "age_ms", suspicion.age.count() } });
    }
    crashRevision_ = crashReports_.revision();
}

bool EntryNode::isReady() const { return !stoppingSince_ && proxy_.routes() && !proxy_.mayRoutesBeOutdated(); }

void EntryNode::applyRoutesProof()
{
    const bool mayBeOutdated = fleetPoller_.mayRoutesBeOutdated();
    if (mayBeOutdated == proxy_.mayRoutesBeOutdated())
        return;
    proxy_.setRoutesOutdated(mayBeOutdated);
    if (mayBeOutdated)
        logger.warning("No control VM proves that the configuration is still in force; requests are refused.", {});
    else
        logger.info("The configuration is proved to be in force; requests are served.", {});
}

void EntryNode::tick()
{
    auto now = base::TimePoint(std::chrono::steady_clock::now());
    for (const auto& process : proxy_.takeLeavingUpstreams()) {
        registry_.markLeaving(process, clock_.now());
        fleetPoller_.reportLeave(process);
    }
    if (registry_.revision() != registryRevision_) {
        registryRevision_ = registry_.revision();
        proxy_.setUpstreams(registry_);
    }
    if (fleetPoller_.takePeerLoadChange())
        proxy_.setPeerLoad(fleetPoller_.peerLoad());
    applyRoutesProof();
    proxy_.tick(now);
    exchangeCrashReports(now);
    fleetPoller_.sendUrgentPolls();
    if (stoppingSince_)
        endRemainingRequests(now);
    if (++ticks_ % ticksPerSlowTick)
        return;
    fleetPoller_.tick();
    applyHandoverPeers();
    registry_.purge(clock_.now() - fleet::UpstreamRegistry::absentRetention);
    applyEntryVmCount();
    reportActivity(now);
    callerServer_->tick(now);
    readinessServer_->tick(now);
    handoverServer_->tick(now);
    if (stoppingSince_)
        tryFinishStopping(now);
}

void EntryNode::applyHandoverPeers()
{
    std::vector<net::Endpoint> peers;
    for (auto ip : fleetPoller_.handoverPeers())
        peers.push_back({ ip, handoverPort(options_) });
    proxy_.setHandoverPeers(peers);
}

void EntryNode::applyEntryVmCount()
{
    auto count = fleetPoller_.entryVmCount();
    proxy_.setEntryVmCount(count);
    if (fleetPoller_.answerCount() == observedAnswers_)
        return;
    observedAnswers_ = fleetPoller_.answerCount();
    census_.observe(count, fleetPoller_.doAllControlVmsRespond(), clock_.now());
    proxy_.setLimitPart(census_.part());
}

void EntryNode::reportActivity(base::TimePoint now)
{
    if (now < nextReportAt_)
        return;
    nextReportAt_ = now + activityReportInterval;
    if (auto crossed = traffic_.take(); !crossed.empty())
        logger.info("Activity of the last second.", { { "crossed", crossed } });
}

void EntryNode::stop(std::function<void()> onStopped)
{
    if (stoppingSince_)
        return;
    stoppingSince_ = std::chrono::steady_clock::now();
    onStopped_ = std::move(onStopped);
    proxy_.stop(*stoppingSince_ + options_.stopGrace - stopMargin);
    logger.info("Stopping the entry VM.", { { "requests", proxy_.openExchangeCount() } });
}

void EntryNode::tryFinishStopping(base::TimePoint now)
{
    if (now < *stoppingSince_ + drainDelay)
        return;
    // The load balancer still sends callers here if it has no other VM. Refuse those
    // whose requests would be cut off at the end of the stop grace.
    proxy_.setDrainDeadline(*stoppingSince_ + options_.stopGrace - stopMargin);
    callerServer_->closeIdle(now - stopIdleTimeout);
    handoverServer_->closeIdle(now - stopIdleTimeout);
    // A request that arrived since the last tick shows that others may be on their way.
    bool isQuiet = proxy_.counters().requests == requestsAtLastCheck_;
    requestsAtLastCheck_ = proxy_.counters().requests;
    bool isFinished = isQuiet && !proxy_.openExchangeCount() && !callerServer_->hasUnfinishedWork() && !handoverServer_->hasUnfinishedWork();
    if (isFinished)
        onStopped_();
}

void EntryNode::endRemainingRequests(base::TimePoint now)
{
    auto graceEnd = *stoppingSince_ + options_.stopGrace;
    if (now < graceEnd - stopMargin)
        return;
    if (proxy_.openExchangeCount())
        logger.warning("Ending the remaining requests because the stop grace is nearly over.", { { "requests", proxy_.openExchangeCount() } });
    proxy_.endRequests();
    if (now >= graceEnd - deliveryMargin || (!callerServer_->hasUnfinishedWork() && !handoverServer_->hasUnfinishedWork()))
        onStopped_();
}

} // namespace arbutus::node
