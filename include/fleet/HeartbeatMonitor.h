#pragma once

#include "include/fleet/UpstreamRegistry.h"

#include <functional>
#include <optional>
#include <string>

namespace arbutus::fleet {

// Decides at a control VM which upstreams count as silent. It answers for the
// upstreams that report here and for those of control VMs that are not heard from.
// Silence proves nothing while this VM stood still or has no leader: then it takes
// no reports, and upstreams report elsewhere without its knowledge.
class HeartbeatMonitor {
public:
    // Whether the control VM with this address has been heard from since then.
    using HasHeardFrom = std::function<bool(std::uint32_t ip, base::TimePoint since)>;

    // `self` is the name of this VM as a registrar.
    HeartbeatMonitor(std::string self, std::chrono::milliseconds heartbeatInterval);

    // Marks and forgets upstreams; call at least every half second.
    void tick(UpstreamRegistry&, bool hasLeader, const HasHeardFrom&, base::TimePoint now);

private:
    std::string self_;
    std::chrono::milliseconds heartbeatTimeout_;
    // Unset until the first tick.
    std::optional<base::TimePoint> lastTickAt_;
    base::TimePoint nextCheckAt_;
};

} // namespace arbutus::fleet
