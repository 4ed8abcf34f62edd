#include "include/fleet/CrashReportRegistry.h"

#include <algorithm>
#include <limits>

namespace arbutus::fleet {

static constexpr std::size_t maxReports = 512;
// From the refutation, until no VM holds the report without it any more.
static constexpr std::chrono::minutes refutedLifetime(2);

// The time of a crash that another VM reports is later than the crash by as much as the report
// was on its way.
static constexpr std::chrono::seconds maxReportDelay(2);

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

// Whether no other crash is known of the part.
bool CrashReportRegistry::isOnlyReport(Reports::const_iterator report) const
{
    auto next = std::next(report);
    bool hasOther = (report != reports_.begin() && std::prev(report)->first.part == report->first.part) || (next != reports_.end() && next->first.part == report->first.part);
    return !hasOther;
}

// Refuted reports go first, then single ones of their part, each the oldest one. A crash of
// a busy upstream brings many single ones, and the part that comes again must be kept.
void CrashReportRegistry::evictOne()
{
    auto rank = [this](Reports::const_iterator report) { return std::make_tuple(!report->second.isRefuted, !isOnlyReport(report), report->second.crashedAt); };
    auto first = reports_.cbegin();
    for (auto it = std::next(first); it != reports_.cend(); ++it) {
        if (rank(it) < rank(first))
            first = it;
    }
    reports_.erase(first);
}

void CrashReportRegistry::refute(std::uint64_t part, base::TimePoint now)
{
    for (auto it = reports_.lower_bound({ part, 0 }); it != reports_.end() && it->first.part == part; ++it)
        apply({ part, it->first.crash, it->second.request, true, millisecondsSince(it->second.crashedAt, now) }, now);
}

void CrashReportRegistry::refuteCrash(std::uint64_t crash, base::TimePoint answeredRequestSentAt, std::optional<base::TimePoint> connectedAt, base::TimePoint now)
{
    for (const auto& [key, stored] : reports_) {
        const bool isSameProcess = !connectedAt || *connectedAt + maxReportDelay <= stored.crashedAt;
        if (key.crash == crash && !stored.isRefuted && isSameProcess && stored.crashedAt < answeredRequestSentAt)
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
