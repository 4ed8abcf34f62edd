#include "include/fleet/NamedLimit.h"

#include <algorithm>
#include <chrono>

namespace arbutus::fleet {

bool NamedLimit::update(std::optional<double> newPerSecond, base::TimePoint newObservedAt, base::TimePoint now)
{
    bool isFirst = changedAt == base::TimePoint();
    double value = newPerSecond.value_or(perSecond);
    bool isSame = !isFirst && isLifted == !newPerSecond && value == perSecond;
    observedAt = newObservedAt;
    if (isSame)
        return false;
    perSecond = value;
    isLifted = !newPerSecond;
    changedAt = now;
    return true;
}

bool NamedLimit::update(const RequestLimitReport& report, base::TimePoint now)
{
    auto newPerSecond = report.isLifted ? std::nullopt : std::optional<double>(report.perSecond);
    return update(newPerSecond, observationTime(report, now), now);
}

RequestLimitReport NamedLimit::report(const std::string& upstream, base::TimePoint now) const
{
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - observedAt).count();
    RequestLimitReport result;
    result.upstream = upstream;
    result.perSecond = perSecond;
    result.isLifted = isLifted;
    result.ageMilliseconds = static_cast<std::uint32_t>(std::max<std::int64_t>(0, age));
    return result;
}

base::TimePoint observationTime(const RequestLimitReport& report, base::TimePoint now) { return now - std::chrono::milliseconds(report.ageMilliseconds); }

} // namespace arbutus::fleet
