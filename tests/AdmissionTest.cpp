#include "include/routing/Admission.h"
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

// Runs requests on slots that take exactly `tokenTime` for a token.
class Model {
public:
    explicit Model(std::size_t slots, std::size_t maxQueued = 4096, std::size_t maxQueuedPerTeam = 1024)
        : admission({ maxQueued, maxQueuedPerTeam, slots, tokenTime })
    {
    }

    void at(base::TimePoint time, std::function<void()> action) { events_.emplace(std::make_pair(time, order_++), std::move(action)); }

    base::Result<void> offer(const std::string& team, std::size_t tokens, std::chrono::nanoseconds budget, std::uint64_t fingerprint = 0, bool isResend = false)
    {
        const std::uint64_t id = nextId_++;
        auto result = admission.offer({ id, team, tokens, now() + budget, fingerprint }, now());
        if (result)
            requests_[id] = { team, tokens, now() + budget, isResend };
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
            for (const auto& refusal : admission.takeExpired(now())) {
                ++expired[requests_.at(refusal.id).team];
                expiredResends += requests_.at(refusal.id).isResend ? 1 : 0;
                requests_.erase(refusal.id);
            }
            startAll();
        }
        clock_.advance(end - now());
    }

    base::TimePoint now() const { return clock_.now(); }

    Admission admission;
    std::map<std::string, std::size_t> finishedTokens;
    std::map<std::string, int> expired;
    int lateCount = 0;
    int expiredResends = 0;

private:
    struct Request {
        std::string team;
        std::size_t tokens;
        base::TimePoint deadline;
        bool isResend;
    };

    void startAll()
    {
        while (const auto id = admission.start(now())) {
            const std::uint64_t started = *id;
            at(now() + tokenTime * requests_.at(started).tokens, [this, started] {
                const Request request = requests_.at(started);
                requests_.erase(started);
                finishedTokens[request.team] += request.tokens;
                lateCount += now() > request.deadline ? 1 : 0;
                admission.finished(started, request.tokens, now());
            });
        }
    }

    base::VirtualClock clock_;
    std::uint64_t nextId_ = 1;
    std::uint64_t order_ = 0;
    std::map<std::pair<base::TimePoint, std::uint64_t>, std::function<void()>> events_;
    std::map<std::uint64_t, Request> requests_;
};

// Guards against a large team that starves a small one, or is starved by many
// small ones, and against a weight that has no effect.
BOOST_AUTO_TEST_CASE(TokensAreSharedByWeight)
{
    Model model(8);
    model.admission.setRules({ { "large", 0, 3, 0, 0 }, { "small", 0, 1, 0, 0 }, { "tiny", 0, 1, 0, 0 } }, model.now());
    for (int i = 0; i < 1000; ++i)
        (void)model.offer("large", 20, 1h);
    for (int i = 0; i < 300; ++i) {
        (void)model.offer("small", 5, 1h);
        (void)model.offer("tiny", 50, 1h);
    }
    model.run(10s);
    const auto tokens = [&](const char* team) { return static_cast<double>(model.finishedTokens[team]); };
    const double total = tokens("large") + tokens("small") + tokens("tiny");
    BOOST_TEST(total > 7500);
    BOOST_TEST(tokens("large") / total == 0.6, boost::test_tools::tolerance(0.08));
    BOOST_TEST(tokens("small") / total == 0.2, boost::test_tools::tolerance(0.08));
}

// Guards against an idle team that saves up its share and then blocks others.
BOOST_AUTO_TEST_CASE(IdleTimeIsNotSavedUp)
{
    Model model(4);
    model.admission.setRules({ { "busy", 0, 1, 0, 0 }, { "idle", 0, 1, 0, 0 } }, model.now());
    for (int i = 0; i < 1000; ++i)
        (void)model.offer("busy", 10, 1h);
    model.run(10s);
    const auto before = model.finishedTokens["busy"];
    for (int i = 0; i < 1000; ++i)
        (void)model.offer("idle", 10, 1h);
    model.run(2s);
    BOOST_TEST(model.finishedTokens["busy"] - before >= 350U);
}

