#include "include/forwarding/EventSplitter.h"

#include <boost/test/unit_test.hpp>

using arbutus::forwarding::EventSplitter;

static std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n"; }

// Guards against forwarding part of an event before a stream resumes at another engine,
// which sends the complete event again.
BOOST_AUTO_TEST_CASE(EmitsOnlyCompleteEventsForAnyChunking)
{
    std::string text = event(1) + event(2) + "id: 3\r\ndata: y\r\n\r\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        EventSplitter splitter;
        std::string result;
        for (std::size_t at = 0; at < text.size(); at += step)
            result += splitter.feed(text.substr(at, step));
        BOOST_TEST(result == text);
        BOOST_TEST(splitter.lastEventId().value() == "3");
        BOOST_TEST(splitter.takePartial().empty());
    }
}

// Guards against missing or duplicate events after a stream resumes.
BOOST_AUTO_TEST_CASE(ResumedStreamHasNoDuplicateOrPartialEvent)
{
    EventSplitter splitter;
    BOOST_TEST(splitter.feed(event(1) + event(2) + "id: 3\nda") == event(1) + event(2));
    BOOST_TEST(splitter.lastEventId().value() == "2");
    splitter.discardPartial();
    BOOST_TEST(splitter.feed(event(2) + event(3)) == event(3));
    BOOST_TEST(splitter.lastEventId().value() == "3");
}

// Guards against dropping events that have no id.
BOOST_AUTO_TEST_CASE(PassesEventsWithoutId)
{
    EventSplitter splitter;
    BOOST_TEST(!splitter.hasDelivered());
    BOOST_TEST(splitter.feed(": comment\n\n") == ": comment\n\n");
    BOOST_TEST(splitter.hasDelivered());
    BOOST_TEST(!splitter.lastEventId().has_value());
}
