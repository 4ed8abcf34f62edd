#include "include/base/Random.h"
#include "include/routing/RequestRateLimiter.h"
#include "tests/FleetNetwork.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

using namespace arbutus;
using fleet::FleetNetwork;
using fleet::Milliseconds;
using routing::RequestRateLimiter;
using std::chrono::seconds;

static const std::string upstream = "u";
static constexpr Milliseconds step(10);
static constexpr Milliseconds answerDelay(60);
// The window in which requests are counted, and what may reach the upstream in it.
static constexpr Milliseconds countedWindow(4000);
static double allowedInWindow(double perSecond) { return 1.5 * perSecond * 4 + 5; }

// Entry VMs with more callers than the upstream accepts, all of which want the same one.
class LimitedFleet {
public:
    LimitedFleet(std::size_t entryCount, double requestsPerSecond, std::uint64_t seed)
        : network(3, 170, entryCount, 20)
        , random_(seed)
        , requestsPerVm_(requestsPerSecond / static_cast<double>(entryCount))
    {
        for (std::size_t i = 0; i < entryCount; ++i) {
            limiters.emplace_back(random_.unit());
            connect(i);
        }
        network.run(seconds(2));
    }

    // Call when an entry VM has been started.
    void connect(std::size_t i)
    {
        limiters[i] = RequestRateLimiter(random_.unit());
        network.entry[i].poller->setLimitHooks([this, i] { return limiters[i].takeReports(0, network.clock.now()); }, [this, i](const auto& reports, base::TimePoint grantedBy) {
            limiters[i].allocatorAnswered(network.clock.now());
            for (const auto& report : reports)
                limiters[i].apply(report, grantedBy, network.clock.now()); }, [this, i] { return limiters[i].limitCount() > 0; });
    }

    void run(Milliseconds duration)
    {
        for (Milliseconds elapsed {}; elapsed < duration; elapsed += step) {
            for (std::size_t i = 0; i < limiters.size(); ++i) {
                limiters[i].setEntryVmCount(network.entry[i].poller->entryVmCount());
                // The connections are spread unevenly over the VMs.
                double share = i % 3 ? 0.5 : 2;
                if (random_.between(0, 1) < share * requestsPerVm_ * std::chrono::duration<double>(step).count())
                    requestArrived(i);
            }
            deliverAnswers();
            network.run(step);
        }
    }

