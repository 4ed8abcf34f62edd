#pragma once

#include "include/base/Time.h"

#include <array>
#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace arbutus::routing {

// Estimates round-trip times between pairs of data centres. Only record exchanges
// that do not wait for an engine step, such as channel setup, gossip or health checks.
class RoundTripEstimator {
public:
    void record(const std::string& from, const std::string& to, std::chrono::nanoseconds roundTrip, base::TimePoint now);

    // Returns the expected round trip, or a default for an unobserved pair. The
    // estimate decays to the default without new samples, so that a link which was
    // slow is tried again.
    std::chrono::nanoseconds expected(const std::string& from, const std::string& to, base::TimePoint now) const;

private:
    static constexpr std::size_t windowSize = 5;
    struct Link {
        std::array<std::chrono::nanoseconds, windowSize> samples {};
        std::size_t sampleCount = 0;
        std::chrono::nanoseconds median {};
        base::TimePoint observedAt;
    };

    std::map<std::pair<std::string, std::string>, Link> links_;
};

} // namespace arbutus::routing
