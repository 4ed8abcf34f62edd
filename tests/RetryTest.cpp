#include "include/base/Clock.h"
#include "include/routing/RetryPolicy.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::routing;
using namespace std::chrono_literals;

// Guards against retries that amplify the load while every upstream fails.
BOOST_AUTO_TEST_CASE(RetriesAreLimitedToFractionOfSuccesses)
{
    RetryTokenBucket tokenBucket(0.1, 5);
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
        retries += tokenBucket.tryAcquire() ? 1 : 0;
    BOOST_TEST(retries == 5);
    for (int i = 0; i < 1000; ++i) {
        tokenBucket.recordSuccess();
        retries += tokenBucket.tryAcquire() ? 1 : 0;
    }
    BOOST_TEST(retries == 105);
}

// Guards against synchronised retries, and against delays outside the jitter range.
BOOST_AUTO_TEST_CASE(BackoffGrowsWithinJitterRange)
{
    base::VirtualClock clock;
    base::Random random(7);
    double lowest = 2;
    double highest = 0;
    for (int i = 0; i < 1000; ++i) {
        RetryTokenBucket tokenBucket(0.1, 10);
        RetryPolicy policy({ 50ms, 80ms, 9 }, clock.now() + 1h);
        for (std::chrono::nanoseconds expected : { 50ms, 80ms, 80ms }) {
            const auto at = policy.nextAttemptAt({ "a" }, 0s, clock.now(), tokenBucket, random);
            BOOST_REQUIRE(at.has_value());
            const double factor = std::chrono::duration<double>(*at - clock.now()) / expected;
            lowest = std::min(lowest, factor);
            highest = std::max(highest, factor);
        }
    }
    BOOST_TEST((lowest >= 0.799 && lowest < 0.81));
    BOOST_TEST((highest <= 1.201 && highest > 1.19));
}

// Guards against a retry that cannot finish before the deadline, against charging the
// retry tokens for it, and against trying an upstream twice.
BOOST_AUTO_TEST_CASE(NoRetryPastDeadlineOrAttemptLimit)
{
    base::VirtualClock clock;
    base::Random random(7);
    RetryTokenBucket tokenBucket(0.1, 10);
    RetryPolicy late({ 50ms, 1s, 4 }, clock.now() + 500ms);
    BOOST_TEST(!late.nextAttemptAt({ "a" }, 450ms, clock.now(), tokenBucket, random).has_value());
    BOOST_TEST(tokenBucket.balance() == 10);

    RetryPolicy policy({ 50ms, 1s, 3 }, clock.now() + 1h);
    BOOST_TEST(policy.nextAttemptAt({ "a", "b" }, 0s, clock.now(), tokenBucket, random).has_value());
    BOOST_TEST(policy.nextAttemptAt({ "b", "c" }, 0s, clock.now(), tokenBucket, random).has_value());
    BOOST_TEST(!policy.nextAttemptAt({ "d" }, 0s, clock.now(), tokenBucket, random).has_value());
    BOOST_TEST(policy.triedUpstreams() == (std::vector<std::string> { "a", "b", "c", "d" }), boost::test_tools::per_element());
}
