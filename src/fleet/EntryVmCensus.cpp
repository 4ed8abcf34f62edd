#include "include/fleet/EntryVmCensus.h"

#include <algorithm>

namespace arbutus::fleet {

void EntryVmCensus::observe(std::uint32_t entryVmCount, bool isComplete, base::TimePoint now)
{
    if (!countedSince_ || now > observedAt_ + maxAbsence())
        countedSince_ = now;
    observedAt_ = now;
    auto count = std::max(1U, entryVmCount);
    if (!isComplete)
        count = std::max(count, partCount());
    while (!counts_.empty() && counts_.back().count <= count)
        counts_.pop_back();
    counts_.push_back({ count, now });
    while (counts_.front().seenAt < now - window_)
        counts_.pop_front();
}

LimitPart EntryVmCensus::part() const
{
    bool isCounted = countedSince_ && observedAt_ >= *countedSince_ + window_;
    return { partCount(), isCounted ? observedAt_ + maxAbsence() : base::TimePoint() };
}

} // namespace arbutus::fleet
