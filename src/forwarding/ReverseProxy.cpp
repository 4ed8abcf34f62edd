#include "include/forwarding/ReverseProxy.h"

#include "include/base/Clock.h"
#include "include/base/Logger.h"
#include "include/fleet/DemandTable.h"
#include "include/fleet/FleetMessages.h"
#include "src/forwarding/Exchange.h"
#include "src/forwarding/ReachabilityProbe.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace arbutus::forwarding {

static constexpr std::chrono::seconds poolTickInterval(1);
// Within this time, control VMs find out that an upstream misses its heartbeats, also if they
// have to take over from a control VM that is lost.
static constexpr std::chrono::seconds silenceNoticeTime(10);
static constexpr base::Logger logger("gate");

static constexpr int overloadStatus = 503;
// Unfinished requests make room as soon as others need it.
static constexpr std::chrono::milliseconds overloadRetryAfter(1000);

// Limits the rate of path searches when many requests wait for the same service.
static constexpr std::chrono::milliseconds reachabilityCheckInterval(30);
// Lower rates, per second, are left over from streams long ago.
static constexpr double minReportedRate = 0.001;
// Leaves most of the usual first-event latency objective for the engines.
static constexpr std::chrono::milliseconds maxExpectedQueueWait(280);

bool ServiceState::isReachable(base::TimePoint now)
{
    if (now < nextReachabilityCheckAt)
        return false;
    bool isFound = pathSelector ? pathSelector->hasPath({}, now) : balancer && !balancer->isEmpty();
    if (!isFound)
        nextReachabilityCheckAt = now + reachabilityCheckInterval;
    return isFound;
}

// Smaller changes of a planned share are not logged.
static constexpr double noticeableShareChange = 0.1;

static bool isNoticeable(const routing::CrossSitePlanner::Shares& from, const routing::CrossSitePlanner::Shares& to)
{
    return std::any_of(to.begin(), to.end(), [&from](const auto& entry) {
        auto known = from.find(entry.first);
        return std::abs(entry.second - (known == from.end() ? 0 : known->second)) >= noticeableShareChange;
    });
}

void ServiceState::logPlan(base::TimePoint now)
{
    const auto* shares = pathSelector ? pathSelector->plannedShares(now) : nullptr;
    auto current = shares ? *shares : routing::CrossSitePlanner::Shares();
    bool hasEnded = current.empty() && !loggedShares.empty();
    if (!hasEnded && !isNoticeable(loggedShares, current) && !isNoticeable(current, loggedShares))
        return;
    std::string text;
    for (const auto& [dataCentre, share] : current)
        text += fmt::format("{}{}:{:.2f}", text.empty() ? "" : ",", dataCentre, share);
    auto crossed = pathSelector->crossedStreams();
    logger.info("The share of streams for other data centres changed.", { { "service", name }, { "shares", text }, { "has_plan", shares != nullptr }, { "crossed_streams", crossed - loggedCrossedStreams } });
    loggedShares = std::move(current);
    loggedCrossedStreams = crossed;
}

// Returns the time to the first event that the most demanding route of the service allows.
static routing::FractionalMilliseconds firstEventAim(const std::vector<routes::Route>& routes, const std::string& service)
{
    std::optional<std::chrono::milliseconds> aim;
    for (const auto& route : routes) {
        bool hasService = std::any_of(route.weightedServices.begin(), route.weightedServices.end(), [&service](const auto& weighted) { return weighted.service == service && weighted.weight > 0; });
        if (hasService && route.firstResponseObjective.count() > 0)
            aim = std::min(aim.value_or(route.firstResponseObjective), route.firstResponseObjective);
    }
    return aim ? routing::FractionalMilliseconds(*aim) : routing::StreamAims().firstEvent;
}

