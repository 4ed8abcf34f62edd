#include "include/routing/StartupQueue.h"
#include "include/base/Clock.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::routing;
using namespace std::chrono_literals;

// Guards against a wait that consumes most of the caller's timeout.
BOOST_AUTO_TEST_CASE(WaitIsFractionOfCallerTimeout)
{
    base::VirtualClock clock;
    StartupQueue queue(clock.now());
    BOOST_TEST((queue.tryAdmit(clock.now(), 1500ms, 100).value() <= clock.now() + 500ms));
    auto patient = queue.tryAdmit(clock.now(), 20s, 100).value();
    BOOST_TEST((patient >= clock.now() + 2s));
    BOOST_TEST((patient <= clock.now() + 5s));
    BOOST_TEST((queue.tryAdmit(clock.now(), std::nullopt, 100).value() <= clock.now() + 1s));
}

// Guards against requests that wait in normal operation, where requests that cannot
// be served must be rejected immediately.
BOOST_AUTO_TEST_CASE(AdmitsNothingAfterStartupPeriod)
{
    base::VirtualClock clock;
    StartupQueue queue(clock.now());
    clock.advance(10s);
    BOOST_TEST(!queue.isOpen(clock.now()));
    BOOST_TEST(!queue.tryAdmit(clock.now(), 20s, 100).has_value());
}

// Simulates the restart of a fleet: the requests of 2 s arrive within 1 s, and the
// configuration follows after 1.7 s. Guards against unbounded memory and against
// capacity that is not released.
BOOST_AUTO_TEST_CASE(RetryBurstIsBounded)
{
    base::VirtualClock clock;
    StartupQueue queue(clock.now());
    int waiting = 0;
    int rejected = 0;
    for (int i = 0; i < 2000; ++i) {
        clock.advance(500us);
        ++(queue.tryAdmit(clock.now(), 20s, 2000) ? waiting : rejected);
    }
    BOOST_TEST(waiting >= 300);
    BOOST_TEST(waiting <= 1000);
    BOOST_TEST(waiting + rejected == 2000);
    for (int i = 0; i < waiting; ++i)
        queue.release(2000);
    BOOST_TEST(queue.size() == 0U);
    BOOST_TEST(queue.tryAdmit(clock.now(), 20s, std::size_t { 4 } << 20).has_value());
    BOOST_TEST(!queue.tryAdmit(clock.now(), 20s, std::size_t { 64 } << 20).has_value());
}
