#include "include/routing/RetryPolicy.h"

#include <algorithm>
#include <cassert>

namespace arbutus::routing {

static constexpr double minJitterFactor = 0.8;
static constexpr double maxJitterFactor = 1.2;

RetryPolicy::RetryPolicy(const Limits& limits, base::TimePoint deadline)
    : limits_(limits)
    , deadline_(deadline)
{
    assert(limits.initialDelay.count() > 0 && limits.maxDelay >= limits.initialDelay);
}

std::optional<base::TimePoint> RetryPolicy::nextAttemptAt(const std::vector<std::string>& upstreams, std::chrono::nanoseconds expectedTime, base::TimePoint now, RetryTokenBucket& tokenBucket, base::Random& random)
{
    for (const auto& upstream : upstreams) {
        if (std::find(triedUpstreams_.begin(), triedUpstreams_.end(), upstream) == triedUpstreams_.end())
            triedUpstreams_.push_back(upstream);
    }
    ++failedAttempts_;
    if (failedAttempts_ >= limits_.maxAttempts)
        return std::nullopt;
    auto delay = limits_.initialDelay;
    for (std::size_t i = 1; i < failedAttempts_ && delay < limits_.maxDelay; ++i)
        delay *= 2;
    delay = std::min(delay, limits_.maxDelay);
    const double jittered = static_cast<double>(delay.count()) * random.between(minJitterFactor, maxJitterFactor);
    const base::TimePoint at = now + std::chrono::nanoseconds(static_cast<std::int64_t>(jittered));
    if (at + expectedTime > deadline_ || !tokenBucket.tryAcquire())
        return std::nullopt;
    return at;
}

} // namespace arbutus::routing
