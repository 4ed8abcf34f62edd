#pragma once

#include "include/base/Time.h"
#include "include/fleet/EntryVmCensus.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace arbutus::routing {

class RetryPermit;

// Limits the retries in any time window. All entry VMs share one budget, but cannot
// coordinate each retry. So each VM uses an equal part of the fixed slack, and the
// part that is proportional to its own requests. The latter adds up over the processes of a
// VM; the former does not, so a VM that knows too little uses none of it. All times are of
// base::bootNow().
//
// A repeat counts when it arrives at an upstream, which may be long after it was permitted: it
// may wait for an upstream, and an upstream that is silent for a while finds all that was sent
// to it when it goes on. So a repeat counts in every window until it is known to have arrived,
// and for one window from then on.
class WindowedRetryBudget {
public:
    // The window that ends now.
    struct Usage {
        double requests = 0;
        // Includes all that may still arrive.
        double repeats = 0;
        // How many repeats this VM may send in it.
        double allowed = 0;
    };

    // Permits at most `ratio` times the number of requests, plus `slack`, in a time
    // window of length `window`.
    WindowedRetryBudget(double ratio, double slack, std::chrono::milliseconds window);

    // Sets the part of this VM in the slack. Until the first call, it has none.
    void setSlackPart(const fleet::LimitPart& part) { slackPart_ = part; }

    void recordRequest(base::TimePoint now);
    // Charges one retry, which arrives now, to the budget. Returns false if the budget is
    // exhausted.
    bool tryAcquire(base::TimePoint now);
    // Permits one retry, which is sent later. Returns an empty permit if the budget is
    // exhausted.
    static RetryPermit tryReserve(const std::shared_ptr<WindowedRetryBudget>&, base::TimePoint now);
    // Counts one more retry that may arrive when `upstream` reads on, without a permit.
    void addUnread(const std::string& upstream, base::TimePoint now);
    // Call for each sign that the upstream reads what was sent to it.
    void upstreamReads(const std::string& upstream, base::TimePoint now);
    // The upstreams for which `isSound` returns true have read all that was sent to them before
    // `sentBefore`.
    void settleUnread(base::TimePoint sentBefore, const std::function<bool(const std::string& upstream)>& isSound, base::TimePoint now);
    Usage usage(base::TimePoint now) const;
    const fleet::LimitPart& slackPart() const { return slackPart_; }

private:
    friend class RetryPermit;

    // Retries that may arrive when an upstream reads on.
    struct Unread {
        std::uint32_t retries = 0;
        // Of the latest.
        base::TimePoint sentAt;
    };

    // Counts of one slice of the sliding window.
    struct Slice {
        std::int64_t index = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    static constexpr std::size_t sliceCount = 20;

    std::int64_t sliceIndex(base::TimePoint now) const { return now.time_since_epoch() / sliceLength_; }
    Slice& sliceAt(base::TimePoint now);
    // Returns how much of the slack this VM may use.
    double ownSlack(base::TimePoint now) const;
    bool isExhausted(base::TimePoint now);
    void expireUnread(base::TimePoint now);

    double ratio_;
    double slack_;
    std::chrono::nanoseconds sliceLength_;
    fleet::LimitPart slackPart_;
    std::array<Slice, sliceCount> slices_;
    // Permits that are held.
    std::uint32_t reserved_ = 0;
    std::map<std::string, Unread> unread_;
};

// The charge for one retry, from the decision until it has arrived. It is given back when it
// is destroyed.
class RetryPermit {
public:
    RetryPermit() = default;
    RetryPermit(RetryPermit&&) noexcept = default;
    RetryPermit& operator=(RetryPermit&& other) noexcept
    {
        giveBack();
        budget_ = std::move(other.budget_);
        return *this;
    }
    ~RetryPermit() { giveBack(); }

    explicit operator bool() const { return budget_ != nullptr; }
    // These do nothing to an empty permit, and leave the permit empty.
    void giveBack();
    // The retry has arrived.
    void setArrived(base::TimePoint now);
    // The retry, or an attempt before it, may arrive when `upstream` reads on.
    void setUnread(const std::string& upstream, base::TimePoint now);

private:
    friend class WindowedRetryBudget;

    explicit RetryPermit(std::shared_ptr<WindowedRetryBudget> budget)
        : budget_(std::move(budget))
    {
    }

    std::shared_ptr<WindowedRetryBudget> budget_;
};

} // namespace arbutus::routing
