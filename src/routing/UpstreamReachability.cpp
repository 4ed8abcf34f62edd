#include "include/routing/UpstreamReachability.h"

#include <algorithm>

namespace arbutus::routing {

// Misses that lie further apart have causes of their own.
static constexpr std::chrono::seconds missWindow(3);
// As long as an upstream that was missed is avoided.
static constexpr std::chrono::seconds impairedDuration(2);
static constexpr std::chrono::milliseconds probeIntervalMin(250);
static constexpr std::chrono::milliseconds probeIntervalMax(750);

void UpstreamReachability::record(Misses& misses, const std::string& upstream, base::TimePoint now)
{
    for (auto it = misses.begin(); it != misses.end();)
        it = it->second < now - missWindow ? misses.erase(it) : std::next(it);
    misses[upstream] = now;
}

UpstreamReachability::Change UpstreamReachability::upstreamMissed(const std::string& upstream, std::size_t knownUpstreams, base::TimePoint now)
{
    const auto threshold = std::min(minMissedUpstreams, std::max<std::size_t>(knownUpstreams, 1));
    record(missedSinceConnect_, upstream, now);
    if (missedSinceConnect_.size() >= threshold)
        impairedUntil_ = now + impairedDuration;
    if (isCutOff())
        return Change::None;
    record(missedSinceReach_, upstream, now);
    if (missedSinceReach_.size() < threshold)
        return Change::None;
    auto first = std::min_element(missedSinceReach_.begin(), missedSinceReach_.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    cutOffSince_ = first->second;
    scheduleProbe(now);
    return Change::CutOff;
}

UpstreamReachability::Change UpstreamReachability::upstreamReached()
{
    missedSinceReach_.clear();
    if (!isCutOff())
        return Change::None;
    cutOffSince_.reset();
    return Change::Reached;
}

bool UpstreamReachability::takeProbe(base::TimePoint now)
{
    if (now < nextProbeAt_)
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
