#include "include/routing/UpstreamLoad.h"
#include "include/base/Clock.h"
#include "include/base/Random.h"
#include "include/routing/RoundTripEstimator.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::routing;
using namespace std::chrono_literals;

static double milliseconds(std::chrono::nanoseconds time) { return std::chrono::duration<double, std::milli>(time).count(); }

// Guards against streams that are counted twice or not at all while reports lag.
BOOST_AUTO_TEST_CASE(LaggingReportIsCorrectedByLocalStreams)
{
    base::VirtualClock clock;
    StepTimeEstimator estimator;
    UpstreamLoad load(estimator);
    const auto start = clock.now();
    load.streamStarted(0, start);
    load.streamStarted(0, start + 10ms);
    BOOST_TEST(load.correctedLoad() == 2U);
    load.applyReport({ 5, 1, 0.5, start + 5ms });
    BOOST_TEST(load.correctedLoad() == 7U);
    load.streamEnded(start, start + 20ms);
    BOOST_TEST(load.correctedLoad() == 6U);
    load.streamEnded(start + 10ms, start + 21ms);
    BOOST_TEST(load.correctedLoad() == 5U);
    // An older report that arrives late is ignored.
    load.applyReport({ 60, 0, 0.5, start + 1ms });
    BOOST_TEST(load.correctedLoad() == 5U);
    load.applyReport({ 5, 0, 0.5, start + 30ms });
    BOOST_TEST(load.correctedLoad() == 5U);
}

// Guards against many prefills that are sent to one engine at once, for example after
// an engine crash, and against prefills that still count after they ended.
BOOST_AUTO_TEST_CASE(PendingPrefillsDelayTheNext)
{
    base::VirtualClock clock;
    StepTimeEstimator estimator;
    UpstreamLoad load(estimator);
    const auto start = clock.now();
    const auto idle = load.expectedPrefill(100, start);
    load.streamStarted(1000, start);
    load.streamStarted(2000, start + 1ms);
    const auto busy = load.expectedPrefill(100, start);
    BOOST_TEST((busy > 3 * idle));
    load.streamEnded(start, start + 2ms);
    load.prefillReturned(start + 1ms, 2000, estimator.expectedPrefill(1, 2000), start + 60ms);
    load.streamEnded(start + 1ms, start + 70ms);
    BOOST_TEST((load.expectedPrefill(100, start + 70ms) <= idle * 11 / 10));
}

// Guards against a fit that is distorted by a few stalls.
BOOST_AUTO_TEST_CASE(StepTimeIsLearnedDespiteOutliers)
{
    base::VirtualClock clock;
    base::Random random(11);
    StepTimeEstimator estimator;
    for (int i = 0; i < 2000; ++i) {
        clock.advance(5ms);
        const std::size_t batch = 1 + random.below(32);
        const bool isStall = random.below(20) == 0;
        const double ms = (10 + 0.5 * static_cast<double>(batch)) * random.between(0.95, 1.05) * (isStall ? 50 : 1);
        estimator.recordStep(batch, std::chrono::nanoseconds(static_cast<std::int64_t>(ms * 1e6)), clock.now());
    }
    BOOST_TEST(milliseconds(estimator.expectedStep(1)) == 10.5, boost::test_tools::tolerance(0.1));
    BOOST_TEST(milliseconds(estimator.expectedStep(32)) == 26.0, boost::test_tools::tolerance(0.1));
    // A lasting change eventually stops counting as an outlier.
    for (int i = 0; i < 2000; ++i) {
        clock.advance(5ms);
        estimator.recordStep(8, 140ms, clock.now());
    }
    BOOST_TEST(milliseconds(estimator.expectedStep(8)) == 140.0, boost::test_tools::tolerance(0.1));
}

// Guards against an engine that is avoided forever after it was slow, against an
// estimate that follows a single slow batch, and against a slow engine that makes its
// whole accelerator kind look slow.
BOOST_AUTO_TEST_CASE(SlowEngineIsDetectedAndRecovers)
{
    base::VirtualClock clock;
    StepTimeEstimator estimator;
    UpstreamLoad slow(estimator);
    UpstreamLoad healthy(estimator);
    for (int i = 0; i < 100; ++i) {
        clock.advance(20ms);
        slow.stepReturned(20ms, clock.now());
        healthy.stepReturned(20ms, clock.now());
    }
    clock.advance(200ms);
    for (int result = 0; result < 30; ++result)
        slow.stepReturned(200ms, clock.now());
    BOOST_TEST(milliseconds(slow.expectedStep(clock.now())) < 25);
    for (int i = 0; i < 4; ++i) {
        clock.advance(200ms);
        slow.stepReturned(200ms, clock.now());
    }
    BOOST_TEST(milliseconds(slow.expectedStep(clock.now())) > 150);
    BOOST_TEST(milliseconds(healthy.expectedStep(clock.now())) < 25);
    clock.advance(30s);
    BOOST_TEST(milliseconds(slow.expectedStep(clock.now())) < 25);
}

// Guards against a failing engine that keeps receiving requests, and against a
// recovered engine that receives none or too many at once.
BOOST_AUTO_TEST_CASE(OpenCircuitAdmitsOneProbe)
{
    base::VirtualClock clock;
    CircuitBreaker breaker;
    breaker.recordFailure(clock.now());
    breaker.recordFailure(clock.now());
    breaker.recordSuccess();
    breaker.recordFailure(clock.now());
    breaker.recordFailure(clock.now());
    BOOST_TEST(breaker.isAvailable(clock.now()));
    breaker.recordFailure(clock.now());
    BOOST_TEST(!breaker.isAvailable(clock.now()));
    clock.advance(1s);
    BOOST_TEST((breaker.state(clock.now()) == CircuitBreaker::State::HalfOpen));
    BOOST_TEST(breaker.isAvailable(clock.now()));
    breaker.recordSent(clock.now());
    BOOST_TEST(!breaker.isAvailable(clock.now()));
    breaker.recordFailure(clock.now());
    clock.advance(1900ms);
    BOOST_TEST(!breaker.isAvailable(clock.now()));
    clock.advance(100ms);
    breaker.recordSent(clock.now());
    breaker.recordSuccess();
    BOOST_TEST((breaker.state(clock.now()) == CircuitBreaker::State::Closed));
}

// Guards against a link that is considered slow after one lost packet, and against a
// link that is never tried again.
BOOST_AUTO_TEST_CASE(RoundTripFollowsLastingChangesAndDecays)
{
    base::VirtualClock clock;
    RoundTripEstimator roundTrips;
    for (int i = 0; i < 5; ++i)
        roundTrips.record("a", "b", 1ms, clock.now());
    roundTrips.record("a", "b", 200ms, clock.now());
    BOOST_TEST(milliseconds(roundTrips.expected("a", "b", clock.now())) == 1.0, boost::test_tools::tolerance(0.01));
    roundTrips.record("a", "b", 50ms, clock.now());
    roundTrips.record("a", "b", 50ms, clock.now());
    BOOST_TEST(milliseconds(roundTrips.expected("a", "b", clock.now())) > 40);
    clock.advance(5min);
    BOOST_TEST(milliseconds(roundTrips.expected("a", "b", clock.now())) < 1.0);
}
