#pragma once

#include "include/base/Time.h"

namespace arbutus::base {

// A source of time. Tests replace it to control the passage of time.
class Clock {
public:
    virtual ~Clock() = default;

    TimePoint now() const { return onNow(); }
    WallTime wallNow() const { return onWallNow(); }

private:
    virtual TimePoint onNow() const = 0;
    virtual WallTime onWallNow() const = 0;
};

// The machine's clocks.
class SystemClock final : public Clock {
private:
    TimePoint onNow() const override;
    WallTime onWallNow() const override;
};

// Monotonic time that goes on while the machine is suspended, so that a lease
// that ended during a suspension is seen to have ended.
class BootClock final : public Clock {
private:
    TimePoint onNow() const override;
    WallTime onWallNow() const override;
};

// A clock that advances only by explicit calls.
class VirtualClock final : public Clock {
public:
    void advance(std::chrono::nanoseconds step) { elapsed_ += step; }

private:
    TimePoint onNow() const override;
    WallTime onWallNow() const override;

    // Starts above zero, so that earlier times stay representable.
    std::chrono::nanoseconds elapsed_ { std::chrono::hours(1) };
};

} // namespace arbutus::base
