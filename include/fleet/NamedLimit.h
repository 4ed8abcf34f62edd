#pragma once

#include "include/base/Time.h"
#include "include/fleet/RequestLimitReport.h"

#include <optional>
#include <string>

namespace arbutus::fleet {

// What a VM knows of the limit that an upstream has named.
struct NamedLimit {
    double perSecond = 0;
    bool isLifted = false;
    // When an upstream's answer showed this.
    base::TimePoint observedAt;
    base::TimePoint changedAt;

    // Adopts what an answer showed, nullopt for no limit. The caller makes sure that the
    // answer is newer than `observedAt`. Returns whether the limit changed.
    bool update(std::optional<double> newPerSecond, base::TimePoint newObservedAt, base::TimePoint now);
    // The same for what another VM reports.
    bool update(const RequestLimitReport&, base::TimePoint now);
    RequestLimitReport report(const std::string& upstream, base::TimePoint now) const;
};

// Returns when the answer arrived that a report is about.
base::TimePoint observationTime(const RequestLimitReport&, base::TimePoint now);

} // namespace arbutus::fleet
