#include "include/routing/RetryTokenBucket.h"

#include <algorithm>
#include <cassert>

namespace arbutus::routing {

// Absorbs the rounding error of repeated additions, so that ten successes at a
// ratio of 0.1 permit one retry.
static constexpr double roundingTolerance = 1e-9;

RetryTokenBucket::RetryTokenBucket(double ratio, double capacity)
    : ratio_(ratio)
    , capacity_(capacity)
    , balance_(capacity)
{
    assert(ratio >= 0 && capacity >= 0);
}

void RetryTokenBucket::recordSuccess() { balance_ = std::min(balance_ + ratio_, capacity_); }

bool RetryTokenBucket::tryAcquire()
{
    if (balance_ + roundingTolerance < 1)
        return false;
    balance_ = std::max(balance_ - 1, 0.0);
    return true;
}

} // namespace arbutus::routing
