#pragma once

namespace arbutus::routing {

// Limits retries to a fraction of the successes: a token bucket that each
// success fills by `ratio` and each retry empties by one. When upstreams fail
// widely there are few successes, and retries stop adding to the load.
class RetryBudget {
public:
    // Starts full, so that a process which has just started may retry.
    RetryBudget(double ratio, double capacity);

    void recordSuccess();
    // Takes one retry from the budget; returns false when there is none.
    bool tryAcquire();
    double balance() const { return balance_; }

private:
    double ratio_;
    double capacity_;
    double balance_;
};

} // namespace arbutus::routing
