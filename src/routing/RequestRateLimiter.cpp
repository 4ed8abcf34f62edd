#include "include/routing/RequestRateLimiter.h"

#include "include/fleet/RequestPermitAllocator.h"

#include <algorithm>

namespace arbutus::routing {

using fleet::RequestPermitAllocator;

// Several times the interval in which control VMs answer.
static constexpr std::chrono::milliseconds allocatorTimeout(600);
// A permit is kept at hand while requests have arrived within this time.
static constexpr std::chrono::seconds demandWindow(1);
// A lifted limit is kept until the other VMs know of it.
static constexpr std::chrono::seconds liftedLifetime(10);
static constexpr std::uint32_t maxWantedPermits = 64;

void RequestRateLimiter::requestArrived(base::TimePoint now)
{
    arrivedAt_ = now;
    ++arrivals_;
}

void RequestRateLimiter::trimPermits(Limit& limit, double perSecondBefore)
{
    if (limit.named.isLifted || limit.named.perSecond >= perSecondBefore)
        return;
    double kept = static_cast<double>(limit.permits.size()) * limit.named.perSecond / perSecondBefore;
    limit.permits.resize(static_cast<std::size_t>(kept));
}

bool RequestRateLimiter::observe(const std::string& upstream, std::optional<double> perSecond, base::TimePoint sentAt, base::TimePoint now)
{
    auto found = limits_.find(upstream);
    bool isLimited = found != limits_.end();
    // An answer to an older request may have been on its way while the limit was named.
    if (!perSecond && (!isLimited || sentAt <= found->second.named.observedAt))
        return false;
    auto& limit = limits_[upstream];
    double perSecondBefore = limit.named.perSecond;
    bool isChanged = limit.named.update(perSecond, now, now);
    trimPermits(limit, perSecondBefore);
    return isChanged;
}

void RequestRateLimiter::dropExpired(Limit& limit, base::TimePoint now)
{
    while (!limit.permits.empty() && now >= limit.permits.front()) {
        limit.permits.pop_front();
        ++limit.unused;
    }
}

std::chrono::nanoseconds RequestRateLimiter::ownInterval(const Limit& limit) const
{
    double perSecond = std::max(RequestPermitAllocator::minPerSecond, limit.named.perSecond) / std::max(1U, entryVmCount_);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(1 / perSecond));
}

void RequestRateLimiter::scheduleOwn(Limit& limit, base::TimePoint now) const
{
    if (now < allocatorAnsweredAt_ + allocatorTimeout) {
        limit.ownPermitAt.reset();
        return;
    }
    auto interval = ownInterval(limit);
    if (!limit.ownPermitAt || now + interval < *limit.ownPermitAt)
        limit.ownPermitAt = now + std::chrono::duration_cast<std::chrono::nanoseconds>(phase_ * interval);
    // Unused ones expire, because those of all VMs add up.
    if (auto lateness = now - *limit.ownPermitAt - RequestPermitAllocator::permitLifetime; lateness >= std::chrono::nanoseconds(0))
        *limit.ownPermitAt += (lateness / interval + 1) * interval;
}

bool RequestRateLimiter::maySend(Limit& limit, base::TimePoint now)
{
    if (limit.named.isLifted)
        return true;
    dropExpired(limit, now);
    scheduleOwn(limit, now);
    return !limit.permits.empty() || (limit.ownPermitAt && now >= *limit.ownPermitAt);
}

void RequestRateLimiter::addExhausted(std::set<std::string>& upstreams, base::TimePoint now)
{
    for (auto& [upstream, limit] : limits_) {
        if (!maySend(limit, now))
            upstreams.insert(upstream);
    }
}

bool RequestRateLimiter::isLimiting(base::TimePoint now)
{
    return std::any_of(limits_.begin(), limits_.end(), [&](auto& entry) { return !maySend(entry.second, now); });
}

void RequestRateLimiter::sent(const std::string& upstream, base::TimePoint now)
{
    auto found = limits_.find(upstream);
    if (found == limits_.end() || found->second.named.isLifted)
        return;
    auto& limit = found->second;
    dropExpired(limit, now);
    if (!limit.permits.empty())
        limit.permits.pop_front();
    else if (limit.ownPermitAt)
        *limit.ownPermitAt += ownInterval(limit);
}

fleet::RequestLimitReports RequestRateLimiter::takeReports(std::size_t waiting, base::TimePoint now)
{
    auto wanted = std::exchange(arrivals_, 0) + static_cast<std::uint32_t>(std::min<std::size_t>(waiting, maxWantedPermits));
    if (now < arrivedAt_ + demandWindow)
        wanted = std::max(wanted, 1U);
    fleet::RequestLimitReports reports;
    for (auto it = limits_.begin(); it != limits_.end();) {
        auto& [upstream, limit] = *it;
        if (limit.named.isLifted && now >= limit.named.changedAt + liftedLifetime) {
            it = limits_.erase(it);
            continue;
        }
        dropExpired(limit, now);
        auto report = limit.named.report(upstream, now);
        auto held = static_cast<std::uint32_t>(limit.permits.size());
        report.permits = limit.named.isLifted ? 0 : std::min(maxWantedPermits, wanted) - std::min({ held, wanted, maxWantedPermits });
        report.unused = std::exchange(limit.unused, 0);
        bool isNews = now < limit.named.changedAt + RequestPermitAllocator::newsLifetime;
        if (report.permits || report.unused || isNews)
            reports.push_back(std::move(report));
        ++it;
    }
    return reports;
}

void RequestRateLimiter::apply(const fleet::RequestLimitReport& report, base::TimePoint grantedBy, base::TimePoint now)
{
    if (report.isLifted && !limits_.count(report.upstream))
        return;
    auto& limit = limits_[report.upstream];
    if (fleet::observationTime(report, now) > limit.named.observedAt) {
        double perSecondBefore = limit.named.perSecond;
        limit.named.update(report, now);
        trimPermits(limit, perSecondBefore);
    }
    for (std::uint32_t i = 0; i < std::min(report.permits, maxWantedPermits); ++i)
        limit.permits.push_back(std::min(grantedBy, now) + RequestPermitAllocator::permitLifetime);
}

} // namespace arbutus::routing
