#pragma once

#include "include/base/Random.h"
#include "include/base/Time.h"
#include "include/routing/RetryTokenBucket.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::routing {

// Retry policy of one request: exponential backoff with jitter, a limit on attempts,
// and the upstreams to exclude. The caller must ensure that the call may be repeated.
class RetryPolicy {
public:
    struct Limits {
        std::chrono::nanoseconds initialDelay = std::chrono::milliseconds(50);
        std::chrono::nanoseconds maxDelay = std::chrono::seconds(2);
        std::size_t maxAttempts = 4;
    };

    RetryPolicy(const Limits&, base::TimePoint deadline);

    // Call when an attempt on `upstreams` has failed. Returns the time of the next
    // attempt. Returns nullopt if the attempts or the retry tokens are exhausted, or if an
    // attempt that takes `expectedTime` would end after the deadline. Removes a token
    // only if a time is returned.
    std::optional<base::TimePoint> nextAttemptAt(const std::vector<std::string>& upstreams, std::chrono::nanoseconds expectedTime, base::TimePoint now, RetryTokenBucket&, base::Random&);

    // Upstreams that failed earlier attempts; later attempts must exclude them.
    const std::vector<std::string>& triedUpstreams() const { return triedUpstreams_; }

private:
    Limits limits_;
    base::TimePoint deadline_;
    std::size_t failedAttempts_ = 0;
    std::vector<std::string> triedUpstreams_;
};

} // namespace arbutus::routing
