#pragma once

#include "include/base/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace arbutus::routing {

// Index of an accelerator kind, below `acceleratorKindCount`.
using AcceleratorKind = std::uint8_t;
constexpr std::size_t acceleratorKindCount = 5;

// Estimates the step time of one accelerator kind as a linear model: a constant, a
// cost per sequence in the batch, and a cost per prefill token. Observations decay
// over time. Outliers are ignored unless they become the majority.
class StepTimeEstimator {
public:
    StepTimeEstimator();

    // Records the time of a step of one token for each of `batch` sequences.
    void recordStep(std::size_t batch, std::chrono::nanoseconds, base::TimePoint now);
    // `tokens` is the number of prompt tokens that were not in the engine's prefix cache.
    void recordPrefill(std::size_t batch, std::size_t tokens, std::chrono::nanoseconds, base::TimePoint now);

    std::chrono::nanoseconds expectedStep(std::size_t batch) const;
    std::chrono::nanoseconds expectedPrefill(std::size_t batch, std::size_t tokens) const;

private:
    void decay(base::TimePoint now);
    bool isOutlier(double seconds, double expectedSeconds);
    void fit();

    // Decayed sums of the linear regression of seconds on batch size.
    double weight_ = 0;
    double sumBatch_ = 0;
    double sumTime_ = 0;
    double sumBatchSquared_ = 0;
    double sumBatchTime_ = 0;
    double outlierRate_ = 0;
    base::TimePoint decayedAt_;
    double baseSeconds_;
    double sequenceSeconds_;
    double prefillTokenSeconds_;
};

} // namespace arbutus::routing
