#pragma once

#include <chrono>

namespace arbutus::base {

// Monotonic time for deadlines and leases. Comparable only within one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
// Wall-clock time for logs, records and display.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

} // namespace arbutus::base
