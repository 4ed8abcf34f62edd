#pragma once

#include <atomic>
#include <chrono>

namespace arbutus::base {

// Keeps the longest delay recorded since it was last taken. Thread-safe.
class LatenessMeter {
public:
    void record(std::chrono::nanoseconds delay)
    {
        auto longest = longest_.load();
        while (delay.count() > longest && !longest_.compare_exchange_weak(longest, delay.count())) { }
    }

    // Returns the longest delay, zero if none was recorded, and starts anew.
    std::chrono::milliseconds take() { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::nanoseconds(longest_.exchange(0))); }

private:
    std::atomic<std::chrono::nanoseconds::rep> longest_ { 0 };
};

} // namespace arbutus::base
