#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace arbutus::routing {

// The upstreams of one service that have asked this VM to send them no requests until a
// time. A later answer does not shorten a pause; a new process of the upstream ends it. Not
// thread-safe.
class UpstreamPauses {
public:
    // Call when an upstream turns a request away until `until`.
    void pause(const std::string& upstream, base::TimePoint until);
    // Call when the upstream is gone or has been started again.
    void removeUpstream(const std::string& upstream) { pausedUntil_.erase(upstream); }

    // Adds the upstreams whose pause has not ended.
    void addPaused(std::set<std::string>& upstreams, base::TimePoint now);
    // Returns the end of the pause that ends first; nullopt if no upstream is paused.
    std::optional<base::TimePoint> earliestEnd(base::TimePoint now);

    std::size_t count() const { return pausedUntil_.size(); }

private:
    void dropEnded(base::TimePoint now);

    std::map<std::string, base::TimePoint> pausedUntil_;
};

} // namespace arbutus::routing
