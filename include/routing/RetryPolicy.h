#pragma once

#include "include/base/Random.h"
#include "include/base/Time.h"
#include "include/routing/RetryBudget.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::routing {

// The retries of one request: when the next one may be sent, and which
// upstreams it must avoid. The caller makes sure that the call may be repeated.
class RetryPolicy {
public:
    struct Limits {
        std::chrono::nanoseconds initialDelay = std::chrono::milliseconds(50);
        std::chrono::nanoseconds maxDelay = std::chrono::seconds(2);
        std::size_t maxAttempts = 4;
    };

    RetryPolicy(const Limits&, base::TimePoint deadline);

    // Call when an attempt on `upstreams` has failed. Returns when to send the
    // next attempt; nothing when the attempts or the budget are used up, or when
    // an attempt that takes `expectedTime` would end after the deadline. The
    // budget is charged only when a time is returned.
    std::optional<base::TimePoint> nextAttemptAt(const std::vector<std::string>& upstreams, std::chrono::nanoseconds expectedTime, base::TimePoint now, RetryBudget&, base::Random&);

    // Upstreams that later attempts must exclude.
    const std::vector<std::string>& triedUpstreams() const { return triedUpstreams_; }

private:
    Limits limits_;
    base::TimePoint deadline_;
    std::size_t failedAttempts_ = 0;
    std::vector<std::string> triedUpstreams_;
};

} // namespace arbutus::routing
