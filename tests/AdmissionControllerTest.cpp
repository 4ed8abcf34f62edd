#include "include/routing/AdmissionController.h"
#include "include/base/Clock.h"
#include "include/base/Random.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <functional>
#include <map>

using namespace arbutus;
using namespace arbutus::routing;
using namespace std::chrono_literals;

static constexpr std::chrono::nanoseconds tokenTime = 10ms;

// Simulates slots that take exactly `tokenTime` per token.
class AdmissionSimulation {
public:
    explicit AdmissionSimulation(std::size_t slots, std::size_t maxQueued = 4096, std::size_t maxQueuedPerTeam = 1024)
        : admission({ maxQueued, maxQueuedPerTeam, slots, tokenTime })
    {
    }

    void at(base::TimePoint time, std::function<void()> action) { events_.emplace(std::make_pair(time, order_++), std::move(action)); }

    base::Result<void> enqueue(const std::string& team, std::size_t tokens, std::chrono::nanoseconds timeToDeadline, std::uint64_t fingerprint = 0, bool isRetry = false)
    {
        const std::uint64_t id = nextId_++;
        auto result = admission.enqueue({ id, team, tokens, now() + timeToDeadline, fingerprint }, now());
        if (result)
            requests_[id] = { team, tokens, now() + timeToDeadline, isRetry };
        startAll();
        return result;
    }

    void run(std::chrono::nanoseconds duration)
    {
        const auto end = now() + duration;
        while (!events_.empty() && events_.begin()->first.first <= end) {
            auto event = events_.extract(events_.begin());
            clock_.advance(event.key().first - now());
            event.mapped()();
            for (const auto& rejection : admission.removeExpired(now())) {
                ++expired[requests_.at(rejection.id).team];
                expiredRetries += requests_.at(rejection.id).isRetry ? 1 : 0;
                requests_.erase(rejection.id);
            }
            startAll();
        }
        clock_.advance(end - now());
    }

    base::TimePoint now() const { return clock_.now(); }

    AdmissionController admission;
    std::map<std::string, std::size_t> finishedTokens;
    std::map<std::string, int> expired;
    int lateCount = 0;
    int expiredRetries = 0;

private:
    struct Request {
        std::string team;
        std::size_t tokens;
        base::TimePoint deadline;
        bool isRetry;
    };

    void startAll()
    {
        while (const auto id = admission.startNext(now())) {
            const std::uint64_t started = *id;
            at(now() + tokenTime * requests_.at(started).tokens, [this, started] {
                const Request request = requests_.at(started);
                requests_.erase(started);
                finishedTokens[request.team] += request.tokens;
                lateCount += now() > request.deadline ? 1 : 0;
                admission.requestFinished(started, request.tokens, now());
            });
        }
    }

    base::VirtualClock clock_;
    std::uint64_t nextId_ = 1;
    std::uint64_t order_ = 0;
    std::map<std::pair<base::TimePoint, std::uint64_t>, std::function<void()>> events_;
    std::map<std::uint64_t, Request> requests_;
};

// Guards against a large team that starves a small one or is starved by several
// small ones, and against weights that have no effect.
BOOST_AUTO_TEST_CASE(SharesTokensByWeight)
{
    AdmissionSimulation simulation(8);
    simulation.admission.setRules({ { "large", 0, 3, 0, 0 }, { "small", 0, 1, 0, 0 }, { "tiny", 0, 1, 0, 0 } }, simulation.now());
    for (int i = 0; i < 1000; ++i)
        (void)simulation.enqueue("large", 20, 1h);
    for (int i = 0; i < 300; ++i) {
        (void)simulation.enqueue("small", 5, 1h);
        (void)simulation.enqueue("tiny", 50, 1h);
    }
    simulation.run(10s);
    const auto tokens = [&](const char* team) { return static_cast<double>(simulation.finishedTokens[team]); };
    const double total = tokens("large") + tokens("small") + tokens("tiny");
    BOOST_TEST(total > 7500);
    BOOST_TEST(tokens("large") / total == 0.6, boost::test_tools::tolerance(0.08));
    BOOST_TEST(tokens("small") / total == 0.2, boost::test_tools::tolerance(0.08));
}

// Guards against an idle team that accumulates credit and then blocks other teams.
BOOST_AUTO_TEST_CASE(IdleTeamAccumulatesNoCredit)
{
    AdmissionSimulation simulation(4);
    simulation.admission.setRules({ { "busy", 0, 1, 0, 0 }, { "idle", 0, 1, 0, 0 } }, simulation.now());
    for (int i = 0; i < 1000; ++i)
        (void)simulation.enqueue("busy", 10, 1h);
    simulation.run(10s);
    const auto before = simulation.finishedTokens["busy"];
    for (int i = 0; i < 1000; ++i)
        (void)simulation.enqueue("idle", 10, 1h);
    simulation.run(2s);
    BOOST_TEST(simulation.finishedTokens["busy"] - before >= 350U);
}

