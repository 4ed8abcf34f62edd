#pragma once

#include "include/base/Time.h"

#include <chrono>

namespace arbutus::routing {

// Circuit breaker of one upstream, driven by the outcome of regular requests.
// Consecutive failures open the circuit. After a delay, a single request probes the
// upstream; each failed probe doubles the delay.
class CircuitBreaker {
public:
    enum class State {
        Closed,
        Open,
        HalfOpen,
    };

    State state(base::TimePoint now) const;
    // True if a request may be sent: closed, or half-open without a probe in flight.
    bool isAvailable(base::TimePoint now) const;

    // Call when a request is sent. In the half-open state, the request becomes the probe.
    void recordSent(base::TimePoint now);
    void recordSuccess();
    void recordFailure(base::TimePoint now);

private:
    int consecutiveFailures_ = 0;
    std::chrono::nanoseconds openDelay_ {};
    base::TimePoint probeAt_;
    // Timeout of the probe in flight.
    base::TimePoint probeEndsAt_;
};

} // namespace arbutus::routing
