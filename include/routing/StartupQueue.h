#pragma once

#include "include/base/Time.h"

#include <cstddef>
#include <optional>

namespace arbutus::routing {

// Bounds the requests that wait at an entry VM which has just started, until it has
// a configuration and knows upstreams. After a restart of the whole fleet, the
// callers' retries arrive while the entry VMs still need a second or two to catch up,
// and most callers do not retry a second time. After the startup period, requests
// that cannot be served are rejected immediately.
class StartupQueue {
public:
    explicit StartupQueue(base::TimePoint startedAt);

    bool isOpen(base::TimePoint now) const { return now < startupEnd_; }
    // Admits a request of `bytes` bytes whose caller times out `callerTimeout` after
    // `arrivedAt`. Returns the time until which the request may wait, or nullopt if
    // the startup period is over or the queue is full.
    std::optional<base::TimePoint> tryAdmit(base::TimePoint arrivedAt, std::optional<std::chrono::milliseconds> callerTimeout, std::size_t bytes);
    // Releases the capacity of an admitted request; `bytes` must match tryAdmit().
    void release(std::size_t bytes);

    std::size_t size() const { return size_; }

private:
    base::TimePoint startupEnd_;
    std::size_t size_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace arbutus::routing
