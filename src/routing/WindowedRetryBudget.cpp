#include "include/routing/WindowedRetryBudget.h"

namespace arbutus::routing {

// Fraction of the budget in use. Whoever checks the budget may align its window
// differently, and the number of entry VMs is known with a delay.
static constexpr double budgetSafetyFactor = 0.7;

WindowedRetryBudget::WindowedRetryBudget(double ratio, double slack, std::chrono::milliseconds window)
    : ratio_(ratio)
    , slack_(slack)
    // One extra slice is counted, because the oldest slice is partly outside the window.
    , sliceLength_(std::chrono::nanoseconds(window) / (sliceCount - 1))
{
}

WindowedRetryBudget::Slice& WindowedRetryBudget::sliceAt(base::TimePoint now)
{
    std::int64_t index = now.time_since_epoch() / sliceLength_;
    auto& slice = slices_[static_cast<std::size_t>(index) % sliceCount];
    if (slice.index != index)
        slice = { index, 0, 0 };
    return slice;
}

void WindowedRetryBudget::recordRequest(base::TimePoint now) { ++sliceAt(now).requests; }

bool WindowedRetryBudget::tryAcquire(base::TimePoint now)
{
    auto& current = sliceAt(now);
    double requests = 0;
    double retries = 0;
    for (const auto& slice : slices_) {
        if (slice.index <= current.index - static_cast<std::int64_t>(sliceCount))
            continue;
        requests += slice.requests;
        retries += slice.retries;
    }
    double allowed = budgetSafetyFactor * (ratio_ * requests + slack_ / (entryVmCount_ ? entryVmCount_ : 1));
    if (retries + 1 > allowed)
        return false;
    ++current.retries;
    return true;
}

} // namespace arbutus::routing
