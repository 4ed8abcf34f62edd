#pragma once

#include "include/base/Time.h"

#include <array>
#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace arbutus::routing {

// Round-trip times between pairs of data centres, learned from exchanges that
// do not wait for a step (opening a channel, gossip, health checks).
class RoundTripEstimator {
public:
    void record(const std::string& from, const std::string& to, std::chrono::nanoseconds roundTrip, base::TimePoint now);

    // Returns the expected round trip. An unobserved pair has the default; an
    // observation that is not renewed decays to the default, so a link that
    // was slow is tried again.
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
