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
class WaitingLine {
public:
    using Ticket = std::uint64_t;

    // How long a request may wait at most.
    explicit WaitingLine(std::chrono::milliseconds limit)
        : limit_(limit)
    {
    }

    // A request of this VM has ended, which makes room.
    void recordEnd(base::TimePoint now);

    // Adds a request behind all that are at least as urgent; 0 is the most urgent.
    // Returns nothing if it would wait too long.
    std::optional<Ticket> join(int priority, base::TimePoint now);
    // Adds a stream that its caller sees already before all that have not begun; to
    // refuse it would cut it off.
    Ticket rejoin();
    void leave(Ticket);

    bool isEmpty() const { return waiting_.empty(); }
    std::size_t size() const { return waiting_.size(); }
    // Whether the request is among the first `count`.
    bool isNearFront(Ticket, std::size_t count) const;
    // How long a request that is refused now should stay away.
    std::chrono::milliseconds comeBackAfter(base::TimePoint now) const;

private:
    struct Waiting {
        Ticket ticket = 0;
        int priority = 0;
    };

    using Places = std::list<Waiting>;

    double endsPerSecond(base::TimePoint now) const;
    Places::const_iterator placeFor(int priority) const;
    Ticket insert(Places::const_iterator place, int priority);

    std::chrono::milliseconds limit_;
    Places waiting_;
    Ticket nextTicket_ = 1;
    // A moving average, decayed to the time of the last end.
    double rate_ = 0;
    base::TimePoint rateAt_;
};

} // namespace arbutus::routing