// Guards against a class that is starved for ever, and one that has no effect.
BOOST_AUTO_TEST_CASE(LowestClassProgresses)
{
    Model model(4);
    model.admission.setRules({ { "urgent", 0, 1, 0, 0 }, { "batch", 3, 1, 0, 0 } }, model.now());
    for (int i = 0; i < 1000; ++i) {
        (void)model.offer("urgent", 10, 1h);
        (void)model.offer("batch", 10, 1h);
    }
    model.run(20s);
    BOOST_TEST(model.finishedTokens["batch"] >= 60U);
    BOOST_TEST(model.finishedTokens["urgent"] > 20 * model.finishedTokens["batch"]);
}

// Offers requests of `team` as a Poisson process until `end` seconds from now.
template <typename Offer>
static void arrive(Model& model, base::Random& random, double rate, double end, const Offer& offer)
{
    for (double at = -std::log(1 - random.unit()) / rate; at < end; at -= std::log(1 - random.unit()) / rate)
        model.at(model.now() + std::chrono::nanoseconds(static_cast<std::int64_t>(at * 1e9)), offer);
}

// Guards against an untruthful retryAt: while other teams keep sending, every
// refused request of a burst is queued and answered when resent at that time.
BOOST_AUTO_TEST_CASE(ResendAtRetryAtIsAdmitted)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Model model(8, 200, 30);
        model.admission.setRules({ { "burst", 0, 1, 0, 0 }, { "limited", 0, 1, 2, 0 }, { "rated", 0, 1, 0, 5 }, { "steady", 0, 1, 0, 0 } }, model.now());
        base::Random random(seed);
        int resent = 0;
        int accepted = 0;
        const auto offer = [&](const std::string& team, std::chrono::nanoseconds budget) {
            const std::uint64_t fingerprint = random.next();
            const auto result = model.offer(team, 20, budget, fingerprint);
            if (result)
                return;
            BOOST_REQUIRE(result.error().retryAt.has_value());
            ++resent;
            model.at(*result.error().retryAt, [&model, &accepted, team, budget, fingerprint] { accepted += model.offer(team, 20, budget, fingerprint, true) ? 1 : 0; });
        };
        arrive(model, random, 10, 20, [&] { (void)model.offer("steady", 20, 2s); });
        model.run(5s);
        for (int i = 0; i < 100; ++i) {
            offer("burst", i % 2 ? 2s : 1s);
            if (i % 10 == 0) {
                offer("limited", 600ms);
                offer("rated", 2s);
            }
        }
        model.run(60s);
        BOOST_TEST(resent > 50);
        BOOST_TEST(accepted == resent, accepted << " of " << resent << " accepted, seed " << seed);
        BOOST_TEST(model.expiredResends == 0, model.expiredResends << " resends expired in the queue, seed " << seed);
    }
}

// Guards against requests that are accepted, wait, and are then refused by
// their deadline, and against refusals that leave slots empty.
BOOST_AUTO_TEST_CASE(HopelessRequestsAreRefusedAtOnceUnderOverload)
{
    Model model(8, 64, 64);
    model.admission.setRules({ { "large", 0, 1, 0, 0 }, { "small", 0, 1, 0, 0 } }, model.now());
    base::Random random(5);
    int offered = 0;
    int accepted = 0;
    int refusedSmall = 0;
    arrive(model, random, 80, 60, [&] {
        ++offered;
        const std::size_t tokens = 10 + random.below(21);
        const auto budget = random.below(2) ? 1500ms : 600ms;
        const std::uint64_t fingerprint = random.next();
        const auto result = model.offer("large", tokens, budget, fingerprint);
        accepted += result ? 1 : 0;
        // Half of the refused requests come back; the other promises must not keep slots empty.
        if (!result && result.error().retryAt && random.below(2))
            model.at(*result.error().retryAt, [&model, tokens, budget, fingerprint] { (void)model.offer("large", tokens, budget, fingerprint, true); });
    });
    arrive(model, random, 4, 60, [&] { refusedSmall += model.offer("small", 20, 1s) ? 0 : 1; });
    model.run(60s);
    BOOST_TEST((accepted < offered * 3 / 4));
    BOOST_TEST(model.expired["large"] + model.expired["small"] < accepted / 50);
    BOOST_TEST(model.lateCount == 0);
    BOOST_TEST(refusedSmall <= 2);
    BOOST_TEST(model.finishedTokens["large"] + model.finishedTokens["small"] > 60 * 800 * 0.95);
}

