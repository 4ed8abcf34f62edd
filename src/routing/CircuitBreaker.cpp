#include "include/routing/CircuitBreaker.h"

#include <algorithm>

namespace arbutus::routing {

static constexpr int failuresToOpen = 3;
static constexpr std::chrono::nanoseconds initialOpenDelay = std::chrono::seconds(1);
static constexpr std::chrono::nanoseconds maxOpenDelay = std::chrono::seconds(30);
// A probe whose outcome is never reported, for example because its caller
// disconnected, must not keep the circuit half-open forever.
static constexpr std::chrono::nanoseconds probeTimeout = std::chrono::seconds(10);

CircuitBreaker::State CircuitBreaker::state(base::TimePoint now) const
{
    if (consecutiveFailures_ < failuresToOpen)
        return State::Closed;
    return now < probeAt_ ? State::Open : State::HalfOpen;
}

bool CircuitBreaker::isAvailable(base::TimePoint now) const
{
    const State current = state(now);
    return current == State::Closed || (current == State::HalfOpen && now >= probeEndsAt_);
}

void CircuitBreaker::recordSent(base::TimePoint now)
{
    if (state(now) == State::HalfOpen && now >= probeEndsAt_)
        probeEndsAt_ = now + probeTimeout;
}

void CircuitBreaker::recordSuccess()
{
    consecutiveFailures_ = 0;
    openDelay_ = {};
    probeEndsAt_ = {};
}

void CircuitBreaker::recordFailure(base::TimePoint now)
{
    const State before = state(now);
    consecutiveFailures_ = std::min(consecutiveFailures_ + 1, failuresToOpen);
    // Failures of requests that were sent before the circuit opened do not extend the delay.
    if (consecutiveFailures_ < failuresToOpen || before == State::Open)
        return;
    openDelay_ = openDelay_.count() ? std::min(openDelay_ * 2, maxOpenDelay) : initialOpenDelay;
    probeAt_ = now + openDelay_;
    probeEndsAt_ = {};
}

} // namespace arbutus::routing
