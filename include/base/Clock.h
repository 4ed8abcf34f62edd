#pragma once

#include "include/base/Time.h"

#include <string>

namespace arbutus::base {

// Abstract source of monotonic and wall-clock time. Tests inject a VirtualClock.
class Clock {
public:
    virtual ~Clock() = default;

    TimePoint now() const { return onNow(); }
    WallTime wallNow() const { return onWallNow(); }

private:
    virtual TimePoint onNow() const = 0;
    virtual WallTime onWallNow() const = 0;
};

// Reads the system's monotonic and wall clocks.
class SystemClock final : public Clock {
private:
    TimePoint onNow() const override;
    WallTime onWallNow() const override;
};

// Returns the time of CLOCK_BOOTTIME.
TimePoint bootNow();

// Returns the name of the machine's present run, which tells whether times of CLOCK_BOOTTIME that
// were stored earlier can be compared with it. Empty if the system does not say.
std::string bootName();

// Reads CLOCK_BOOTTIME, which keeps advancing while the machine is suspended, so
// a lease that expires during a suspend is detected as expired on resume.
class BootClock final : public Clock {
private:
    TimePoint onNow() const override;
    WallTime onWallNow() const override;
};

// Simulated clock for tests; time changes only through advance().
class VirtualClock final : public Clock {
public:
    void advance(std::chrono::nanoseconds step) { elapsed_ += step; }

private:
    TimePoint onNow() const override;
    WallTime onWallNow() const override;

    // Starts at one hour, so that tests can represent earlier times without negative values.
    std::chrono::nanoseconds elapsed_ { std::chrono::hours(1) };
};

} // namespace arbutus::base
