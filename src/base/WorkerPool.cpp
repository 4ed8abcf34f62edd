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

std::size_t WorkerPool::unfinishedTaskCount() const
{
    std::lock_guard lock(mutex_);
    return tasks_.size() + runningTaskCount_;
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
        ++runningTaskCount_;
        lock.unlock();
        task();
        // Destroys the task's captures, outside the lock, before it stops counting as unfinished.
        task = nullptr;
        lock.lock();
        --runningTaskCount_;
    }
}

} // namespace arbutus::base
