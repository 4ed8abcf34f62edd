#pragma once

#include <mutex>

namespace arbutus::base {

// A mutex with a place in the lock order of docs/locks.md. A thread may lock it
// only while every mutex it holds has a lower rank; a violation aborts.
class RankedMutex {
public:
    explicit constexpr RankedMutex(int rank)
        : rank_(rank)
    {
    }

    void lock();
    void unlock();

private:
    const int rank_;
    std::mutex mutex_;
};

using RankedLock = std::unique_lock<RankedMutex>;

} // namespace arbutus::base
