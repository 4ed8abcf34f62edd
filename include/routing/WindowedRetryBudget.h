#pragma once

#include "include/base/Time.h"

#include <array>
#include <cstdint>

namespace arbutus::routing {

// Bounds the sends beyond the first of each request, in any window of time. All
// entry VMs share one budget and cannot ask each other for each retry, so each
// takes a part of the fixed slack and its own share of what grows with requests.
class WindowedRetryBudget {
public:
    // In a window of `window`, at most `ratio` times the requests and `slack`.
    WindowedRetryBudget(double ratio, double slack, std::chrono::milliseconds window);

    // `entryCount` VMs divide the slack among themselves.
    void setEntryVmCount(std::uint32_t entryVmCount) { entryVmCount_ = entryVmCount; }

    void recordRequest(base::TimePoint now);
    // Takes one retry; returns false when the allowance is used up.
    bool tryAcquire(base::TimePoint now);

private:
    // A sum over the last window, kept in slices of it.
    struct Slice {
        std::int64_t index = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    static constexpr std::size_t sliceCount = 20;

    Slice& sliceAt(base::TimePoint now);

    double ratio_;
    double slack_;
    std::chrono::nanoseconds sliceLength_;
    std::uint32_t entryVmCount_ = 1;
    std::array<Slice, sliceCount> slices_;
};

} // namespace arbutus::routing
