#include "include/routing/UpstreamLoad.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace arbutus::routing {

// All results of one batch arrive together and carry the same information. One
// sample per batch prevents a single slow batch from filling the window and from
// dominating the estimate of the whole accelerator kind.
static constexpr std::chrono::nanoseconds minSampleInterval = std::chrono::milliseconds(10);
// The estimate of an engine without new samples decays to the speed of its kind, so
// that an engine which is avoided because it was slow is tried again.
static constexpr double slowdownHalfLifeSeconds = 5;
static constexpr double maxLogRatio = 4.0;

void UpstreamLoad::applyReport(const LoadReport& report)
{
    if (report.reportedAt < report_.reportedAt)
        return;
    report_ = report;
    const auto isCovered = [&](base::TimePoint time) { return time <= report.reportedAt; };
    startedSinceReport_.erase(std::remove_if(startedSinceReport_.begin(), startedSinceReport_.end(), isCovered), startedSinceReport_.end());
    endedSinceReport_.erase(std::remove_if(endedSinceReport_.begin(), endedSinceReport_.end(), isCovered), endedSinceReport_.end());
}

void UpstreamLoad::streamStarted(std::size_t prefillTokens, base::TimePoint now)
{
    startedSinceReport_.push_back(now);
    pendingPrefills_.push_back({ now, prefillTokens });
    pendingPrefillTokens_ += prefillTokens;
    health_.recordSent(now);
}

void UpstreamLoad::endPrefill(base::TimePoint startedAt)
{
    const auto found = std::find_if(pendingPrefills_.begin(), pendingPrefills_.end(), [&](const PendingPrefill& started) { return started.at == startedAt; });
    if (found == pendingPrefills_.end())
        return;
    pendingPrefillTokens_ -= found->prefillTokens;
    pendingPrefills_.erase(found);
}

void UpstreamLoad::streamEnded(base::TimePoint startedAt, base::TimePoint now)
{
    endPrefill(startedAt);
    const auto found = std::find(startedSinceReport_.begin(), startedSinceReport_.end(), startedAt);
    if (found != startedSinceReport_.end()) {
        startedSinceReport_.erase(found);
        return;
    }
    // Ends beyond the number of reported streams carry no information. Ignoring them
    // bounds the list.
    if (endedSinceReport_.size() < report_.running + report_.queued)
        endedSinceReport_.push_back(now);
}

void UpstreamLoad::stepReturned(std::chrono::nanoseconds time, base::TimePoint now) { addSample(0, time, now); }

void UpstreamLoad::prefillReturned(base::TimePoint startedAt, std::size_t tokens, std::chrono::nanoseconds time, base::TimePoint now)
{
    endPrefill(startedAt);
    addSample(tokens, time, now);
}

void UpstreamLoad::addSample(std::size_t prefillTokens, std::chrono::nanoseconds time, base::TimePoint now)
{
    health_.recordSuccess();
    if (sampleCount_ && now - sampledAt_ < minSampleInterval)
        return;
    const std::size_t batch = report_.running + report_.queued;
    const auto expected = kindEstimator_->expectedPrefill(batch, prefillTokens);
    if (prefillTokens)
        kindEstimator_->recordPrefill(batch, prefillTokens, time, now);
    else
        kindEstimator_->recordStep(batch, time, now);
    const double ratio = static_cast<double>(std::max<std::int64_t>(time.count(), 1)) / static_cast<double>(std::max<std::int64_t>(expected.count(), 1));
    logRatios_[sampleCount_++ % windowSize] = std::clamp(std::log(ratio), -maxLogRatio, maxLogRatio);
    sampledAt_ = now;
    auto sorted = logRatios_;
    const std::size_t filled = std::min(sampleCount_, windowSize);
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(filled));
    medianLogRatio_ = sorted[filled / 2];
}

std::size_t UpstreamLoad::correctedLoad() const
{
    const std::size_t uncorrected = report_.running + report_.queued + startedSinceReport_.size();
    return uncorrected - std::min(uncorrected, endedSinceReport_.size());
}

std::chrono::nanoseconds UpstreamLoad::reportAge(base::TimePoint now) const
{
    return std::max(now - report_.reportedAt, std::chrono::nanoseconds(0));
}

double UpstreamLoad::slowdown(base::TimePoint now) const
{
    if (!sampleCount_)
        return 1;
    const double age = std::max(std::chrono::duration<double>(now - sampledAt_).count(), 0.0);
    return std::exp(medianLogRatio_ * std::exp2(-age / slowdownHalfLifeSeconds));
}

std::chrono::nanoseconds UpstreamLoad::scaleBySlowdown(std::chrono::nanoseconds time, base::TimePoint now) const
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * slowdown(now)));
}

std::chrono::nanoseconds UpstreamLoad::expectedStep(base::TimePoint now) const
{
    return scaleBySlowdown(kindEstimator_->expectedStep(correctedLoad() + 1), now);
}

std::chrono::nanoseconds UpstreamLoad::expectedPrefill(std::size_t tokens, base::TimePoint now) const
{
    return scaleBySlowdown(kindEstimator_->expectedPrefill(correctedLoad() + 1, pendingPrefillTokens_ + tokens), now);
}

} // namespace arbutus::routing
