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

private:
    void run();

    const std::size_t maxQueued_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::function<void()>> tasks_;
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace arbutus::base