// Guards against a priority class that is starved, and against classes that have no
// effect.
BOOST_AUTO_TEST_CASE(LowestPriorityClassIsNotStarved)
{
    AdmissionSimulation simulation(4);
    simulation.admission.setRules({ { "urgent", 0, 1, 0, 0 }, { "batch", 3, 1, 0, 0 } }, simulation.now());
    for (int i = 0; i < 1000; ++i) {
        (void)simulation.enqueue("urgent", 10, 1h);
        (void)simulation.enqueue("batch", 10, 1h);
    }
    simulation.run(20s);
    BOOST_TEST(simulation.finishedTokens["batch"] >= 60U);
    BOOST_TEST(simulation.finishedTokens["urgent"] > 20 * simulation.finishedTokens["batch"]);
}

// Schedules `onArrival` as a Poisson process until `end` seconds from now.
template <typename Callback>
static void scheduleArrivals(AdmissionSimulation& simulation, base::Random& random, double rate, double end, const Callback& onArrival)
{
    for (double at = -std::log(1 - random.unit()) / rate; at < end; at -= std::log(1 - random.unit()) / rate)
        simulation.at(simulation.now() + std::chrono::nanoseconds(static_cast<std::int64_t>(at * 1e9)), onArrival);
}

// Guards against a retryAt that is too early: while other teams keep sending, every
// rejected request of a burst must be queued and answered if retried at that time.
BOOST_AUTO_TEST_CASE(RetryAtSuggestedTimeIsAdmitted)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        AdmissionSimulation simulation(8, 200, 30);
        simulation.admission.setRules({ { "burst", 0, 1, 0, 0 }, { "limited", 0, 1, 2, 0 }, { "rated", 0, 1, 0, 5 }, { "steady", 0, 1, 0, 0 } }, simulation.now());
        base::Random random(seed);
        int retried = 0;
        int accepted = 0;
        const auto enqueueAndRetry = [&](const std::string& team, std::chrono::nanoseconds timeToDeadline) {
            const std::uint64_t fingerprint = random.next();
            const auto result = simulation.enqueue(team, 20, timeToDeadline, fingerprint);
            if (result)
                return;
            BOOST_REQUIRE(result.error().retryAt.has_value());
            ++retried;
            simulation.at(*result.error().retryAt, [&simulation, &accepted, team, timeToDeadline, fingerprint] { accepted += simulation.enqueue(team, 20, timeToDeadline, fingerprint, true) ? 1 : 0; });
        };
        scheduleArrivals(simulation, random, 10, 20, [&] { (void)simulation.enqueue("steady", 20, 2s); });
        simulation.run(5s);
        for (int i = 0; i < 100; ++i) {
            enqueueAndRetry("burst", i % 2 ? 2s : 1s);
            if (i % 10 == 0) {
                enqueueAndRetry("limited", 600ms);
                enqueueAndRetry("rated", 2s);
            }
        }
        simulation.run(60s);
        BOOST_TEST(retried > 50);
        BOOST_TEST(accepted == retried, accepted << " of " << retried << " accepted, seed " << seed);
        BOOST_TEST(simulation.expiredRetries == 0, simulation.expiredRetries << " retries expired in the queue, seed " << seed);
    }
}

// Guards against requests that are accepted, wait, and then miss their deadline, and
// against rejections that leave slots idle.
BOOST_AUTO_TEST_CASE(RejectsUnreachableDeadlinesOnArrivalUnderOverload)
{
    AdmissionSimulation simulation(8, 64, 64);
    simulation.admission.setRules({ { "large", 0, 1, 0, 0 }, { "small", 0, 1, 0, 0 } }, simulation.now());
    base::Random random(5);
    int offered = 0;
    int accepted = 0;
    int rejectedSmall = 0;
    scheduleArrivals(simulation, random, 80, 60, [&] {
        ++offered;
        const std::size_t tokens = 10 + random.below(21);
        const auto timeToDeadline = random.below(2) ? 1500ms : 600ms;
        const std::uint64_t fingerprint = random.next();
        const auto result = simulation.enqueue("large", tokens, timeToDeadline, fingerprint);
        accepted += result ? 1 : 0;
        // Half of the rejected requests are retried. Unclaimed reservations must not keep slots idle.
        if (!result && result.error().retryAt && random.below(2))
            simulation.at(*result.error().retryAt, [&simulation, tokens, timeToDeadline, fingerprint] { (void)simulation.enqueue("large", tokens, timeToDeadline, fingerprint, true); });
    });
    scheduleArrivals(simulation, random, 4, 60, [&] { rejectedSmall += simulation.enqueue("small", 20, 1s) ? 0 : 1; });
    simulation.run(60s);
    BOOST_TEST((accepted < offered * 3 / 4));
    BOOST_TEST(simulation.expired["large"] + simulation.expired["small"] < accepted / 50);
    BOOST_TEST(simulation.lateCount == 0);
    BOOST_TEST(rejectedSmall <= 2);
    BOOST_TEST(simulation.finishedTokens["large"] + simulation.finishedTokens["small"] > 60 * 800 * 0.95);
}

