#include "include/base/WorkerPool.h"

namespace arbutus::base {

WorkerPool::WorkerPool(std::size_t threads, std::size_t maxQueued)
    : maxQueued_(maxQueued)
{
    for (std::size_t i = 0; i < threads; ++i)
        threads_.emplace_back([this] { run(); });
}

WorkerPool::~WorkerPool()
{
    {
        std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_all();
    for (auto& thread : threads_)
        thread.join();
}

bool WorkerPool::post(std::function<void()> task)
{
    {
        std::lock_guard lock(mutex_);
        if (isStopping_ || tasks_.size() >= maxQueued_)
            return false;
        tasks_.push_back(std::move(task));
    }
    wake_.notify_one();
    return true;
}

void WorkerPool::run()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        wake_.wait(lock, [this] { return isStopping_ || !tasks_.empty(); });
        if (tasks_.empty())
            return;
        auto task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
        // Destroys the task's captures outside the lock.
        task = nullptr;
        lock.lock();
    }
}

} // namespace arbutus::base
