#pragma once

#include <pplx/pplxtasks.h>

#include <atomic>
#include <memory>

namespace arbutus::http {

// Observes the exception of a reply whose result nobody needs. The library terminates the
// process for an exception that is never observed.
void observeFailure(const pplx::task<void>& reply);

// Counts the replies that are still being written to their sockets. Thread-safe.
class ReplyTracker {
public:
    ReplyTracker()
        : count_(std::make_shared<std::atomic<std::size_t>>(0))
    {
    }

    // Counts `reply` until it is written or has failed. The returned task yields true if
    // the reply was written; it never throws.
    pplx::task<bool> track(const pplx::task<void>& reply);

    std::size_t count() const { return *count_; }

private:
    // Shared with the tasks, because a reply may complete after this object is destroyed.
    std::shared_ptr<std::atomic<std::size_t>> count_;
};

} // namespace arbutus::http
