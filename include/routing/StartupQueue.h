#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <optional>

namespace arbutus::routing {

// Bounds the requests that wait at an entry VM which has just started, until it has
// a configuration and knows upstreams. Answers a restart of the whole fleet: the
// callers' retries all arrive while the entry VMs catch up, which takes a second or
// two, and most callers do not come back a third time. Later, requests that cannot
// be served are refused at once.
class StartupQueue {
public:
    explicit StartupQueue(base::TimePoint startedAt);

    bool isOpen(base::TimePoint now) const { return now < startupEnd_; }
    // Takes a request of `bytes` whose caller waits `patience` from `arrivedAt` on.
    // Returns until when it may wait; nothing if the start is over or too much waits.
    std::optional<base::TimePoint> tryAdmit(base::TimePoint arrivedAt, std::optional<std::chrono::milliseconds> callerTimeout, std::size_t bytes);
    // Ends a wait that `join` began with the same number of bytes.
    void release(std::size_t bytes);

    std::size_t size() const { return size_; }

private:
    base::TimePoint startupEnd_;
    std::size_t size_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace arbutus::routing