void ServiceState::logAdmission(base::TimePoint now)
{
    int level = static_cast<int>(admission.overallShare(now) * 10);
    if (level == loggedAdmissionLevel)
        return;
    loggedAdmissionLevel = level;
    std::array<std::string, routes::priorityClassCount> shares;
    for (int i = 0; i < routes::priorityClassCount; ++i)
        shares[static_cast<std::size_t>(i)] = fmt::format("{:.2f}", admission.share(i, now));
    logger.info("The admission by priority changed.", { { "service", name }, { "admitted_share", fmt::format("{:.2f}", admission.overallShare(now)) }, { "shares", fmt::format("{}", fmt::join(shares, ",")) }, { "refused_since_last", std::exchange(unloggedAdmissionRefusals, 0) } });
}

void ServiceState::logRepeats()
{
    auto counts = std::exchange(repeats, {});
    if (!counts.charged && !counts.refused && !counts.uncharged)
        return;
    auto used = retryBudget->usage(base::bootNow());
    logger.info("Requests were repeated.", { { "service", name }, { "charged", counts.charged }, { "refused", counts.refused }, { "uncharged", counts.uncharged }, { "window_requests", used.requests }, { "window_repeats", used.repeats }, { "window_allowed", fmt::format("{:.1f}", used.allowed) }, { "slack_parts", retryBudget->slackPart().partCount }, { "may_use_slack", base::bootNow() < retryBudget->slackPart().usableUntil } });
}

ReverseProxy::ReverseProxy(boost::asio::io_context& context, const HeaderCodec& headerCodec, ReverseProxyOptions options)
    : context_(context)
    , headerCodec_(headerCodec)
    , options_(std::move(options))
    , random_(options_.seed)
    , pool_(context, options_.maxRequests / 2)
    , startupQueue_(std::chrono::steady_clock::now())
    , crashGuard_(options_.seed)
    , reachability_(options_.seed)
{
}

ReverseProxy::~ReverseProxy() = default;

http1::Response problemResponse(const base::Error& error, std::optional<std::chrono::milliseconds> retryAfter)
{
    const auto& rule = base::errorRule(error.kind);
    http1::Response response;
    response.status = rule.httpStatus;
    response.fields.add("Content-Type", "application/problem+json");
    if (retryAfter)
        response.fields.add("Retry-After", fmt::format("{:.2f}", std::chrono::duration<double>(*retryAfter).count()));
    // Error details are fixed texts of this program, so they need no JSON escaping.
    response.body = fmt::format(R"({{"kind":"{}","notRun":{},"mayResend":{},"detail":"{}"}})", rule.name,
        rule.executionStatus == base::ExecutionStatus::Unknown ? "\"unknown\"" : base::notRunText(rule.executionStatus), rule.mayResend, error.detail);
    return response;
}

http1::Response overloadResponse()
{
    auto response = problemResponse(base::makeError(base::ErrorKind::Overloaded, "this VM has no memory or connections left for the request"), overloadRetryAfter);
    // Callers take 429 for a limit of their own.
    response.status = overloadStatus;
    return response;
}

ServiceState& ReverseProxy::service(const std::string& name)
{
    auto found = services_.find(name);
    if (found == services_.end()) {
        auto retryBudget = std::make_shared<routing::WindowedRetryBudget>(options_.retryBudget.ratio, options_.retryBudget.slack, options_.retryBudget.window);
        retryBudget->setSlackPart(limitPart_);
        found = services_.emplace(name, ServiceState { name, nullptr, nullptr, retryBudget, routing::CapacityQueue(maxExpectedQueueWait), routing::RequestRateLimiter(random_.unit()), {}, {}, routing::PriorityAdmission(random_.unit()) }).first;
        found->second.rateLimiter.setEntryVmCount(limitPart_.partCount);
    }
    auto& state = found->second;
    const auto* service = routes_ ? routes_->service(name) : nullptr;
    bool isLayered = service && service->model;
    if (isLayered && !state.pathSelector) {
        state.pathSelector = std::make_unique<routing::LayerPathSelector>(*service->model, options_.dataCentre, random_.next());
        state.pathSelector->setLimitsRefusing(options_.routing.limitsRefusingEngines);
        upstreamRevision_ = 0;
    }
    if (!isLayered && !state.balancer) {
        state.balancer = std::make_unique<routing::ServiceBalancer>(options_.dataCentre);
        upstreamRevision_ = 0;
    }
    return state;
}

