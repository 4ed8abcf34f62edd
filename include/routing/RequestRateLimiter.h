#pragma once

#include "include/base/Time.h"
#include "include/fleet/NamedLimit.h"
#include "include/fleet/RequestLimitReport.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace arbutus::routing {

// Keeps the requests of one entry VM to the upstreams of a service within the limits that
// the upstreams have named for all entry VMs together. A limited upstream gets a request
// only for a permit. A control VM divides the permits (fleet::RequestPermitAllocator);
// the caller exchanges the reports with it. While no control VM answers, the VM uses an
// equal part of each limit. All times are of base::bootNow(), so that permits expire while
// the machine is suspended. Not thread-safe.
class RequestRateLimiter {
public:
    // `phase`, from 0 to 1, should differ between the entry VMs: it tells when they use
    // their equal parts, so that they do not all send at the same moment.
    explicit RequestRateLimiter(double phase)
        : phase_(phase)
    {
    }

    void setEntryVmCount(std::uint32_t entryVmCount) { entryVmCount_ = entryVmCount; }

    // Call when a request for the service arrives.
    void requestArrived(base::TimePoint now);
    // Call for each answer of an upstream to a request sent at `sentAt`, with the limit
    // that it names, if any. Returns whether that is a change.
    bool observe(const std::string& upstream, std::optional<double> perSecond, base::TimePoint sentAt, base::TimePoint now);

    // Adds the upstreams to which no request may be sent now.
    void addExhausted(std::set<std::string>& upstreams, base::TimePoint now);
    // Whether any upstream is exhausted.
    bool isLimiting(base::TimePoint now);
    // Call when a request is sent. Uses a permit if the upstream is limited.
    void sent(const std::string& upstream, base::TimePoint now);

    // Returns what a control VM must learn, with the permits wanted while `waiting`
    // requests of the service wait.
    fleet::RequestLimitReports takeReports(std::size_t waiting, base::TimePoint now);
    // Merges a control VM's report about an upstream of this service, whose permits were
    // granted by `grantedBy`. That may be long ago if this process was delayed.
    void apply(const fleet::RequestLimitReport&, base::TimePoint grantedBy, base::TimePoint now);
    // Call for each answer of the control VM that divides the permits.
    void allocatorAnswered(base::TimePoint now) { allocatorAnsweredAt_ = now; }
    void removeUpstream(const std::string& upstream) { limits_.erase(upstream); }

    std::size_t limitCount() const { return limits_.size(); }

private:
    struct Limit {
        fleet::NamedLimit named;
        // When each permit expires.
        std::deque<base::TimePoint> permits;
        std::uint32_t unused = 0;
        // While no control VM answers: when the part of this VM next allows a request.
        std::optional<base::TimePoint> ownPermitAt;
    };

    // Removes permits that exceed a limit which was `perSecondBefore` and has changed.
    static void trimPermits(Limit&, double perSecondBefore);
    bool maySend(Limit&, base::TimePoint now);
    void dropExpired(Limit&, base::TimePoint now);
    // The time between two requests of this VM's equal part.
    std::chrono::nanoseconds ownInterval(const Limit&) const;
    // Brings `ownPermitAt` up to date.
    void scheduleOwn(Limit&, base::TimePoint now) const;

    double phase_;
    std::map<std::string, Limit> limits_;
    std::uint32_t entryVmCount_ = 1;
    base::TimePoint allocatorAnsweredAt_;
    base::TimePoint arrivedAt_;
    // Since the last reports.
    std::uint32_t arrivals_ = 0;
};

} // namespace arbutus::routing
