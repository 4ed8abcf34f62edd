#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>

namespace arbutus::routing {

// Priority queue of the requests of one entry VM that wait for capacity at the engines
// of a service. Accepts a request only if, at the recent completion rate, it can
// expect to be placed within the maximum wait. Other requests are rejected
// immediately with a retry delay. Absorbs short peaks, not sustained overload.
class CapacityQueue {
public:
    using WaiterId = std::uint64_t;

    // `maxWait` is the longest time that a request may expect to wait.
    explicit CapacityQueue(std::chrono::milliseconds maxWait)
        : maxWait_(maxWait)
    {
    }

    // Call when a request of this VM has ended, which frees capacity.
    void recordCompletion(base::TimePoint now);

    // Adds a request behind all that are at least as urgent; lower numbers are more
    // urgent. Returns nullopt if the expected wait exceeds the maximum.
    std::optional<WaiterId> tryEnqueue(int priority, base::TimePoint now);
    // Adds a request whatever the expected wait is; the caller bounds the number.
    WaiterId enqueue(int priority) { return insert(insertPosition(priority), priority); }
    // Adds a stream whose caller already receives its answer, ahead of all requests
    // that have not started. Never rejected, because that would truncate the answer.
    WaiterId enqueueStarted();
    void remove(WaiterId);

    bool isEmpty() const { return waiters_.empty(); }
    std::size_t size() const { return waiters_.size(); }
    // Whether the request is among the first `count` in the queue.
    bool isAmongFirst(WaiterId, std::size_t count) const;
    // Delay after which a client whose request is rejected now should retry.
    std::chrono::milliseconds suggestedRetryDelay(base::TimePoint now) const;

private:
    struct Waiter {
        WaiterId id = 0;
        int priority = 0;
    };

    using Waiters = std::list<Waiter>;

    double completionsPerSecond(base::TimePoint now) const;
    Waiters::const_iterator insertPosition(int priority) const;
    WaiterId insert(Waiters::const_iterator position, int priority);

    std::chrono::milliseconds maxWait_;
    Waiters waiters_;
    WaiterId nextWaiterId_ = 1;
    // Completions per second: a moving average as of `completionRateAt_`.
    double completionRate_ = 0;
    base::TimePoint completionRateAt_;
};

} // namespace arbutus::routing
