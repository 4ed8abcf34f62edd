#include "include/routing/ServiceBalancer.h"

#include <algorithm>

namespace arbutus::routing {

// Weight of the newest call in the moving averages.
static constexpr double newestCallWeight = 0.15;
// Assumed latency of an upstream that has not answered yet.
static constexpr double initialCallMilliseconds = 30;
// Cost of a failed call, as a multiple of the latency.
static constexpr double failureCostFactor = 12;
static constexpr double remotePenaltyMilliseconds = 2;
// A local upstream that costs more than this multiple of the best one is not sound: it fails
// one call in six or more, is suspect, or much slower.
static constexpr double maxLocalCostFactor = 3;
static constexpr double suspectPenaltyMilliseconds = 100'000;

void ServiceBalancer::setUpstream(const fleet::UpstreamRecord& record)
{
    if (record.state != fleet::UpstreamState::Ready) {
        removeUpstream(record.id);
        return;
    }
    upstreams_[record.id].record = record;
}

void ServiceBalancer::markSuspect(const std::string& id, base::TimePoint until)
{
    if (auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.suspectUntil = std::max(found->second.suspectUntil, until);
}

double ServiceBalancer::runningAt(const Upstream& upstream) const
{
    auto peer = peerRunning_.find(upstream.record.id);
    return upstream.running + (peer == peerRunning_.end() ? 0 : peer->second);
}

double ServiceBalancer::expectedCost(const Upstream& upstream, base::TimePoint now) const
{
    double running = runningAt(upstream);
    double slots = std::max(1, upstream.record.slots);
    double time = upstream.milliseconds > 0 ? upstream.milliseconds : initialCallMilliseconds;
    // An upstream runs as many calls in parallel as it has slots; further calls queue.
    double queueing = 1 + std::max(0.0, (running + 1 - slots) / slots) + running / slots * 0.5;
    double result = time * queueing * (1 + failureCostFactor * upstream.failureRate);
    if (upstream.record.dataCentre != dataCentre_)
        result += remotePenaltyMilliseconds;
    if (now < upstream.suspectUntil)
        result += suspectPenaltyMilliseconds;
    return result;
}

std::optional<fleet::UpstreamRecord> ServiceBalancer::choose(const std::set<std::string>& avoided, base::TimePoint now) const
{
    const Upstream* best = nullptr;
    const Upstream* bestLocal = nullptr;
    auto prefer = [this, now](const Upstream*& known, const Upstream& upstream) {
        if (!known || expectedCost(upstream, now) < expectedCost(*known, now))
            known = &upstream;
    };
    for (const auto& [id, upstream] : upstreams_) {
        if (avoided.count(id))
            continue;
        prefer(best, upstream);
        if (staysLocal_ && upstream.record.dataCentre == dataCentre_ && hasFreeSlot(upstream))
            prefer(bestLocal, upstream);
    }
    if (!best)
        return std::nullopt;
    bool isSound = bestLocal && expectedCost(*bestLocal, now) <= maxLocalCostFactor * expectedCost(*best, now);
    return isSound ? bestLocal->record : best->record;
}

void ServiceBalancer::callStarted(const std::string& id)
{
    if (auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.running += 1;
}

void ServiceBalancer::callFinished(const std::string& id, CallResult result, std::chrono::nanoseconds duration)
{
    auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    auto& upstream = found->second;
    upstream.running = std::max(0.0, upstream.running - 1);
    if (result == CallResult::Cancelled || result == CallResult::NotRun)
        return;
    double failure = result == CallResult::Answered ? 0 : 1;
    upstream.failureRate += newestCallWeight * (failure - upstream.failureRate);
    if (result == CallResult::Lost)
        return;
    double milliseconds = std::chrono::duration<double, std::milli>(duration).count();
    upstream.milliseconds = upstream.milliseconds > 0 ? upstream.milliseconds + newestCallWeight * (milliseconds - upstream.milliseconds) : milliseconds;
}

std::map<std::string, double> ServiceBalancer::ownRunning() const
{
    std::map<std::string, double> result;
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream.running > 0)
            result[id] = upstream.running;
    }
    return result;
}

} // namespace arbutus::routing