// Guards against refusals of the wrong kind and against a retryAt where waiting
// does not help.
BOOST_AUTO_TEST_CASE(RefusalsNameTheirReason)
{
    Model model(1, 100, 2);
    model.admission.setRules({ { "a", 0, 1, 0, 0 }, { "rated", 0, 1, 0, 2 } }, model.now());
    BOOST_TEST((model.offer("unknown", 1, 1h).error().kind == base::ErrorKind::Forbidden));
    const auto never = model.offer("a", 200, 1s);
    BOOST_TEST((never.error().kind == base::ErrorKind::DeadlineUnreachable && !never.error().retryAt));
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(model.offer("a", 20, 1h).has_value());
    const auto full = model.offer("a", 20, 1h);
    BOOST_TEST((full.error().kind == base::ErrorKind::Overloaded && full.error().retryAt > model.now()));
    BOOST_TEST(model.offer("rated", 1, 1h).has_value());
    BOOST_TEST(model.offer("rated", 1, 1h).has_value());
    const auto rated = model.offer("rated", 1, 1h, 1);
    BOOST_TEST((rated.error().kind == base::ErrorKind::Overloaded && rated.error().retryAt >= model.now() + 490ms));
    // The next one is not sent to the same moment.
    BOOST_TEST((model.offer("rated", 1, 1h, 2).error().retryAt >= *rated.error().retryAt + 490ms));
}

// Guards against one team that takes every place of the bounded queue.
BOOST_AUTO_TEST_CASE(FullQueueKeepsPlacesForOtherTeams)
{
    Model model(1, 100, 1000);
    model.admission.setRules({ { "greedy", 0, 1, 0, 0 }, { "other", 0, 1, 0, 0 } }, model.now());
    for (int i = 0; i < 500; ++i)
        (void)model.offer("greedy", 1, 1h);
    BOOST_TEST(model.admission.queuedCount("greedy") == 50U);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(model.offer("other", 1, 1h).has_value());
    BOOST_TEST(model.admission.queuedCount() <= 100U);
}

// Guards against queued requests that a new sheet loses, and against limits
// that do not apply to requests already queued.
BOOST_AUTO_TEST_CASE(RulesChangeUnderLoad)
{
    Model model(8);
    model.admission.setRules({ { "a", 0, 1, 0, 0 }, { "b", 0, 1, 0, 0 } }, model.now());
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(model.offer("a", 10, 1h).has_value());
        BOOST_TEST(model.offer("b", 10, 1h).has_value());
    }
    model.run(500ms);
    model.admission.setRules({ { "a", 0, 1, 2, 0 }, { "c", 0, 1, 0, 0 } }, model.now());
    BOOST_TEST((model.offer("b", 10, 1h).error().kind == base::ErrorKind::Forbidden));
    BOOST_TEST(model.offer("c", 10, 1h).has_value());
    model.run(300ms);
    BOOST_TEST(model.admission.runningCount("a") <= 2U);
    // A removed team that returns continues with its queue.
    model.admission.setRules({ { "a", 2, 5, 0, 0 }, { "b", 0, 1, 1, 0 } }, model.now());
    model.run(60s);
    BOOST_TEST(model.finishedTokens["a"] == 1000U);
    BOOST_TEST(model.finishedTokens["b"] == 1000U);
    BOOST_TEST(model.finishedTokens["c"] == 10U);
    BOOST_TEST(model.admission.queuedCount() + model.admission.runningCount() == 0U);
}
