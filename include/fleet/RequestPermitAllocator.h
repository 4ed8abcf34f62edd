#pragma once

#include "include/base/Time.h"
#include "include/fleet/NamedLimit.h"
#include "include/fleet/RequestLimitReport.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace arbutus::fleet {

// Divides the requests that limited upstreams accept among the entry VMs that take their
// permits from this control VM. If others take theirs from another control VM, each
// control VM gives out its part only, so that the limit holds over all of them.
class RequestPermitAllocator {
public:
    // A permit that is not used within this time has expired.
    static constexpr std::chrono::milliseconds permitLifetime { 600 };
    // How long a new or lifted limit is passed on to VMs that do not ask for it.
    static constexpr std::chrono::seconds newsLifetime { 2 };
    // An upstream whose limit is lower still gets requests at this rate, because only
    // answers show that a limit was lifted.
    static constexpr double minPerSecond = 0.25;

    // Call for each poll of an entry VM.
    void entryVmPolled(const std::string& entryVm, bool takesPermits, base::TimePoint now);
    // Merges what an entry VM knows about limits and takes its unused permits back.
    void apply(const RequestLimitReports&, base::TimePoint now);
    // Returns the permits that an entry VM with these reports gets, and recent changes.
    RequestLimitReports allocate(const RequestLimitReports& wanted, base::TimePoint now);
    // Forgets limits that nobody has reported for long, and entry VMs that are gone.
    void expire(base::TimePoint now);

    // Increases with every change of a limit that entry VMs must learn.
    std::uint64_t revision() const { return revision_; }
    std::size_t limitCount() const { return limits_.size(); }

private:
    struct Limit {
        NamedLimit named;
        base::TimePoint reportedAt;
        double permits = 0;
        base::TimePoint refilledAt;
        // Permits that entry VMs have given back.
        std::uint32_t returned = 0;
    };
    struct EntryVm {
        base::TimePoint polledAt;
        bool takesPermits = false;
    };

    void merge(const RequestLimitReport&, base::TimePoint now);
    double ownShare() const;
    void refill(Limit&, base::TimePoint now) const;
    static void takeBack(Limit&, std::uint32_t unused);
    std::uint32_t grant(Limit&, std::uint32_t wanted, base::TimePoint now) const;
    void evictOldest();

    std::map<std::string, Limit> limits_;
    std::uint64_t revision_ = 1;
    std::map<std::string, EntryVm> entryVms_;
    // How many of them take their permits from this control VM.
    std::size_t takerCount_ = 0;
};

} // namespace arbutus::fleet
