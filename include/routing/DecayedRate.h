#pragma once

#include "include/base/Time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace arbutus::routing {

// Exponentially decayed rate: an amount per second, averaged over a few seconds.
class DecayedRate {
public:
    void add(double amount, base::TimePoint now)
    {
        amount_ = amount_ * decay(now) + amount;
        updatedAt_ = std::max(updatedAt_, now);
    }

    double perSecond(base::TimePoint now) const { return amount_ * decay(now) / timeConstantSeconds; }

private:
    static constexpr double timeConstantSeconds = 3;

    double decay(base::TimePoint now) const
    {
        return now > updatedAt_ ? std::exp(-std::chrono::duration<double>(now - updatedAt_).count() / timeConstantSeconds) : 1;
    }

    double amount_ = 0;
    base::TimePoint updatedAt_;
};

} // namespace arbutus::routing
