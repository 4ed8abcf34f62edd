#include "include/forwarding/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace arbutus::forwarding {

// Returns the end of the first complete event in `text` at or after `start`, or npos.
// An empty line ends an event; lines end with LF or CRLF.
static std::size_t findEventEnd(std::string_view text, std::size_t start)
{
    for (auto line = text.find('\n', start); line != std::string_view::npos; line = text.find('\n', line + 1)) {
        auto next = line + 1;
        if (next < text.size() && text[next] == '\n')
            return next + 1;
        if (next + 1 < text.size() && text[next] == '\r' && text[next + 1] == '\n')
            return next + 2;
    }
    return std::string_view::npos;
}

static std::optional<std::string_view> eventId(std::string_view event)
{
    while (!event.empty()) {
        auto lineEnd = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, lineEnd);
        event.remove_prefix(std::min(lineEnd + 1, event.size()));
        if (line.substr(0, 3) != "id:")
            continue;
        line.remove_prefix(3);
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        return line;
    }
    return std::nullopt;
}

void EventSplitter::appendEvent(std::string_view event, std::string& result)
{
    if (auto id = eventId(event)) {
        unsigned long long number = 0;
        bool isNumber = std::from_chars(id->data(), id->data() + id->size(), number).ec == std::errc();
        if (isNumber && lastNumericId_ && number <= *lastNumericId_)
            return;
        if (isNumber)
            lastNumericId_ = number;
        lastEventId_ = std::string(*id);
    }
    hasDelivered_ = true;
    result.append(event);
}

std::string EventSplitter::feed(std::string_view bytes)
{
    // Up to three bytes of an event's terminator may have arrived with earlier reads.
    auto searchFrom = partial_.size() > 3 ? partial_.size() - 3 : 0;
    partial_.append(bytes);
    std::string result;
    std::size_t start = 0;
    for (auto end = findEventEnd(partial_, searchFrom); end != std::string::npos; end = findEventEnd(partial_, start)) {
        appendEvent(std::string_view(partial_).substr(start, end - start), result);
        start = end;
    }
    partial_.erase(0, start);
    return result;
}

} // namespace arbutus::forwarding
