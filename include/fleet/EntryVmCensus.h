#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace arbutus::fleet {

// The part of one entry VM in a limit that holds for all of them together.
struct LimitPart {
    // Into how many equal parts the limit is divided.
    std::uint32_t partCount = 1;
    // Until when the VM may use its part, a time of base::bootNow().
    base::TimePoint usableUntil;
};

// Divides a limit that holds over a time window among the entry VMs. The parts of all VMs,
// also of those that have ended within the window, never add up to more than the limit. So
// the number of parts rises at once and falls only after a window, and a VM uses its part only
// after a window in which the control VMs have counted it: an earlier process of the VM may
// have used the part up to its end. All times are of base::bootNow(), so that a suspended VM
// notices that it was away.
class EntryVmCensus {
public:
    explicit EntryVmCensus(std::chrono::nanoseconds window)
        : window_(window)
    {
    }

    // Call a few times a second while control VMs answer, with the largest number of entry VMs
    // that they tell. `isComplete` is false while a control VM does not answer: it may count
    // entry VMs that the others do not know.
    void observe(std::uint32_t entryVmCount, bool isComplete, base::TimePoint now);

    // Returns the part of this VM, as the last observation has left it.
    LimitPart part() const;

private:
    struct Count {
        std::uint32_t count = 0;
        base::TimePoint seenAt;
    };

    // The others count a VM for more than a window after its last poll. The rest of the window
    // is for VMs that are added meanwhile.
    std::chrono::nanoseconds maxAbsence() const { return window_ / 2; }
    std::uint32_t partCount() const { return counts_.empty() ? 1 : counts_.front().count; }

    const std::chrono::nanoseconds window_;
    // Since when the control VMs have answered without a long pause, and when they did last.
    std::optional<base::TimePoint> countedSince_;
    base::TimePoint observedAt_;
    // The counts of the last window that no later one exceeds, so they descend.
    std::deque<Count> counts_;
};

} // namespace arbutus::fleet
