#include "include/base/Clock.h"

#include <ctime>
#include <fstream>

namespace arbutus::base {

TimePoint SystemClock::onNow() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::onWallNow() const
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
}

TimePoint bootNow()
{
    timespec now {};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

std::string bootName()
{
    std::string name;
    std::getline(std::ifstream("/proc/sys/kernel/random/boot_id"), name);
    return name;
}

TimePoint BootClock::onNow() const { return bootNow(); }

WallTime BootClock::onWallNow() const
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
}

TimePoint VirtualClock::onNow() const { return TimePoint(elapsed_); }

WallTime VirtualClock::onWallNow() const
{
    return WallTime(std::chrono::duration_cast<std::chrono::microseconds>(elapsed_));
}

} // namespace arbutus::base
