#pragma once

#include "include/fleet/UpstreamRegistry.h"

#include <functional>
#include <optional>
#include <string>

namespace arbutus::fleet {

// Marks upstreams that miss their heartbeats as unresponsive. A control VM judges the
// upstreams that send their heartbeats to it, and those of control VMs that it has lost
// contact with. A missing heartbeat proves nothing after this process stalled or while it
// takes no reports: upstreams then report to other control VMs without its knowledge.
class HeartbeatMonitor {
public:
    // Returns whether the control VM at `ip` has been heard from at or after `since`.
    using HasHeardFrom = std::function<bool(std::uint32_t ip, base::TimePoint since)>;

    // `self` is the registrar name of this VM.
    HeartbeatMonitor(std::string self, std::chrono::milliseconds heartbeatInterval);

    // Marks upstreams as unresponsive and purges old ones. Must be called at least every
    // half second.
    void tick(UpstreamRegistry&, bool takesReports, const HasHeardFrom&, base::TimePoint now);

private:
    std::string self_;
    std::chrono::milliseconds heartbeatTimeout_;
    // Empty until the first tick.
    std::optional<base::TimePoint> lastTickAt_;
    base::TimePoint nextCheckAt_;
};

} // namespace arbutus::fleet
