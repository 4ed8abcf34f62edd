#include "include/routing/RetryAllowance.h"

namespace arbutus::routing {

// Part of the budget that is used; the windows of those who count it begin at
// other times, and the number of entry VMs is known with a delay.
static constexpr double usedShare = 0.7;

RetryAllowance::RetryAllowance(double ratio, double slack, std::chrono::milliseconds window)
    : ratio_(ratio)
    , slack_(slack)
    // One slice more than the window has is counted, because the oldest is partly outside.
    , sliceLength_(std::chrono::nanoseconds(window) / (sliceCount - 1))
{
}

RetryAllowance::Slice& RetryAllowance::sliceAt(base::TimePoint now)
{
    std::int64_t number = now.time_since_epoch() / sliceLength_;
    auto& slice = slices_[static_cast<std::size_t>(number) % sliceCount];
    if (slice.number != number)
        slice = { number, 0, 0 };
    return slice;
}

void RetryAllowance::recordRequest(base::TimePoint now) { ++sliceAt(now).requests; }

bool RetryAllowance::tryTake(base::TimePoint now)
{
    auto& current = sliceAt(now);
    double requests = 0;
    double retries = 0;
    for (const auto& slice : slices_) {
        if (slice.number <= current.number - static_cast<std::int64_t>(sliceCount))
            continue;
        requests += slice.requests;
        retries += slice.retries;
    }
    double allowed = usedShare * (ratio_ * requests + slack_ / (entryCount_ ? entryCount_ : 1));
    if (retries + 1 > allowed)
        return false;
    ++current.retries;
    return true;
}

} // namespace arbutus::routing
