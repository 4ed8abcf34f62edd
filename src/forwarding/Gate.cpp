#include "include/forwarding/Gate.h"

#include "include/fleet/FleetMessages.h"
#include "src/forwarding/Exchange.h"

#include <fmt/format.h>

namespace arbutus::forwarding {

static constexpr std::chrono::seconds poolTickInterval(1);
// Many requests may wait for the same service.
static constexpr std::chrono::milliseconds searchInterval(30);
// Leaves the larger part of the usual objective of a first event to the engines.
static constexpr std::chrono::milliseconds longestWaitForRoom(280);

bool ServiceState::isReachable(base::TimePoint now)
{
    if (now < searchAgainAt)
        return false;
    bool isFound = paths ? paths->hasPath(now) : balancer && !balancer->isEmpty();
    if (!isFound)
        searchAgainAt = now + searchInterval;
    return isFound;
}

Gate::Gate(boost::asio::io_context& context, const Dialect& dialect, GateOptions options)
    : context_(context)
    , dialect_(dialect)
    , options_(std::move(options))
    , random_(options_.seed)
    , pool_(context)
    , startup_(std::chrono::steady_clock::now())
{
}

Gate::~Gate() = default;

http1::Response problemResponse(const base::Error& error, std::optional<std::chrono::milliseconds> retryAfter)
{
    const auto& rule = base::errorRule(error.kind);
    http1::Response response;
    response.status = rule.httpStatus;
    response.fields.add("Content-Type", "application/problem+json");
    if (retryAfter)
        response.fields.add("Retry-After", fmt::format("{:.2f}", std::chrono::duration<double>(*retryAfter).count()));
    // The details are fixed texts of this product, so they need no escaping.
    response.body = fmt::format(R"({{"kind":"{}","notRun":{},"mayResend":{},"detail":"{}"}})", rule.name,
        rule.statement == base::RunStatement::Unknown ? "\"unknown\"" : base::notRunText(rule.statement), rule.mayResend, error.detail);
    return response;
}

ServiceState& Gate::service(const std::string& name)
{
    auto found = services_.find(name);
    if (found == services_.end()) {
        routing::RetryAllowance retries(options_.retries.ratio, options_.retries.slack, options_.retries.window);
        retries.setEntryCount(entryCount_);
        found = services_.emplace(name, ServiceState { name, nullptr, nullptr, retries, routing::WaitingLine(longestWaitForRoom), {} }).first;
    }
    auto& state = found->second;
    const auto* service = routes_ ? routes_->service(name) : nullptr;
    bool isLayered = service && service->model;
    if (isLayered && !state.paths) {
        state.paths = std::make_unique<routing::LayerPathSelector>(*service->model, options_.dataCentre);
        upstreamRevision_ = 0;
    }
    if (!isLayered && !state.balancer) {
        state.balancer = std::make_unique<routing::ServiceBalancer>(options_.dataCentre);
        upstreamRevision_ = 0;
    }
    return state;
}

void Gate::setRoutes(std::shared_ptr<const routes::RouteTable> table)
{
    routes_ = std::move(table);
    for (const auto& definition : routes_->services()) {
        auto& state = service(definition.name);
        if (definition.model && state.paths)
            state.paths->setModel(*definition.model);
    }
    // Facts that came before their service was known are applied now.
    for (const auto& [id, fact] : known_)
        applyFact(fact);
}

void Gate::setUpstreams(const fleet::UpstreamRegistry& registry)
{
    for (const auto& fact : registry.changesSince(upstreamRevision_)) {
        auto known = known_.find(fact.id);
        bool isOtherStart = known == known_.end() || known->second.bornMilliseconds != fact.bornMilliseconds;
        if (isOtherStart)
            pool_.forget(fact.endpoint());
        if (known != known_.end() && known->second.service != fact.service)
            remove(known->second);
        if (fact.state == fleet::UpstreamState::Gone)
            known_.erase(fact.id);
        else
            known_[fact.id] = fact;
        applyFact(fact);
    }
    upstreamRevision_ = registry.revision();
}

void Gate::applyFact(const fleet::UpstreamFact& fact)
{
    auto found = services_.find(fact.service);
    if (found == services_.end())
        return;
    if (found->second.paths)
        found->second.paths->setEngine(fact);
    if (found->second.balancer)
        found->second.balancer->setUpstream(fact);
}

void Gate::remove(const fleet::UpstreamFact& fact)
{
    auto found = services_.find(fact.service);
    if (found == services_.end())
        return;
    if (found->second.paths)
        found->second.paths->removeEngine(fact.id);
    if (found->second.balancer)
        found->second.balancer->removeUpstream(fact.id);
}

void Gate::setOthersWork(const std::map<std::string, fleet::UpstreamWork>& work)
{
    std::map<std::string, routing::EngineWork> engines;
    std::map<std::string, double> running;
    for (const auto& [upstream, sum] : work) {
        engines[upstream] = { static_cast<double>(sum.running), sum.cacheTokenLayers };
        running[upstream] = sum.running;
    }
    for (auto& [name, state] : services_) {
        if (state.paths)
            state.paths->setOthersWork(engines);
        if (state.balancer)
            state.balancer->setOthersRunning(running);
    }
}

void Gate::setEntryCount(std::uint32_t count)
{
    entryCount_ = count;
    for (auto& [name, state] : services_)
        state.retries.setEntryCount(count);
}

std::vector<fleet::UpstreamWork> Gate::ownWork() const
{
    std::vector<fleet::UpstreamWork> result;
    for (const auto& [name, state] : services_) {
        if (state.paths) {
            for (const auto& [upstream, work] : state.paths->ownWork())
                result.push_back({ upstream, static_cast<std::uint32_t>(work.running), work.cacheTokenLayers });
        }
        if (state.balancer) {
            for (const auto& [upstream, running] : state.balancer->ownRunning())
                result.push_back({ upstream, static_cast<std::uint32_t>(running), 0 });
        }
    }
    return result;
}

std::shared_ptr<http1::ActiveRequest> Gate::onRequest(const std::shared_ptr<http1::ServerConnection>& connection, http1::Request request)
{
    auto exchange = std::make_shared<Exchange>(*this, connection, std::move(request));
    exchanges_.push_back(exchange);
    exchange->start();
    return exchange;
}

http1::ServerLimits Gate::onLimits() const
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

http1::Response Gate::onRequestErrorResponse(int status) const
{
    auto response = problemResponse(base::makeError(base::ErrorKind::InvalidRequest, "the request cannot be read or exceeds a limit"), std::nullopt);
    response.status = status;
    return response;
}

void Gate::tick(base::TimePoint now)
{
    for (auto it = exchanges_.begin(); it != exchanges_.end();) {
        auto exchange = *it;
        exchange->tick(now);
        it = exchange->isFinished() ? exchanges_.erase(it) : std::next(it);
    }
    if (now >= poolTickAt_) {
        poolTickAt_ = now + poolTickInterval;
        pool_.tick(now);
    }
}

} // namespace arbutus::forwarding
