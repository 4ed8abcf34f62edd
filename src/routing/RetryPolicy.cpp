#include "include/routing/RetryPolicy.h"

#include <algorithm>
#include <cassert>

namespace arbutus::routing {

static constexpr double lowestJitter = 0.8;
static constexpr double highestJitter = 1.2;

RetryPolicy::RetryPolicy(const Limits& limits, base::TimePoint deadline)
    : limits_(limits)
    , deadline_(deadline)
{
    assert(limits.firstDelay.count() > 0 && limits.longestDelay >= limits.firstDelay);
}

std::optional<base::TimePoint> RetryPolicy::nextAttemptAt(const std::vector<std::string>& upstreams, std::chrono::nanoseconds expectedTime, base::TimePoint now, RetryBudget& budget, base::Random& random)
{
    for (const auto& upstream : upstreams) {
        if (std::find(tried_.begin(), tried_.end(), upstream) == tried_.end())
            tried_.push_back(upstream);
    }
    ++failedAttempts_;
    if (failedAttempts_ >= limits_.maxAttempts)
        return std::nullopt;
    auto delay = limits_.firstDelay;
    for (std::size_t i = 1; i < failedAttempts_ && delay < limits_.longestDelay; ++i)
        delay *= 2;
    delay = std::min(delay, limits_.longestDelay);
    const double jittered = static_cast<double>(delay.count()) * random.between(lowestJitter, highestJitter);
    const base::TimePoint at = now + std::chrono::nanoseconds(static_cast<std::int64_t>(jittered));
    if (at + expectedTime > deadline_ || !budget.tryTake())
        return std::nullopt;
    return at;
}

} // namespace arbutus::routing
