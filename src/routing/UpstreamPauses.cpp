#include "include/routing/UpstreamPauses.h"

#include <algorithm>

namespace arbutus::routing {

void UpstreamPauses::pause(const std::string& upstream, base::TimePoint until)
{
    auto& current = pausedUntil_[upstream];
    current = std::max(current, until);
}

void UpstreamPauses::dropEnded(base::TimePoint now)
{
    for (auto it = pausedUntil_.begin(); it != pausedUntil_.end();)
        it = now >= it->second ? pausedUntil_.erase(it) : std::next(it);
}

void UpstreamPauses::addPaused(std::set<std::string>& upstreams, base::TimePoint now)
{
    dropEnded(now);
    for (const auto& [upstream, until] : pausedUntil_)
        upstreams.insert(upstream);
}

std::optional<base::TimePoint> UpstreamPauses::earliestEnd(base::TimePoint now)
{
    dropEnded(now);
    std::optional<base::TimePoint> earliest;
    for (const auto& [upstream, until] : pausedUntil_)
        earliest = std::min(earliest.value_or(until), until);
    return earliest;
}

} // namespace arbutus::routing
