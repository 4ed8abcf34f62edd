#pragma once

#include "include/base/Clock.h"
#include "include/base/RankedMutex.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace arbutus::base {

// Timestamp of a hybrid logical clock: wall-clock time plus a counter that orders
// events the wall clock cannot. Messages carry it, so a cause sorts before its
// effect even if the clocks of two machines disagree.
struct HybridTime {
    WallTime physical;
    std::uint32_t logical = 0;

    friend bool operator<(const HybridTime& left, const HybridTime& right)
    {
        return left.physical != right.physical ? left.physical < right.physical : left.logical < right.logical;
    }
};

std::string toString(const HybridTime&);
// Returns the zero time if the text is malformed.
HybridTime hybridTimeFromString(std::string_view);

struct Event {
    HybridTime time;
    std::string process;
    std::string kind;
    // Attributes to filter by, for example request, order, revision or vm.
    std::map<std::string, std::string> fields;
};

// Bounded in-memory log of the events of one process. Drops the oldest event when
// full. Thread-safe.
class Timeline {
public:
    Timeline(const Clock&, std::string process, std::size_t capacity);

    // Records an event and returns its time. Messages that the event causes carry this time.
    HybridTime record(std::string kind, std::map<std::string, std::string> fields);

    // Advances the clock and returns the timestamp for an outgoing message.
    HybridTime now();

    // Merges the timestamp of a received message, so that later local events sort after it.
    void observe(HybridTime remote);

    // Returns the events whose field `name` equals `value`, oldest first, or all events if `name` is empty.
    std::vector<Event> events(std::string_view name = {}, std::string_view value = {}) const;

    // Number of events dropped since the start because the log was full.
    std::uint64_t droppedCount() const;

private:
    // Advances the hybrid logical clock. The caller holds mutex_.
    HybridTime tick();

    const Clock& clock_;
    const std::string process_;
    const std::size_t capacity_;
    mutable RankedMutex mutex_;
    HybridTime lastTime_;
    std::deque<Event> events_;
    std::uint64_t droppedCount_ = 0;
};

} // namespace arbutus::base
