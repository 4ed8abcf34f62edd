#pragma once

#include "include/base/Time.h"
#include "include/routing/CircuitBreaker.h"
#include "include/routing/StepTimeEstimator.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <vector>

namespace arbutus::routing {

// The load as an engine reported it. It lags: `reportedAt` is the time on this
// VM's clock to which the numbers refer (receipt time less half a round trip).
struct LoadReport {
    std::size_t running = 0;
    std::size_t queued = 0;
    // Share of the memory in use, 0 to 1.
    double memoryUsed = 0;
    base::TimePoint reportedAt;
};

// The load, speed and health of one engine as this VM knows them.
class UpstreamLoad {
public:
    // `kindTimes` is shared by all engines of the accelerator kind and outlives this object.
    explicit UpstreamLoad(StepTimeEstimator& kindEstimator)
        : kindEstimator_(&kindEstimator)
    {
    }

    // Reports older than the newest one are ignored.
    void applyReport(const LoadReport&);

    // A stream of this VM starts on the engine with a prefill of `prefillTokens`
    // uncached tokens, or ends. `startedAt` is the time given to streamStarted.
    void streamStarted(std::size_t prefillTokens, base::TimePoint now);
    void streamEnded(base::TimePoint startedAt, base::TimePoint now);

    // A step of one token, or the prefill of a stream, came back `time` after it
    // was sent, less the link's round trip.
    void stepReturned(std::chrono::nanoseconds time, base::TimePoint now);
    void prefillReturned(base::TimePoint startedAt, std::size_t tokens, std::chrono::nanoseconds time, base::TimePoint now);
    void stepFailed(base::TimePoint now) { health_.recordFailure(now); }

    // Streams on the engine: as reported, plus those this VM started and less
    // those it saw end since the report.
    std::size_t correctedLoad() const;
    std::chrono::nanoseconds reportAge(base::TimePoint now) const;
    double memoryUsed() const { return report_.memoryUsed; }

    // Expected time of a step when one more stream runs on the engine, or of a
    // prefill of `tokens` uncached tokens behind the prefills not yet returned.
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
    // Logarithms of observed time over the time expected of the kind.
    std::array<double, windowSize> logRatios_ {};
    std::size_t sampleCount_ = 0;
    double medianLogRatio_ = 0;
    base::TimePoint sampledAt_;
    CircuitBreaker health_;
};

} // namespace arbutus::routing
