#include "include/fleet/HeartbeatMonitor.h"

namespace arbutus::fleet {

// An upstream that misses this many heartbeats is marked as unresponsive.
static constexpr int maxMissedHeartbeats = 3;
// A longer pause between ticks means that the process stalled.
static constexpr std::chrono::milliseconds stallThreshold(900);
static constexpr std::chrono::milliseconds checkInterval(300);
// A control VM that has not been heard from for this long is assumed to monitor its
// upstreams no longer.
static constexpr std::chrono::seconds registrarTimeout(5);

HeartbeatMonitor::HeartbeatMonitor(std::string self, std::chrono::milliseconds heartbeatInterval)
    : self_(std::move(self))
    , heartbeatTimeout_(heartbeatInterval * maxMissedHeartbeats)
{
}

void HeartbeatMonitor::tick(UpstreamRegistry& registry, bool takesReports, const HasHeardFrom& hasHeardFrom, base::TimePoint now)
{
    bool didStall = lastTickAt_ && now > *lastTickAt_ + stallThreshold;
    lastTickAt_ = now;
    if (didStall || !takesReports) {
        registry.restartTimeouts(now);
        return;
    }
    if (now < nextCheckAt_)
        return;
    nextCheckAt_ = now + checkInterval;
    auto isAuthority = [&](const UpstreamRecord& record) {
        if (record.registrar == self_)
            return true;
        auto ip = net::parseIp(record.registrar);
        return !ip || !hasHeardFrom(ip.value(), now - registrarTimeout);
    };
    registry.markUnresponsive(now - heartbeatTimeout_, isAuthority, now);
    registry.purge(now - UpstreamRegistry::absentRetention);
}

} // namespace arbutus::fleet
