#include "include/routing/RoundTripEstimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace arbutus::routing {

static constexpr std::chrono::nanoseconds defaultRemoteRoundTrip = std::chrono::microseconds(500);
static constexpr std::chrono::nanoseconds defaultLocalRoundTrip = std::chrono::microseconds(100);
static constexpr double halfLifeSeconds = 30;

void RoundTripEstimator::record(const std::string& from, const std::string& to, std::chrono::nanoseconds roundTrip, base::TimePoint now)
{
    assert(roundTrip.count() >= 0);
    Link& link = links_[{ from, to }];
    link.samples[link.sampleCount++ % windowSize] = roundTrip;
    link.observedAt = now;
    // The median ignores a single slow exchange, and follows a lasting change after
    // three samples.
    auto sorted = link.samples;
    const std::size_t filled = std::min(link.sampleCount, windowSize);
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(filled));
    link.median = sorted[filled / 2];
}

std::chrono::nanoseconds RoundTripEstimator::expected(const std::string& from, const std::string& to, base::TimePoint now) const
{
    const auto fallback = from == to ? defaultLocalRoundTrip : defaultRemoteRoundTrip;
    const auto found = links_.find({ from, to });
    if (found == links_.end())
        return fallback;
    const Link& link = found->second;
    const double age = std::max(std::chrono::duration<double>(now - link.observedAt).count(), 0.0);
    const double decayFactor = std::exp2(-age / halfLifeSeconds);
    const auto excess = static_cast<double>((link.median - fallback).count());
    return fallback + std::chrono::nanoseconds(static_cast<std::int64_t>(excess * decayFactor));
}

} // namespace arbutus::routing
