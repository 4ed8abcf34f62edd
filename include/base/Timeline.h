#pragma once

#include "include/base/Clock.h"
#include "include/base/RankedMutex.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace arbutus::base {

// A hybrid logical time: the wall clock, and a counter that orders events which
// the wall clock cannot. A message carries it, so a cause sorts before its effect.
struct HybridTime {
    WallTime physical;
    std::uint32_t logical = 0;

    friend bool operator<(const HybridTime& left, const HybridTime& right)
    {
        return left.physical != right.physical ? left.physical < right.physical : left.logical < right.logical;
    }
};

std::string toString(const HybridTime&);
// Returns the zero time for text that is not a hybrid time.
HybridTime hybridTimeFromString(std::string_view);

struct Event {
    HybridTime time;
    std::string process;
    std::string kind;
    // For instance request, order, revision, vm.
    std::map<std::string, std::string> fields;
};

// The bounded list of a process's events. Safe to use from several threads.
class Timeline {
public:
    Timeline(const Clock&, std::string process, std::size_t capacity);

    // Records an event and returns its time, to be sent along with what it causes.
    HybridTime record(std::string kind, std::map<std::string, std::string> fields);

    // Returns the time to send along with a message.
    HybridTime now();

    // Advances past the time of a received message.
    void observe(HybridTime remote);

    // Returns events, oldest first, whose field `name` equals `value`; all when `name` is empty.
    std::vector<Event> events(std::string_view name = {}, std::string_view value = {}) const;

    std::uint64_t droppedCount() const;

private:
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
