#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutus::forwarding {

// Cuts a body of server-sent events at the ends of events, so that a stream can
// go on at another upstream behind the last whole event.
class EventSplitter {
public:
    // Returns the whole events that `bytes` completes, without those whose id is
    // not above the last one returned. Ids are numbers that rise.
    std::string feed(std::string_view bytes);

    // The id of the last event returned; nothing before the first with an id.
    const std::optional<std::string>& lastEventId() const { return lastEventId_; }
    // Drops the part of an event that was cut off.
    void discardPartial() { partial_.clear(); }
    std::string takePartial() { return std::move(partial_); }
    bool hasDelivered() const { return hasDelivered_; }

private:
    void appendEvent(std::string_view event, std::string& result);

    std::string partial_;
    std::optional<std::string> lastEventId_;
    std::optional<unsigned long long> lastNumericId_;
    bool hasDelivered_ = false;
};

} // namespace arbutus::forwarding
