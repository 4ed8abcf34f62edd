#include "include/fleet/CrashReportRegistry.h"

#include <algorithm>
#include <limits>

namespace arbutus::fleet {

static constexpr std::size_t maxReports = 512;
// From the refutation, until no VM holds the report without it any more.
static constexpr std::chrono::minutes refutedLifetime(2);

static std::uint32_t millisecondsSince(base::TimePoint time, base::TimePoint now)
{
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
}

bool CrashReportRegistry::apply(const CrashReport& report, base::TimePoint now)
{
    auto crashedAt = now - std::chrono::milliseconds(report.ageMilliseconds);
    auto [found, isNew] = reports_.try_emplace({ report.part, report.crash }, Stored { report.request, crashedAt, crashedAt + reportLifetime, report.isRefuted, 0 });
    auto& stored = found->second;
    stored.crashedAt = std::min(stored.crashedAt, crashedAt);
    bool isNewlyRefuted = report.isRefuted && (isNew || !stored.isRefuted);
    if (!isNew && !isNewlyRefuted)
        return false;
    stored.isRefuted = report.isRefuted;
    if (isNewlyRefuted)
        stored.expiresAt = now + refutedLifetime;
    stored.revision = ++revision_;
    if (reports_.size() > maxReports)
        evictOne();
    return true;
}

// Refuted reports go first, then the oldest one.
void CrashReportRegistry::evictOne()
{
    reports_.erase(std::min_element(reports_.begin(), reports_.end(), [](const auto& left, const auto& right) {
        const auto& [leftReport, rightReport] = std::tie(left.second, right.second);
        return leftReport.isRefuted != rightReport.isRefuted ? leftReport.isRefuted : leftReport.crashedAt < rightReport.crashedAt;
    }));
}

void CrashReportRegistry::refute(std::uint64_t part, base::TimePoint now)
{
    for (auto it = reports_.lower_bound({ part, 0 }); it != reports_.end() && it->first.part == part; ++it)
        apply({ part, it->first.crash, it->second.request, true, millisecondsSince(it->second.crashedAt, now) }, now);
}

void CrashReportRegistry::refuteCrash(std::uint64_t crash, base::TimePoint answeredRequestSentAt, base::TimePoint now)
{
    for (const auto& [key, stored] : reports_) {
        if (key.crash == crash && !stored.isRefuted && stored.crashedAt < answeredRequestSentAt)
            apply({ key.part, key.crash, stored.request, true, millisecondsSince(stored.crashedAt, now) }, now);
    }
}

void CrashReportRegistry::expire(base::TimePoint now)
{
    for (auto it = reports_.begin(); it != reports_.end();)
        it = now >= it->second.expiresAt ? reports_.erase(it) : std::next(it);
}

std::vector<CrashReport> CrashReportRegistry::changesSince(std::uint64_t revision, base::TimePoint now) const
{
    std::vector<CrashReport> changes;
    if (revision >= revision_)
        return changes;
    for (const auto& [key, stored] : reports_) {
        if (stored.revision > revision)
            changes.push_back({ key.part, key.crash, stored.request, stored.isRefuted, millisecondsSince(stored.crashedAt, now) });
    }
    return changes;
}

CrashReportRegistry::Suspicion CrashReportRegistry::suspicion(std::uint64_t part, base::TimePoint now) const
{
    Suspicion result;
    base::TimePoint newest;
    for (auto it = reports_.lower_bound({ part, 0 }); it != reports_.end() && it->first.part == part; ++it) {
        if (it->second.isRefuted)
            continue;
        newest = result.origins.empty() ? it->second.crashedAt : std::max(newest, it->second.crashedAt);
        result.origins.push_back({ it->first.crash, it->second.request });
    }
    if (!result.origins.empty())
        result.age = std::chrono::milliseconds(millisecondsSince(newest, now));
    return result;
}

} // namespace arbutus::fleet
