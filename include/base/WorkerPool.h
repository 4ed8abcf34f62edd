#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace arbutus::base {

// Thread pool of fixed size with a bounded FIFO queue.
class WorkerPool {
public:
    WorkerPool(std::size_t threads, std::size_t maxQueued);
    // Runs all queued tasks to completion, then joins the threads.
    ~WorkerPool();

    // Enqueues `task`. Returns false and discards it if the queue is full or the pool is stopping.
    bool post(std::function<void()> task);

    // Returns the number of queued and running tasks.
    std::size_t unfinishedTaskCount() const;

private:
    void run();

    const std::size_t maxQueued_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> tasks_;
    std::size_t runningTaskCount_ = 0;
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace arbutus::base
