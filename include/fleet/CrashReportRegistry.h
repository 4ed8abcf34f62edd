#pragma once

#include "include/base/Time.h"
#include "include/fleet/CrashReport.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace arbutus::fleet {

// The crash reports of all entry VMs, by part. Merging is idempotent and independent of
// the order of arrival, so each VM may pass on what it knows to each other. Every change
// gets a new revision, so that others can request only later changes.
class CrashReportRegistry {
public:
    // After this time a part counts as new again.
    static constexpr std::chrono::hours reportLifetime { 24 };

    // A request under which an upstream ended.
    struct Origin {
        std::uint64_t crash = 0;
        std::uint64_t request = 0;
        friend bool operator==(const Origin& left, const Origin& right) { return left.crash == right.crash && left.request == right.request; }
    };
    // The reports of one part that are not refuted.
    struct Suspicion {
        // One for each crash.
        std::vector<Origin> origins;
        // Since the last of them; 0 without any.
        std::chrono::milliseconds age {};
    };

    // Merges a report, which may be known already. Returns whether it is a change.
    bool apply(const CrashReport&, base::TimePoint now);
    // Refutes all reports of a part.
    void refute(std::uint64_t part, base::TimePoint now);
    // Refutes all reports of a crash that was seen before `answeredRequestSentAt`, because
    // the upstream has answered a request which was sent then. It may have started again under
    // its id, so the answer counts only if it came on a connection that was established before
    // the crash, or has shown otherwise (`connectedAt` is nullopt) that the process is the same.
    void refuteCrash(std::uint64_t crash, base::TimePoint answeredRequestSentAt, std::optional<base::TimePoint> connectedAt, base::TimePoint now);
    // Forgets reports after their lifetime.
    void expire(base::TimePoint now);

    std::uint64_t revision() const { return revision_; }
    // Returns the reports whose last change has a revision above `revision`.
    std::vector<CrashReport> changesSince(std::uint64_t revision, base::TimePoint now) const;
    Suspicion suspicion(std::uint64_t part, base::TimePoint now) const;
    std::size_t size() const { return reports_.size(); }

private:
    struct Key {
        std::uint64_t part = 0;
        std::uint64_t crash = 0;
        friend bool operator<(const Key& left, const Key& right) { return left.part != right.part ? left.part < right.part : left.crash < right.crash; }
    };
    struct Stored {
        std::uint64_t request = 0;
        base::TimePoint crashedAt;
        base::TimePoint expiresAt;
        bool isRefuted = false;
        std::uint64_t revision = 0;
    };
    using Reports = std::map<Key, Stored>;

    bool isOnlyReport(Reports::const_iterator) const;
    void evictOne();

    Reports reports_;
    std::uint64_t revision_ = 0;
};

} // namespace arbutus::fleet
