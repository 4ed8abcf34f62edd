#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutus::forwarding {

// Splits a stream of server-sent events at event boundaries, so that the stream can
// resume at another upstream after the last complete event.
class EventSplitter {
public:
    // Appends `bytes` and returns the events that they complete. Numeric ids increase
    // within a stream, so an event whose id is not above the last one is a duplicate and
    // is dropped.
    std::string feed(std::string_view bytes);

    // Returns the id of the last returned event that has one, or nullopt if none had.
    const std::optional<std::string>& lastEventId() const { return lastEventId_; }
    std::size_t partialBytes() const { return partial_.size(); }
    // Discards the buffered incomplete event.
    void discardPartial() { partial_.clear(); }
    // Returns the buffered incomplete event.
    std::string takePartial() { return std::move(partial_); }
    // Returns whether any event was returned so far.
    bool hasDelivered() const { return hasDelivered_; }

private:
    void appendEvent(std::string_view event, std::string& result);

    std::string partial_;
    std::optional<std::string> lastEventId_;
    std::optional<unsigned long long> lastNumericId_;
    bool hasDelivered_ = false;
};

} // namespace arbutus::forwarding
