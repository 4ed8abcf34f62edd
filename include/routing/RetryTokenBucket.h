#pragma once

namespace arbutus::routing {

// Limits retries to a fraction of the successes: a token bucket to which each
// success adds `ratio` tokens, and from which each retry removes one. During a
// widespread failure there are few successes, so retries stop adding load.
class RetryTokenBucket {
public:
    // Starts full, so that a new process may retry.
    RetryTokenBucket(double ratio, double capacity);

    void recordSuccess();
    // Removes the token for one retry. Returns false if no whole token is left.
    bool tryAcquire();
    double balance() const { return balance_; }

private:
    double ratio_;
    double capacity_;
    double balance_;
};

} // namespace arbutus::routing
