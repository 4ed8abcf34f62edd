#pragma once

#include "include/routing/CrashGuard.h"

namespace arbutus::fleet {

// Adds what a guard has observed to the reports of all entry VMs, as an entry VM does.
inline void recordObservation(CrashReportRegistry& reports, const routing::CrashGuard::Observation& observation, base::TimePoint now)
{
    using routing::CrashGuard;
    if (const auto* crashed = std::get_if<CrashGuard::PartCrashed>(&observation))
        reports.apply({ crashed->part, crashed->origin.crash, crashed->origin.request, false, 0 }, now);
    else if (const auto* answered = std::get_if<CrashGuard::PartAnswered>(&observation))
        reports.refute(answered->part, now);
    else if (const auto* works = std::get_if<CrashGuard::UpstreamAnswered>(&observation))
        reports.refuteCrash(works->crash, works->sentAt, works->connectedAt, now);
}

} // namespace arbutus::fleet
