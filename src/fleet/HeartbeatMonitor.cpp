#include "include/fleet/HeartbeatMonitor.h"

namespace arbutus::fleet {

// Reports that may be missed before an upstream counts as silent.
static constexpr int maxMissedHeartbeats = 3;
// Longer pauses mean that the process stood still.
static constexpr std::chrono::milliseconds stallThreshold(900);
static constexpr std::chrono::milliseconds checkInterval(300);
// A control VM that is not heard from for so long does not watch its upstreams any more.
static constexpr std::chrono::seconds registrarTimeout(5);
static constexpr std::chrono::minutes absentRetention(2);

HeartbeatMonitor::HeartbeatMonitor(std::string self, std::chrono::milliseconds heartbeatInterval)
    : self_(std::move(self))
    , heartbeatTimeout_(heartbeatInterval * maxMissedHeartbeats)
{
}

void HeartbeatMonitor::tick(UpstreamRegistry& registry, bool hasLeader, const HasHeardFrom& hasHeardFrom, base::TimePoint now)
{
    bool didStall = lastTickAt_ && now > *lastTickAt_ + stallThreshold;
    lastTickAt_ = now;
    if (didStall || !hasLeader) {
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
    registry.purge(now - absentRetention);
}

} // namespace arbutus::fleet