void ReverseProxy::setRoutes(std::shared_ptr<const routes::RouteTable> table)
{
    routes_ = std::move(table);
    bool hasDelays = std::any_of(routes_->services().begin(), routes_->services().end(), [this](const auto& definition) { return definition.model && definition.model->hasDelays(options_.dataCentre); });
    for (const auto& definition : routes_->services()) {
        auto& state = service(definition.name);
        if (definition.model && state.pathSelector)
            state.pathSelector->setModel(*definition.model);
        if (state.balancer)
            state.balancer->setStaysLocal(hasDelays && options_.routing.plansDataCentres);
        if (state.pathSelector)
            state.pathSelector->setFirstEventAim(firstEventAim(routes_->routes(), definition.name));
    }
    // Upstreams may have been registered before their service was configured.
    for (const auto& [id, upstream] : knownUpstreams_)
        applyUpstream(upstream);
}

void ReverseProxy::setUpstreams(const fleet::UpstreamRegistry& registry)
{
    for (const auto& upstream : registry.changesSince(upstreamRevision_)) {
        auto known = knownUpstreams_.find(upstream.id);
        bool isNewProcess = known == knownUpstreams_.end() || known->second.startedAtMilliseconds != upstream.startedAtMilliseconds;
        if (isNewProcess) {
            pool_.evict(upstream.endpoint());
            forgetWishes(upstream);
        }
        if (known != knownUpstreams_.end() && known->second.service != upstream.service)
            detachUpstream(known->second);
        if (upstream.state == fleet::UpstreamState::Gone) {
            knownUpstreams_.erase(upstream.id);
            forgetWishes(upstream);
        } else {
            knownUpstreams_[upstream.id] = upstream;
        }
        applyUpstream(upstream);
    }
    upstreamRevision_ = registry.revision();
}

void ReverseProxy::applyUpstream(const fleet::UpstreamRecord& upstream)
{
    auto found = services_.find(upstream.service);
    if (found == services_.end())
        return;
    if (found->second.pathSelector)
        found->second.pathSelector->setEngine(upstream);
    if (found->second.balancer)
        found->second.balancer->setUpstream(upstream);
}

void ReverseProxy::forgetWishes(const fleet::UpstreamRecord& upstream)
{
    if (auto found = services_.find(upstream.service); found != services_.end()) {
        found->second.rateLimiter.removeUpstream(upstream.id);
        found->second.pauses.removeUpstream(upstream.id);
    }
}

fleet::UpstreamRecord* ReverseProxy::findProcess(const fleet::UpstreamProcess& process)
{
    auto known = knownUpstreams_.find(process.id);
    bool isKnown = known != knownUpstreams_.end() && known->second.startedAtMilliseconds == process.startedAtMilliseconds;
    return isKnown ? &known->second : nullptr;
}

void ReverseProxy::upstreamLeaves(const fleet::UpstreamProcess& process)
{
    auto* upstream = findProcess(process);
    if (!upstream || upstream->isLeaving)
        return;
    upstream->isLeaving = true;
    logger.info("An upstream has announced its leave in an answer.", { { "upstream", process.id }, { "started_at_ms", process.startedAtMilliseconds } });
    if (upstream->state == fleet::UpstreamState::Ready)
        upstream->state = fleet::UpstreamState::Draining;
    applyUpstream(*upstream);
    leavingUpstreams_.push_back(process);
}

void ReverseProxy::upstreamPauses(const fleet::UpstreamProcess& process, base::TimePoint until)
{
    const auto* upstream = findProcess(process);
    auto found = upstream ? services_.find(upstream->service) : services_.end();
    if (found != services_.end())
        found->second.pauses.pause(process.id, until);
}

void ReverseProxy::detachUpstream(const fleet::UpstreamRecord& upstream)
{
    auto found = services_.find(upstream.service);
    if (found == services_.end())
        return;
    forgetWishes(upstream);
    if (found->second.pathSelector)
        found->second.pathSelector->removeEngine(upstream.id);
    if (found->second.balancer)
        found->second.balancer->removeUpstream(upstream.id);
}

