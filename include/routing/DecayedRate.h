#pragma once

#include "include/base/Time.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace arbutus::routing {

// Exponentially decayed rate: an amount per second, averaged over a few seconds or the given
// time constant.
class DecayedRate {
public:
    explicit DecayedRate(std::chrono::duration<double> timeConstant = std::chrono::seconds(3))
        : timeConstantSeconds_(timeConstant.count())
    {
    }

    void add(double amount, base::TimePoint now)
    {
        amount_ = amount_ * decay(now) + amount;
        updatedAt_ = std::max(updatedAt_, now);
    }

    double perSecond(base::TimePoint now) const { return amount_ * decay(now) / timeConstantSeconds_; }

private:
    double decay(base::TimePoint now) const
    {
        return now > updatedAt_ ? std::exp(-std::chrono::duration<double>(now - updatedAt_).count() / timeConstantSeconds_) : 1;
    }

    double timeConstantSeconds_;
    double amount_ = 0;
    base::TimePoint updatedAt_;
};

} // namespace arbutus::routing