// Guards against the wrong error kind, and against a retryAt where waiting does not
// help.
BOOST_AUTO_TEST_CASE(RejectionsCarryKindAndRetryTime)
{
    AdmissionSimulation simulation(1, 100, 2);
    simulation.admission.setRules({ { "a", 0, 1, 0, 0 }, { "rated", 0, 1, 0, 2 } }, simulation.now());
    BOOST_TEST((simulation.enqueue("unknown", 1, 1h).error().kind == base::ErrorKind::Forbidden));
    const auto never = simulation.enqueue("a", 200, 1s);
    BOOST_TEST((never.error().kind == base::ErrorKind::DeadlineUnreachable && !never.error().retryAt));
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(simulation.enqueue("a", 20, 1h).has_value());
    const auto full = simulation.enqueue("a", 20, 1h);
    BOOST_TEST((full.error().kind == base::ErrorKind::Overloaded && full.error().retryAt > simulation.now()));
    BOOST_TEST(simulation.enqueue("rated", 1, 1h).has_value());
    BOOST_TEST(simulation.enqueue("rated", 1, 1h).has_value());
    const auto rated = simulation.enqueue("rated", 1, 1h, 1);
    BOOST_TEST((rated.error().kind == base::ErrorKind::Overloaded && rated.error().retryAt >= simulation.now() + 490ms));
    // The next request gets a later retry time.
    BOOST_TEST((simulation.enqueue("rated", 1, 1h, 2).error().retryAt >= *rated.error().retryAt + 490ms));
}

// Guards against one team that fills the whole bounded queue.
BOOST_AUTO_TEST_CASE(FullQueueReservesCapacityForOtherTeams)
{
    AdmissionSimulation simulation(1, 100, 1000);
    simulation.admission.setRules({ { "greedy", 0, 1, 0, 0 }, { "other", 0, 1, 0, 0 } }, simulation.now());
    for (int i = 0; i < 500; ++i)
        (void)simulation.enqueue("greedy", 1, 1h);
    BOOST_TEST(simulation.admission.queuedCount("greedy") == 50U);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(simulation.enqueue("other", 1, 1h).has_value());
    BOOST_TEST(simulation.admission.queuedCount() <= 100U);
}

// Guards against queued requests that are lost when the rules change, and against
// limits that do not apply to requests already queued.
BOOST_AUTO_TEST_CASE(RuleChangePreservesQueuedRequests)
{
    AdmissionSimulation simulation(8);
    simulation.admission.setRules({ { "a", 0, 1, 0, 0 }, { "b", 0, 1, 0, 0 } }, simulation.now());
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(simulation.enqueue("a", 10, 1h).has_value());
        BOOST_TEST(simulation.enqueue("b", 10, 1h).has_value());
    }
    simulation.run(500ms);
    simulation.admission.setRules({ { "a", 0, 1, 2, 0 }, { "c", 0, 1, 0, 0 } }, simulation.now());
    BOOST_TEST((simulation.enqueue("b", 10, 1h).error().kind == base::ErrorKind::Forbidden));
    BOOST_TEST(simulation.enqueue("c", 10, 1h).has_value());
    simulation.run(300ms);
    BOOST_TEST(simulation.admission.runningCount("a") <= 2U);
    // A team that is removed and added again keeps its queue.
    simulation.admission.setRules({ { "a", 2, 5, 0, 0 }, { "b", 0, 1, 1, 0 } }, simulation.now());
    simulation.run(60s);
    BOOST_TEST(simulation.finishedTokens["a"] == 1000U);
    BOOST_TEST(simulation.finishedTokens["b"] == 1000U);
    BOOST_TEST(simulation.finishedTokens["c"] == 10U);
    BOOST_TEST(simulation.admission.queuedCount() + simulation.admission.runningCount() == 0U);
}
