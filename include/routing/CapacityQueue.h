#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>

namespace arbutus::routing {

// The requests of one entry VM that wait for room at the engines of a service. A
// request waits only while it can expect to be placed before its limit, judged by
// the rate at which requests have left the engines; others are refused at once and
// told when to come back. Answers short peaks, not lasting overload.
class CapacityQueue {
public:
    using Ticket = std::uint64_t;

    // How long a request may wait at most.
    explicit CapacityQueue(std::chrono::milliseconds maxWait)
        : maxWait_(maxWait)
    {
    }

    // A request of this VM has ended, which makes room.
    void recordCompletion(base::TimePoint now);

    // Adds a request behind all that are at least as urgent; 0 is the most urgent.
    // Returns nothing if it would wait too long.
    std::optional<Ticket> tryEnqueue(int priority, base::TimePoint now);
    // Adds a stream that its caller sees already before all that have not begun; to
    // refuse it would cut it off.
    Ticket enqueueStarted();
    void remove(Ticket);

    bool isEmpty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }
    // Whether the request is among the first `count`.
    bool isAmongFirst(Ticket, std::size_t count) const;
    // How long a request that is refused now should stay away.
    std::chrono::milliseconds suggestedRetryDelay(base::TimePoint now) const;

private:
    struct Entry {
        Ticket ticket = 0;
        int priority = 0;
    };

    using Entries = std::list<Entry>;

    double completionsPerSecond(base::TimePoint now) const;
    Entries::const_iterator insertPosition(int priority) const;
    Ticket insert(Entries::const_iterator position, int priority);

    std::chrono::milliseconds maxWait_;
    Entries entries_;
    Ticket nextTicket_ = 1;
    // A moving average, decayed to the time of the last end.
    double completionRate_ = 0;
    base::TimePoint completionRateAt_;
};

} // namespace arbutus::routing
