#include "include/routing/RefusalTracker.h"

#include "include/base/Clock.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace arbutus;
using namespace arbutus::routing;
using namespace std::chrono_literals;

// Guards against an engine that stays unused after it accepts again, also when no report of
// the other entry VMs follows.
BOOST_AUTO_TEST_CASE(RefusalsExpire)
{
    base::VirtualClock clock;
    RefusalTracker tracker;
    BOOST_TEST(tracker.tryProbability("e", 1ms, 66, clock.now()) == 1);
    tracker.record("e", clock.now());
    tracker.setPeers({ { "e", 2 }, { "other", 0 } }, clock.now());
    BOOST_TEST(tracker.level("e", clock.now()) == 3);
    BOOST_TEST(tracker.level("other", clock.now()) == 0);
    BOOST_TEST(tracker.ownRecent(clock.now()).at("e") == 1);
    BOOST_TEST(tracker.tryProbability("e", 10ms, 66, clock.now()) < 0.001);
    clock.advance(499ms);
    BOOST_TEST(tracker.level("e", clock.now()) >= 1);
    clock.advance(1ms);
    BOOST_TEST(tracker.ownRecent(clock.now()).empty());
    clock.advance(700ms);
    BOOST_TEST(tracker.level("e", clock.now()) == 0);
    BOOST_TEST(tracker.tryProbability("e", 1ms, 66, clock.now()) == 1);
}

// Guards against a refusal that counts twice, or that counts on after the others no longer
// report it.
BOOST_AUTO_TEST_CASE(NewReportsReplaceOlderOnes)
{
    base::VirtualClock clock;
    RefusalTracker tracker;
    tracker.setPeers({ { "e", 8 } }, clock.now());
    tracker.setPeers({ { "e", 8 } }, clock.now());
    BOOST_TEST(tracker.level("e", clock.now()) == 8);
    tracker.setPeers({}, clock.now());
    clock.advance(100ms);
    BOOST_TEST(tracker.level("e", clock.now()) == 4, boost::test_tools::tolerance(1e-9));
}

// Guards against a choice that is blocked or made certain by odd values.
BOOST_AUTO_TEST_CASE(OddReportsAreIgnored)
{
    base::VirtualClock clock;
    RefusalTracker tracker;
    tracker.setPeers({ { "a", -1 }, { "b", std::numeric_limits<double>::quiet_NaN() } }, clock.now());
    for (const char* id : { "a", "b" })
        BOOST_TEST(tracker.tryProbability(id, 1ms, 0, clock.now()) == 1);
    tracker.record("c", clock.now());
    BOOST_TEST(tracker.tryProbability("c", 100h, 0, clock.now()) == 1);
}
