#include "include/fleet/RequestPermitAllocator.h"

#include "include/fleet/FleetMessages.h"

#include <algorithm>

namespace arbutus::fleet {

// An upstream that nobody sends requests to keeps its limit for this time.
static constexpr std::chrono::minutes limitLifetime(5);
static constexpr std::size_t maxLimits = 4096;
// The most permits that collect beyond one while nobody wants them, as a time at the
// limit's rate.
static constexpr double burstSeconds = 0.5;
// The most permits that come back between two grants: those of the lifetime of a permit and
// a poll, as a time at the limit's rate, and at least those of two entry VMs.
static constexpr double returnedSeconds = 1;
static constexpr double minReturned = 2;

void RequestPermitAllocator::entryVmPolled(const std::string& entryVm, bool takesPermits, base::TimePoint now)
{
    auto& known = entryVms_[entryVm];
    takerCount_ += takesPermits ? 1 : 0;
    takerCount_ -= known.takesPermits ? 1 : 0;
    known = { now, takesPermits };
}

double RequestPermitAllocator::ownShare() const { return entryVms_.empty() ? 1 : static_cast<double>(takerCount_) / static_cast<double>(entryVms_.size()); }

void RequestPermitAllocator::merge(const RequestLimitReport& report, base::TimePoint now)
{
    auto found = limits_.find(report.upstream);
    if (found == limits_.end()) {
        if (report.isLifted)
            return;
        if (limits_.size() >= maxLimits)
            evictOldest();
        found = limits_.emplace(report.upstream, Limit {}).first;
        found->second.refilledAt = now;
    }
    auto& limit = found->second;
    limit.reportedAt = now;
    if (observationTime(report, now) <= limit.named.observedAt)
        return;
    refill(limit, now);
    if (limit.named.update(report, now))
        ++revision_;
}

void RequestPermitAllocator::evictOldest()
{
    limits_.erase(std::min_element(limits_.begin(), limits_.end(), [](const auto& left, const auto& right) { return left.second.reportedAt < right.second.reportedAt; }));
}

void RequestPermitAllocator::refill(Limit& limit, base::TimePoint now) const
{
    double perSecond = ownShare() * std::max(minPerSecond, limit.named.perSecond);
    double seconds = std::chrono::duration<double>(now - limit.refilledAt).count();
    limit.permits = std::min(limit.permits + perSecond * seconds, 1 + perSecond * burstSeconds);
    limit.refilledAt = now;
}

void RequestPermitAllocator::takeBack(Limit& limit, std::uint32_t unused)
{
    auto most = static_cast<std::uint32_t>(std::max(minReturned, limit.named.perSecond * returnedSeconds));
    limit.returned = std::min(limit.returned + unused, most);
}

std::uint32_t RequestPermitAllocator::grant(Limit& limit, std::uint32_t wanted, base::TimePoint now) const
{
    refill(limit, now);
    auto again = std::min(wanted, limit.returned);
    limit.returned -= again;
    auto fresh = std::min(wanted - again, static_cast<std::uint32_t>(limit.permits));
    limit.permits -= fresh;
    return again + fresh;
}

void RequestPermitAllocator::apply(const RequestLimitReports& reports, base::TimePoint now)
{
    for (const auto& report : reports) {
        merge(report, now);
        if (auto found = limits_.find(report.upstream); found != limits_.end())
            takeBack(found->second, report.unused);
    }
}

RequestLimitReports RequestPermitAllocator::allocate(const RequestLimitReports& wanted, base::TimePoint now)
{
    std::map<std::string, std::uint32_t> permits;
    for (const auto& report : wanted)
        permits[report.upstream] += report.permits;
    RequestLimitReports result;
    for (auto& [upstream, limit] : limits_) {
        auto asked = permits.find(upstream);
        if (asked == permits.end() && now >= limit.named.changedAt + newsLifetime)
            continue;
        result.push_back(limit.named.report(upstream, now));
        if (asked != permits.end() && !limit.named.isLifted)
            result.back().permits = grant(limit, asked->second, now);
    }
    return result;
}

void RequestPermitAllocator::expire(base::TimePoint now)
{
    for (auto it = limits_.begin(); it != limits_.end();)
        it = now >= it->second.reportedAt + limitLifetime ? limits_.erase(it) : std::next(it);
    for (auto it = entryVms_.begin(); it != entryVms_.end();) {
        if (now < it->second.polledAt + entryVmTimeout) {
            ++it;
            continue;
        }
        takerCount_ -= it->second.takesPermits ? 1 : 0;
        it = entryVms_.erase(it);
    }
}

} // namespace arbutus::fleet
