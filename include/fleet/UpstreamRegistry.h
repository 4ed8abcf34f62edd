#pragma once

#include "include/base/Time.h"
#include "include/fleet/UpstreamRecord.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace arbutus::fleet {

// The upstreams by their own reports. Facts of one upstream are ordered by
// (start, sequence), so merging them is idempotent and late reports are harmless.
// Every accepted change gets a revision, by which others ask for what is new.
class UpstreamRegistry {
public:
    // Applies a fact. Returns whether anything changed that others must know.
    bool apply(const UpstreamRecord&, base::TimePoint now);

    // Applies an upstream's own report, heard by `registrar`. The sequence of a
    // farewell that carries none is taken to follow the last known one.
    bool applyHeartbeat(UpstreamRecord, const std::string& registrar, base::TimePoint now);
    // Applies what the upstream answered when it was asked. A small change of pace
    // is not told to others.
    bool applyStatus(const std::string& id, std::int64_t startedAtMilliseconds, double pace, const LayerRange&, base::TimePoint now);
    // Marks an upstream as gone. An unknown one is remembered as gone, so that a
    // late report does not bring it back. `bornMilliseconds` is 0 if it is not said.
    void deregister(const std::string& id, std::int64_t startedAtMilliseconds, const std::string& registrar, base::TimePoint now);

    // Marks upstreams as silent that `isAuthority` is answerable for and that have
    // not reported since `before`.
    void markUnresponsive(base::TimePoint before, const std::function<bool(const UpstreamRecord&)>& isAuthority, base::TimePoint now);
    // Gives every upstream a full period again, after this process stood still.
    void restartTimeouts(base::TimePoint now);
    // Forgets what has been gone or silent since before `before`.
    void purge(base::TimePoint before);

    std::uint64_t revision() const { return revision_; }
    // All facts whose last change has a revision above `revision`.
    std::vector<UpstreamRecord> changesSince(std::uint64_t revision) const;
    const UpstreamRecord* find(const std::string& id) const;
    // In the order of their ids.
    std::vector<const UpstreamRecord*> all() const;

private:
    struct TrackedUpstream {
        UpstreamRecord record;
        std::uint64_t revision = 0;
        base::TimePoint lastHeardAt;
        base::TimePoint changedAt;
    };

    bool isSuperseded(const UpstreamRecord&) const;
    void supersedeOthers(const UpstreamRecord&, base::TimePoint now);
    void store(const UpstreamRecord&, base::TimePoint now);
    bool republish(TrackedUpstream&, const UpstreamRecord& older, base::TimePoint now);

    std::map<std::string, TrackedUpstream> upstreams_;
    std::uint64_t revision_ = 0;
};

} // namespace arbutus::fleet
