#pragma once

#include "include/base/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace arbutus::routing {

// Index of an accelerator kind, below `acceleratorKindCount`.
using AcceleratorKind = std::uint8_t;
constexpr std::size_t acceleratorKindCount = 5;

// The learned step time of one accelerator kind: a constant part, a part for
// each sequence in the batch, and a part for each token of a prefill. Older
// observations lose weight; observations far from the expectation are ignored
// unless they become the rule.
class StepTimeEstimator {
public:
    StepTimeEstimator();

    void record(std::size_t batch, std::chrono::nanoseconds, base::TimePoint now);
    // `tokens` is the number of tokens that were not in the engine's prefix cache.
    void recordPrefill(std::size_t batch, std::size_t tokens, std::chrono::nanoseconds, base::TimePoint now);

    std::chrono::nanoseconds expected(std::size_t batch) const;
    std::chrono::nanoseconds expectedPrefill(std::size_t batch, std::size_t tokens) const;

private:
    void decay(base::TimePoint now);
    bool isOutlier(double seconds, double expectedSeconds);
    void fit();

    // Sums of the decayed linear regression of seconds on batch size.
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
