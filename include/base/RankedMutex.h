#pragma once

#include <mutex>

namespace arbutus::base {

// A mutex with a rank in the lock order of docs/locks.md. A thread may lock it
// only if every RankedMutex that it already holds has a lower rank. A violation
// aborts the process, because it could lead to a deadlock.
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
