#pragma once

#include "include/base/Random.h"
#include "include/base/Time.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace arbutus::routing {

// Tells whether this VM has lost its paths to all upstreams. Its own failures alone do not
// show that: upstreams may be down. So the answer decides only how this VM sends its
// requests, never what it tells others of the upstreams.
class UpstreamReachability {
public:
    enum class Change {
        None,
        CutOff,
        Reached,
    };

    explicit UpstreamReachability(std::uint64_t seed)
        : random_(seed)
    {
    }

    // Records that an upstream could not be connected to or did not answer. `knownUpstreams`
    // is the number of upstreams that this VM could use.
    Change upstreamMissed(const std::string& upstream, std::size_t knownUpstreams, base::TimePoint now);
    // Records that an upstream has been connected to or has sent anything.
    Change upstreamReached(base::TimePoint now);

    // Whether several upstreams were missed in a short time, and none has been reached since
    // the first of them.
    bool isCutOff() const { return cutOffSince_.has_value(); }
    // Whether an upstream was missed lately.
    bool isImpaired(base::TimePoint now) const { return isCutOff() || now < impairedUntil_; }

    // While cut off, returns true whenever an upstream should be connected to, to see whether
    // it can be reached again. The times are randomized, so that many VMs do not return at once.
    bool takeProbe(base::TimePoint now);

    // The upstreams missed since one was reached.
    std::size_t missedCount() const { return missedAt_.size(); }
    // When the first of the misses that led to the cut took place.
    std::optional<base::TimePoint> cutOffSince() const { return cutOffSince_; }

private:
    void scheduleProbe(base::TimePoint now);

    base::Random random_;
    std::map<std::string, base::TimePoint> missedAt_;
    std::optional<base::TimePoint> cutOffSince_;
    base::TimePoint impairedUntil_;
    base::TimePoint nextProbeAt_;
};

} // namespace arbutus::routing
