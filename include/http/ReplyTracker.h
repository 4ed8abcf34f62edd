#pragma once

#include <pplx/pplxtasks.h>

#include <atomic>
#include <memory>

namespace arbutus::http {

// Counts the replies that are still being written to their sockets.
class ReplyTracker {
public:
    ReplyTracker()
        : count_(std::make_shared<std::atomic<std::size_t>>(0))
    {
    }

    // Counts `reply` until it is written or has failed. Returns whether it was
    // written, as a task that never throws.
    pplx::task<bool> track(const pplx::task<void>& reply);

    std::size_t count() const { return *count_; }

private:
    // Shared, because a reply may end after the process's parts are gone.
    std::shared_ptr<std::atomic<std::size_t>> count_;
};

} // namespace arbutus::http