fleet::RequestLimitReports ReverseProxy::takeLimitReports()
{
    fleet::RequestLimitReports reports;
    for (auto& [name, state] : services_) {
        auto ofService = state.rateLimiter.takeReports(state.waitQueue.size(), base::bootNow());
        reports.insert(reports.end(), std::make_move_iterator(ofService.begin()), std::make_move_iterator(ofService.end()));
    }
    return reports;
}

bool ReverseProxy::hasLimits() const
{
    return std::any_of(services_.begin(), services_.end(), [](const auto& entry) { return entry.second.rateLimiter.limitCount() > 0; });
}

void ReverseProxy::applyLimitReports(const fleet::RequestLimitReports& reports, base::TimePoint grantedBy)
{
    auto now = base::bootNow();
    for (auto& [name, state] : services_)
        state.rateLimiter.allocatorAnswered(now);
    for (const auto& report : reports) {
        auto upstream = knownUpstreams_.find(report.upstream);
        auto service = upstream == knownUpstreams_.end() ? services_.end() : services_.find(upstream->second.service);
        if (service != services_.end())
            service->second.rateLimiter.apply(report, grantedBy, now);
    }
}

void ReverseProxy::setPeerLoad(const std::map<std::string, fleet::UpstreamInFlightLoad>& load)
{
    auto now = std::chrono::steady_clock::now();
    std::map<std::string, routing::InFlightLoad> engines;
    std::map<std::string, double> running;
    for (const auto& [upstream, sum] : load) {
        engines[upstream] = { static_cast<double>(sum.running), sum.cacheTokenLayers, static_cast<double>(sum.refusals) };
        running[upstream] = sum.running;
    }
    for (auto& [name, state] : services_) {
        if (state.pathSelector)
            state.pathSelector->setPeerLoad(engines, now);
        if (state.balancer)
            state.balancer->setPeerRunning(running);
    }
}

static routing::ClassDemands sumByClass(const fleet::ServiceDemands& rows)
{
    routing::ClassDemands result {};
    for (const auto& row : rows) {
        if (row.priority < 0 || row.priority >= routes::priorityClassCount)
            continue;
        auto& sum = result[static_cast<std::size_t>(row.priority)];
        sum.arrivals += row.arrivals;
        sum.completions += row.completions;
        sum.refusals += row.refusals;
    }
    return result;
}

void ReverseProxy::setDemand(const fleet::ServiceDemands& rows, base::TimePoint now)
{
    std::map<std::string, fleet::ServiceDemands> byService;
    for (const auto& row : rows)
        byService[row.service].push_back(row);
    for (auto& [name, state] : services_) {
        if (!state.pathSelector)
            continue;
        const auto& ofService = byService[name];
        if (options_.routing.plansDataCentres)
            state.pathSelector->setDemand(ofService, now);
        if (routes_ && routes_->differsInPriority(name))
            state.admission.update(sumByClass(ofService), state.pathSelector->freeStreams(now), now);
    }
}

fleet::ServiceDemands ReverseProxy::ownDemand(base::TimePoint now) const
{
    fleet::ServiceDemands result;
    for (const auto& [name, state] : services_) {
        if (!routes_ || (!state.pathSelector && !routes_->differsInPriority(name)))
            continue;
        auto demand = state.demand.demand(now);
        for (int i = 0; i < routes::priorityClassCount; ++i) {
            const auto& [arrivals, completions, refusals] = demand[static_cast<std::size_t>(i)];
            bool isMeasurable = arrivals + completions + refusals >= minReportedRate;
            if (isMeasurable && result.size() < fleet::DemandTable::maxRowsPerEntryVm)
                result.push_back({ name, options_.dataCentre, i, arrivals, completions, refusals });
        }
    }
    return result;
}

void ReverseProxy::setEntryVmCount(std::uint32_t count)
{
    entryVmCount_ = count;
    for (auto& [name, state] : services_) {
        if (state.pathSelector)
            state.pathSelector->setEntryVmCount(count);
    }
}

