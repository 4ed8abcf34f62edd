#include "include/base/Timeline.h"

#include "include/base/LockRanks.h"

#include <fmt/format.h>

#include <charconv>

namespace arbutus::base {

std::string toString(const HybridTime& time)
{
    return fmt::format("{}.{}", time.physical.time_since_epoch().count(), time.logical);
}

HybridTime hybridTimeFromString(std::string_view text)
{
    std::int64_t microseconds = 0;
    std::uint32_t logical = 0;
    const char* end = text.data() + text.size();
    auto [dot, error] = std::from_chars(text.data(), end, microseconds);
    if (error != std::errc() || dot == end || *dot != '.')
        return {};
    if (auto [last, logicalError] = std::from_chars(dot + 1, end, logical); logicalError != std::errc() || last != end)
        return {};
    return { WallTime(std::chrono::microseconds(microseconds)), logical };
}

Timeline::Timeline(const Clock& clock, std::string process, std::size_t capacity)
    : clock_(clock)
    , process_(std::move(process))
    , capacity_(capacity)
    , mutex_(lock_rank::timeline)
{
}

HybridTime Timeline::tick()
{
    if (WallTime now = clock_.wallNow(); now > lastTime_.physical)
        lastTime_ = { now, 0 };
    else
        ++lastTime_.logical;
    return lastTime_;
}

HybridTime Timeline::record(std::string kind, std::map<std::string, std::string> fields)
{
    RankedLock lock(mutex_);
    HybridTime time = tick();
    if (events_.size() == capacity_) {
        events_.pop_front();
        ++droppedCount_;
    }
    events_.push_back({ time, process_, std::move(kind), std::move(fields) });
    return time;
}

HybridTime Timeline::now()
{
    RankedLock lock(mutex_);
    return tick();
}

void Timeline::observe(HybridTime remote)
{
    RankedLock lock(mutex_);
    if (lastTime_ < remote)
        lastTime_ = remote;
}

std::vector<Event> Timeline::events(std::string_view name, std::string_view value) const
{
    RankedLock lock(mutex_);
    std::vector<Event> matches;
    for (const auto& event : events_) {
        if (name.empty()) {
            matches.push_back(event);
            continue;
        }
        if (auto it = event.fields.find(std::string(name)); it != event.fields.end() && it->second == value)
            matches.push_back(event);
    }
    return matches;
}

std::uint64_t Timeline::droppedCount() const
{
    RankedLock lock(mutex_);
    return droppedCount_;
}

} // namespace arbutus::base
