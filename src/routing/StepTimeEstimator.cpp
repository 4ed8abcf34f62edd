#include "include/routing/StepTimeEstimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace arbutus::routing {

// Initial model, used until observations arrive.
static constexpr double initialBaseSeconds = 0.020;
static constexpr double initialSequenceSeconds = 0.0003;
static constexpr double initialPrefillTokenSeconds = 0.00002;

static constexpr double halfLifeSeconds = 30;
// An observation outside [expected / 3, expected * 3] is an outlier. With continuous
// batching, a step waits for at most one other step.
static constexpr double outlierFactor = 3;
static constexpr double outlierGain = 0.05;
static constexpr double minOutlierWeight = 8;
// Bounds the weight of past observations, so that the fit follows a change within
// about this many observations.
static constexpr double maxWeight = 512;
// Keeps the slope near its initial value while all batches have the same size.
static constexpr double slopePriorWeight = 4;
static constexpr double prefillGain = 0.05;

static double toSeconds(std::chrono::nanoseconds time) { return std::chrono::duration<double>(time).count(); }

static std::chrono::nanoseconds toNanoseconds(double seconds)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
}

StepTimeEstimator::StepTimeEstimator()
    : baseSeconds_(initialBaseSeconds)
    , sequenceSeconds_(initialSequenceSeconds)
    , prefillTokenSeconds_(initialPrefillTokenSeconds)
{
}

void StepTimeEstimator::decay(base::TimePoint now)
{
    double factor = 1;
    if (weight_ > 0 && now > decayedAt_)
        factor = std::exp2(-toSeconds(now - decayedAt_) / halfLifeSeconds);
    if (weight_ * factor > maxWeight)
        factor = maxWeight / weight_;
    decayedAt_ = std::max(decayedAt_, now);
    weight_ *= factor;
    sumBatch_ *= factor;
    sumTime_ *= factor;
    sumBatchSquared_ *= factor;
    sumBatchTime_ *= factor;
}

bool StepTimeEstimator::isOutlier(double seconds, double expectedSeconds)
{
    const bool isDeviant = weight_ >= minOutlierWeight && (seconds > expectedSeconds * outlierFactor || seconds < expectedSeconds / outlierFactor);
    outlierRate_ += outlierGain * ((isDeviant ? 1 : 0) - outlierRate_);
    return isDeviant && outlierRate_ < 0.5;
}

void StepTimeEstimator::fit()
{
    const double meanBatch = sumBatch_ / weight_;
    const double meanTime = sumTime_ / weight_;
    const double variance = sumBatchSquared_ - sumBatch_ * meanBatch;
    const double covariance = sumBatchTime_ - sumBatch_ * meanTime;
    const double slope = (covariance + slopePriorWeight * initialSequenceSeconds) / (std::max(variance, 0.0) + slopePriorWeight);
    sequenceSeconds_ = std::clamp(slope, 0.0, meanTime / std::max(meanBatch, 1.0));
    baseSeconds_ = std::max(meanTime - sequenceSeconds_ * meanBatch, 0.0);
}

void StepTimeEstimator::recordStep(std::size_t batch, std::chrono::nanoseconds time, base::TimePoint now)
{
    assert(time.count() >= 0);
    const double seconds = toSeconds(time);
    decay(now);
    if (isOutlier(seconds, toSeconds(expectedStep(batch))))
        return;
    const auto size = static_cast<double>(batch);
    weight_ += 1;
    sumBatch_ += size;
    sumTime_ += seconds;
    sumBatchSquared_ += size * size;
    sumBatchTime_ += size * seconds;
    fit();
}

void StepTimeEstimator::recordPrefill(std::size_t batch, std::size_t tokens, std::chrono::nanoseconds time, base::TimePoint now)
{
    if (!tokens) {
        recordStep(batch, time, now);
        return;
    }
    const double rest = std::max(toSeconds(time) - toSeconds(expectedStep(batch)), 0.0);
    const double sample = std::min(rest / static_cast<double>(tokens), prefillTokenSeconds_ * outlierFactor);
    prefillTokenSeconds_ = std::max(prefillTokenSeconds_ + prefillGain * (sample - prefillTokenSeconds_), 1e-9);
}

std::chrono::nanoseconds StepTimeEstimator::expectedStep(std::size_t batch) const
{
    return toNanoseconds(baseSeconds_ + sequenceSeconds_ * static_cast<double>(batch));
}

std::chrono::nanoseconds StepTimeEstimator::expectedPrefill(std::size_t batch, std::size_t tokens) const
{
    return expectedStep(batch) + toNanoseconds(prefillTokenSeconds_ * static_cast<double>(tokens));
}

} // namespace arbutus::routing