void ReverseProxy::setLimitPart(const fleet::LimitPart& part)
{
    limitPart_ = part;
    crashGuard_.setEntryVmCount(part.partCount);
    for (auto& [name, state] : services_) {
        state.retryBudget->setSlackPart(part);
        state.rateLimiter.setEntryVmCount(part.partCount);
    }
}

std::vector<fleet::UpstreamInFlightLoad> ReverseProxy::ownLoad() const
{
    auto now = std::chrono::steady_clock::now();
    std::vector<fleet::UpstreamInFlightLoad> result;
    for (const auto& [name, state] : services_) {
        if (state.pathSelector) {
            for (const auto& [upstream, load] : state.pathSelector->ownLoad(now))
                result.push_back({ upstream, static_cast<std::uint32_t>(load.running), load.cacheTokenLayers, static_cast<std::uint32_t>(load.refusals) });
        }
        if (state.balancer) {
            for (const auto& [upstream, running] : state.balancer->ownRunning())
                result.push_back({ upstream, static_cast<std::uint32_t>(running), 0, 0 });
        }
    }
    return result;
}

std::shared_ptr<http1::ActiveRequest> ReverseProxy::onRequest(const std::shared_ptr<http1::ServerConnection>& connection, http1::Request request)
{
    return startExchange(connection, std::move(request), std::nullopt);
}

std::shared_ptr<http1::ActiveRequest> ReverseProxy::takeHandover(const std::shared_ptr<http1::ServerConnection>& connection, http1::Request request, const HandoverMark& mark)
{
    ++counters_.takenHandovers;
    return startExchange(connection, std::move(request), mark);
}

std::shared_ptr<http1::ActiveRequest> ReverseProxy::startExchange(const std::shared_ptr<http1::ServerConnection>& connection, http1::Request request, std::optional<HandoverMark> handover)
{
    if (runningCount_ >= options_.maxRequests) {
        ++counters_.refused;
        options_.bytes->countRefusal();
        connection->send(overloadResponse());
        return nullptr;
    }
    auto exchange = std::make_shared<Exchange>(*this, connection, std::move(request), handover);
    exchanges_.push_back(exchange);
    ++runningCount_;
    exchange->start();
    return exchange;
}

http1::ServerLimits ReverseProxy::onLimits() const
{
    http1::ServerLimits limits;
    if (!routes_)
        return limits;
    const auto& configured = routes_->limits();
    limits.read = { configured.headBytes, configured.bodyBytes };
    limits.headTimeout = configured.headTimeout;
    limits.idleTimeout = configured.idleTimeout;
    return limits;
}

http1::Response ReverseProxy::onRequestErrorResponse(int status) const
{
    if (status == overloadStatus)
        return overloadResponse();
    auto response = problemResponse(base::makeError(base::ErrorKind::InvalidRequest, "the request is malformed or exceeds a limit"), std::nullopt);
    response.status = status;
    return response;
}

void ReverseProxy::endRequests()
{
    auto exchanges = std::exchange(exchanges_, {});
    for (const auto& exchange : exchanges)
        exchange->endForStop();
}

void ReverseProxy::settleRepeats()
{
    auto isReady = [this](const std::string& upstream) {
        auto known = knownUpstreams_.find(upstream);
        return known != knownUpstreams_.end() && known->second.state == fleet::UpstreamState::Ready;
    };
    auto now = base::bootNow();
    for (auto& [name, state] : services_)
        state.retryBudget->settleUnread(now - silenceNoticeTime, isReady, now);
}

void ReverseProxy::tick(base::TimePoint now)
{
    for (auto it = exchanges_.begin(); it != exchanges_.end();) {
        auto exchange = *it;
        exchange->tick(now);
        it = exchange->isFinished() ? exchanges_.erase(it) : std::next(it);
    }
    probeUpstreams(now);
    if (now >= nextPoolTickAt_) {
        nextPoolTickAt_ = now + poolTickInterval;
        pool_.tick(now);
        crashGuard_.tick(now);
        settleRepeats();
        for (auto& [name, state] : services_) {
            state.logPlan(now);
            state.logAdmission(now);
            state.logRepeats();
        }
    }
}

} // namespace arbutus::forwarding
