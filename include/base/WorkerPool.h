#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace arbutus::base {

// A fixed number of threads that run tasks in the order of their arrival.
class WorkerPool {
public:
    WorkerPool(std::size_t threads, std::size_t maxQueued);
    // Finishes every queued task.
    ~WorkerPool();

    // Returns false, and does not take the task, when the queue is full.
    bool post(std::function<void()> task);

    // Queued and running tasks.
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