    // Returns the most requests in any window that ends after `since`.
    std::size_t mostInWindow(base::TimePoint since) const
    {
        std::size_t most = 0;
        for (auto first = sentAt.begin(), last = sentAt.begin(); last != sentAt.end(); ++last) {
            while (*last - *first >= countedWindow)
                ++first;
            if (*last >= since)
                most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }
    double servedPerSecond(base::TimePoint since) const
    {
        auto served = std::count_if(sentAt.begin(), sentAt.end(), [since](auto time) { return time >= since; });
        return static_cast<double>(served) / std::chrono::duration<double>(network.clock.now() - since).count();
    }

    FleetNetwork network;
    std::vector<RequestRateLimiter> limiters;
    std::optional<double> limit;
    std::vector<base::TimePoint> sentAt;

private:
    struct Answer {
        std::size_t entryVm = 0;
        base::TimePoint sentAt;
    };

    void requestArrived(std::size_t i)
    {
        auto now = network.clock.now();
        limiters[i].requestArrived(now);
        if (limiters[i].isLimiting(now))
            return;
        limiters[i].sent(upstream, now);
        sentAt.push_back(now);
        answers_.push_back({ i, now });
    }

    void deliverAnswers()
    {
        auto now = network.clock.now();
        for (; !answers_.empty() && now >= answers_.front().sentAt + answerDelay; answers_.pop_front())
            limiters[answers_.front().entryVm].observe(upstream, limit, answers_.front().sentAt, now);
    }

    base::Random random_;
    double requestsPerVm_;
    std::deque<Answer> answers_;
};

// When all VMs have seen the limit and its news have settled.
static constexpr seconds contactTime(3);

static void checkLimitIsKept(std::size_t entryCount, double perSecond, std::uint64_t seed)
{
    LimitedFleet fleet(entryCount, 80, seed);
    fleet.run(seconds(3));
    fleet.limit = perSecond;
    auto namedAt = fleet.network.clock.now();
    fleet.run(seconds(30));
    BOOST_TEST_CONTEXT("entry VMs " << entryCount << ", limit " << perSecond << ", seed " << seed)
    {
        BOOST_TEST(static_cast<double>(fleet.mostInWindow(namedAt + contactTime + countedWindow)) <= allowedInWindow(perSecond));
        BOOST_TEST(fleet.servedPerSecond(namedAt + contactTime) >= 0.8 * perSecond);
        BOOST_TEST(fleet.servedPerSecond(namedAt + contactTime) <= 1.1 * perSecond);
    }
}

BOOST_AUTO_TEST_CASE(UpstreamGetsWhatItNamedFromAllEntryVmsTogether)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (double perSecond : { 10.1, 4.9, 2.1, 0.6 }) {
            checkLimitIsKept(9, perSecond, seed);
            checkLimitIsKept(61, perSecond, seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(LoweredLimitIsKeptAndRaisedLimitIsUsed)
{
    LimitedFleet fleet(9, 80, 4);
    fleet.limit = 20;
    fleet.run(seconds(10));
    fleet.limit = 3;
    auto loweredAt = fleet.network.clock.now();
    fleet.run(seconds(12));
    BOOST_TEST(static_cast<double>(fleet.mostInWindow(loweredAt + contactTime + countedWindow)) <= allowedInWindow(3));
    fleet.limit = 30;
    auto raisedAt = fleet.network.clock.now();
    fleet.run(seconds(10));
    BOOST_TEST(fleet.servedPerSecond(raisedAt + contactTime) >= 0.8 * 30);
}

BOOST_AUTO_TEST_CASE(LiftedLimitHoldsNoRequestBack)
{
    LimitedFleet fleet(61, 80, 5);
    fleet.limit = 2;
    fleet.run(seconds(10));
    fleet.limit.reset();
    auto liftedAt = fleet.network.clock.now();
    fleet.run(seconds(6));
    BOOST_TEST(fleet.servedPerSecond(liftedAt + contactTime) >= 0.9 * 80);
    fleet.run(seconds(12));
    for (const auto& limiter : fleet.limiters)
        BOOST_TEST(limiter.limitCount() == 0U);
}

// The lowest address divides the permits, so its loss makes another control VM take over.
BOOST_AUTO_TEST_CASE(LimitIsKeptWhileControlVmsAreLost)
{
    LimitedFleet fleet(9, 80, 6);
    fleet.limit = 5;
    auto namedAt = fleet.network.clock.now();
    fleet.run(seconds(8));
    fleet.network.control[0].isReachable = false;
    fleet.run(seconds(8));
    for (auto& vm : fleet.network.control)
        vm.isReachable = false;
    fleet.run(seconds(8));
    for (auto& vm : fleet.network.control)
        vm.isReachable = true;
    fleet.network.startControl(0);
    fleet.run(seconds(8));
    BOOST_TEST(static_cast<double>(fleet.mostInWindow(namedAt + contactTime + countedWindow)) <= allowedInWindow(5));
    BOOST_TEST(fleet.servedPerSecond(namedAt + contactTime) >= 0.7 * 5);
}

// Guards against equal parts of a limit that all entry VMs use at the same moment.
BOOST_AUTO_TEST_CASE(LimitIsKeptByManyEntryVmsWithoutControlVms)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        for (double perSecond : { 8.0, 2.0 }) {
            LimitedFleet fleet(61, 80, seed);
            fleet.limit = perSecond;
            auto namedAt = fleet.network.clock.now();
            fleet.run(seconds(8));
            for (auto& vm : fleet.network.control)
                vm.isReachable = false;
            auto lostAt = fleet.network.clock.now();
            fleet.run(seconds(45));
            BOOST_TEST_CONTEXT("limit " << perSecond << ", seed " << seed)
            {
                BOOST_TEST(static_cast<double>(fleet.mostInWindow(namedAt + contactTime + countedWindow)) <= allowedInWindow(perSecond));
                BOOST_TEST(fleet.servedPerSecond(lostAt + seconds(1)) >= 0.3 * perSecond);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(RestartedEntryVmAdoptsTheLimit)
{
    LimitedFleet fleet(9, 80, 7);
    fleet.limit = 5;
    auto namedAt = fleet.network.clock.now();
    fleet.run(seconds(8));
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.network.startEntry(i);
        fleet.connect(i);
        fleet.run(seconds(5));
        BOOST_TEST(fleet.limiters[i].limitCount() == 1U);
    }
    // A restarted VM does not know the limit before its first answer.
    BOOST_TEST(static_cast<double>(fleet.mostInWindow(namedAt + contactTime + countedWindow)) <= allowedInWindow(5) + 80 / 9.0 * 2);
}

// Half of the VMs do not reach the first control VM and take their permits from the second.
BOOST_AUTO_TEST_CASE(ControlVmsDivideALimitBetweenThem)
{
    fleet::RequestPermitAllocator first;
    fleet::RequestPermitAllocator second;
    base::TimePoint now { seconds(100) };
    fleet::RequestLimitReports wanted { { upstream, 10, false, 0, 64, 0 } };
    std::uint32_t permits = 0;
    for (int i = 0; i < 200; ++i, now += Milliseconds(50)) {
        for (int vm = 0; vm < 8; ++vm) {
            auto name = std::to_string(vm);
            first.entryVmPolled(name, vm < 4, now);
            second.entryVmPolled(name, vm >= 4, now);
        }
        for (auto* allocator : { &first, &second }) {
            allocator->apply(wanted, now);
            for (const auto& report : allocator->allocate(wanted, now))
                permits += report.permits;
        }
    }
    BOOST_TEST(permits >= 95U);
    BOOST_TEST(permits <= 105U);
}

BOOST_AUTO_TEST_CASE(ALimitOfZeroStillLetsATrialThrough)
{
    LimitedFleet fleet(9, 80, 8);
    fleet.limit = 0;
    auto namedAt = fleet.network.clock.now();
    fleet.run(seconds(24));
    BOOST_TEST(static_cast<double>(fleet.mostInWindow(namedAt + contactTime + countedWindow)) <= allowedInWindow(0));
    fleet.limit.reset();
    fleet.run(seconds(8));
    auto liftedAt = fleet.network.clock.now();
    fleet.run(seconds(2));
    BOOST_TEST(fleet.servedPerSecond(liftedAt) >= 0.9 * 80);
}

// Guards against a process that was paused with an answer unread and then uses permits which
// have run out and been given to others meanwhile.
BOOST_AUTO_TEST_CASE(PermitsThatRanOutBeforeTheyWereReadAreNotUsed)
{
    base::VirtualClock clock;
    for (auto pause : { std::chrono::milliseconds(100), std::chrono::milliseconds(700), std::chrono::milliseconds(5000) }) {
        RequestRateLimiter limiter(0.5);
        auto grantedBy = clock.now();
        clock.advance(pause);
        limiter.allocatorAnswered(clock.now());
        fleet::RequestLimitReport report { upstream, 0.5, false, 0, 1, 0 };
        limiter.apply(report, grantedBy, clock.now());
        bool isUsable = pause < fleet::RequestPermitAllocator::permitLifetime;
        BOOST_TEST(limiter.isLimiting(clock.now()) != isUsable);
    }
}
