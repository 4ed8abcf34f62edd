#pragma once

#include "include/base/Time.h"

#include <chrono>

namespace arbutus::routing {

// Passive health of one upstream. Consecutive failures open the circuit; after
// a delay that doubles with each further failure, one request probes it.
class CircuitBreaker {
public:
    enum class State {
        Closed,
        Open,
        HalfOpen,
    };

    State state(base::TimePoint now) const;
    // True when a request may be sent: closed, or half-open without a probe under way.
    bool isAvailable(base::TimePoint now) const;

    // Call when a request is sent; in the half-open state it becomes the probe.
    void recordSent(base::TimePoint now);
    void recordSuccess();
    void recordFailure(base::TimePoint now);

private:
    int consecutiveFailures_ = 0;
    std::chrono::nanoseconds openDelay_ {};
    base::TimePoint probeAt_;
    // Until then the outcome of a probe is awaited.
    base::TimePoint probeEndsAt_;
};

} // namespace arbutus::routing
