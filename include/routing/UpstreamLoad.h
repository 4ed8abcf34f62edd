#pragma once

#include "include/base/Time.h"
#include "include/routing/CircuitBreaker.h"
#include "include/routing/StepTimeEstimator.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <vector>

namespace arbutus::routing {

// Load as reported by an engine. Reports lag: `reportedAt` is the time, on this VM's
// clock, to which the numbers refer (receipt time minus half a round trip).
struct LoadReport {
    std::size_t running = 0;
    std::size_t queued = 0;
    // Fraction of the memory in use, 0 to 1.
    double memoryUsed = 0;
    base::TimePoint reportedAt;
};

// Tracks load, speed and health of one engine, as seen by this VM.
class UpstreamLoad {
public:
    // `kindEstimator` is shared by all engines of the accelerator kind and must
    // outlive this object.
    explicit UpstreamLoad(StepTimeEstimator& kindEstimator)
        : kindEstimator_(&kindEstimator)
    {
    }

    // Ignores reports older than the newest one.
    void applyReport(const LoadReport&);

    // Call when a stream of this VM starts on the engine, with a prefill of
    // `prefillTokens` uncached tokens, and when it ends. `startedAt` is the time that
    // was passed to streamStarted().
    void streamStarted(std::size_t prefillTokens, base::TimePoint now);
    void streamEnded(base::TimePoint startedAt, base::TimePoint now);

    // Call when a step of one token, or the prefill of a stream, has returned. `time`
    // is the time since it was sent, minus the round trip of the link.
    void stepReturned(std::chrono::nanoseconds time, base::TimePoint now);
    void prefillReturned(base::TimePoint startedAt, std::size_t tokens, std::chrono::nanoseconds time, base::TimePoint now);
    void stepFailed(base::TimePoint now) { health_.recordFailure(now); }

    // Number of streams on the engine: the reported ones, plus those that this VM
    // started and minus those that it ended since the report.
    std::size_t correctedLoad() const;
    std::chrono::nanoseconds reportAge(base::TimePoint now) const;
    double memoryUsed() const { return report_.memoryUsed; }

    // Expected time of a step with one more stream on the engine, and of a prefill of
    // `tokens` uncached tokens behind the pending prefills.
    std::chrono::nanoseconds expectedStep(base::TimePoint now) const;
    std::chrono::nanoseconds expectedPrefill(std::size_t tokens, base::TimePoint now) const;

    const CircuitBreaker& health() const { return health_; }

private:
    struct PendingPrefill {
        base::TimePoint at;
        std::size_t prefillTokens;
    };

    void addSample(std::size_t prefillTokens, std::chrono::nanoseconds time, base::TimePoint now);
    void endPrefill(base::TimePoint startedAt);
    std::chrono::nanoseconds scaleBySlowdown(std::chrono::nanoseconds, base::TimePoint now) const;
    double slowdown(base::TimePoint now) const;

    static constexpr std::size_t windowSize = 5;

    StepTimeEstimator* kindEstimator_;
    LoadReport report_;
    std::vector<base::TimePoint> startedSinceReport_;
    std::vector<base::TimePoint> endedSinceReport_;
    std::vector<PendingPrefill> pendingPrefills_;
    std::size_t pendingPrefillTokens_ = 0;
    // Ring buffer of log(observed time / time expected for the accelerator kind).
    std::array<double, windowSize> logRatios_ {};
    std::size_t sampleCount_ = 0;
    double medianLogRatio_ = 0;
    base::TimePoint sampledAt_;
    CircuitBreaker health_;
};

} // namespace arbutus::routing
