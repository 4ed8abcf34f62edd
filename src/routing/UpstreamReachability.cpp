#include "include/routing/UpstreamReachability.h"

#include <algorithm>

namespace arbutus::routing {

// One or two upstreams are often down together.
static constexpr std::size_t minMissedUpstreams = 3;
// Misses that lie further apart have causes of their own.
static constexpr std::chrono::seconds missWindow(3);
// As long as an upstream that was missed is avoided.
static constexpr std::chrono::seconds impairedDuration(2);
static constexpr std::chrono::milliseconds probeIntervalMin(250);
static constexpr std::chrono::milliseconds probeIntervalMax(750);

UpstreamReachability::Change UpstreamReachability::upstreamMissed(const std::string& upstream, std::size_t knownUpstreams, base::TimePoint now)
{
    impairedUntil_ = now + impairedDuration;
    if (isCutOff())
        return Change::None;
    for (auto it = missedAt_.begin(); it != missedAt_.end();)
        it = now > it->second + missWindow ? missedAt_.erase(it) : std::next(it);
    missedAt_.emplace(upstream, now);
    if (missedAt_.size() < std::min(minMissedUpstreams, std::max<std::size_t>(knownUpstreams, 1)))
        return Change::None;
    auto first = std::min_element(missedAt_.begin(), missedAt_.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    cutOffSince_ = first->second;
    scheduleProbe(now);
    return Change::CutOff;
}

UpstreamReachability::Change UpstreamReachability::upstreamReached(base::TimePoint now)
{
    missedAt_.clear();
    if (!isCutOff())
        return Change::None;
    cutOffSince_.reset();
    impairedUntil_ = now + impairedDuration;
    return Change::Reached;
}

bool UpstreamReachability::takeProbe(base::TimePoint now)
{
    if (!isCutOff() || now < nextProbeAt_)
        return false;
    scheduleProbe(now);
    return true;
}

void UpstreamReachability::scheduleProbe(base::TimePoint now)
{
    auto spread = std::chrono::duration<double, std::milli>(random_.between(probeIntervalMin.count(), probeIntervalMax.count()));
    nextProbeAt_ = now + std::chrono::duration_cast<std::chrono::nanoseconds>(spread);
}

} // namespace arbutus::routing
