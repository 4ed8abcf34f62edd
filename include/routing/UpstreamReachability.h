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

    // One or two upstreams are often down together.
    static constexpr std::size_t minMissedUpstreams = 3;

    explicit UpstreamReachability(std::uint64_t seed)
        : random_(seed)
    {
    }

    // Records that an upstream could not be connected to or dropped a request. `knownUpstreams`
    // is the number of upstreams that this VM could use.
    Change upstreamMissed(const std::string& upstream, std::size_t knownUpstreams, base::TimePoint now);
    // Records that an upstream has sent anything.
    Change upstreamReached();
    // Records that a connection to an upstream has been established.
    void upstreamConnected() { missedSinceConnect_.clear(); }

    // Whether several upstreams were missed in a short time, and none has been reached since
    // the first of them.
    bool isCutOff() const { return cutOffSince_.has_value(); }
    // Whether cut off, or several upstreams were missed lately and no connection has been
    // established since: open connections may live on while new ones fail.
    bool isImpaired(base::TimePoint now) const { return isCutOff() || (now < impairedUntil_ && !missedSinceConnect_.empty()); }

    // Returns true whenever an upstream should be connected to, to see whether it can be reached.
    // Call only while that is in doubt. The times are randomized, so that many VMs do not return
    // at once.
    bool takeProbe(base::TimePoint now);

    // The upstreams missed since one was reached.
    std::size_t missedCount() const { return missedSinceReach_.size(); }
    // When the first of the misses that led to the cut took place.
    std::optional<base::TimePoint> cutOffSince() const { return cutOffSince_; }

private:
    // When each upstream was missed last.
    using Misses = std::map<std::string, base::TimePoint>;

    static void record(Misses&, const std::string& upstream, base::TimePoint now);
    void scheduleProbe(base::TimePoint now);

    base::Random random_;
    Misses missedSinceReach_;
    Misses missedSinceConnect_;
    std::optional<base::TimePoint> cutOffSince_;
    base::TimePoint impairedUntil_;
    base::TimePoint nextProbeAt_;
};

} // namespace arbutus::routing
