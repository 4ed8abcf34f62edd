#include "include/routing/CrashGuard.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using routing::CrashGuard;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const base::TimePoint start { std::chrono::hours(1) };

static routing::PromptParts parts(const std::vector<std::string>& names) { return routing::identifyParts(names); }

static routing::PromptPart wholeRequest(const std::string& body) { return routing::identifyRequest({ "POST", "desk", "/a", "team", body }); }

static CrashGuard::Suspicion suspicion(std::size_t crashes, milliseconds age = {})
{
    CrashGuard::Suspicion result;
    for (std::uint64_t crash = 0; crash < crashes; ++crash)
        result.origins.push_back({ crash, 0 });
    result.age = age;
    return result;
}

static bool mayRun(const CrashGuard& guard, const std::vector<std::string>& names, base::TimePoint now) { return !guard.holdTime(parts(names), now); }

BOOST_AUTO_TEST_CASE(PartThatAppearsInAnyRequestIsHeldBack)
{
    CrashGuard guard(1);
    guard.upstreamCrashed(parts({ "deadly" }), 7, start);
    BOOST_TEST(!mayRun(guard, { "deadly" }, start));
    BOOST_TEST(!mayRun(guard, { "other", "deadly" }, start));
    BOOST_TEST(mayRun(guard, { "other" }, start));
}

BOOST_AUTO_TEST_CASE(SoundRequestsWithTheOtherPartsAreServed)
{
    CrashGuard guard(1);
    guard.answerBegan(parts({ "common" }), start - seconds(30));
    guard.upstreamCrashed(parts({ "common", "deadly" }), 7, start);
    BOOST_TEST(mayRun(guard, { "common" }, start));
    BOOST_TEST(!mayRun(guard, { "common", "deadly" }, start));
}

BOOST_AUTO_TEST_CASE(PartThatIsSoundInAnotherPositionIsHeldBackInItsOwn)
{
    CrashGuard guard(1);
    auto now = start;
    for (std::uint64_t crash = 0; crash < 3; ++crash) {
        guard.upstreamCrashed(parts({ "common", "deadly" }), crash, now);
        guard.answerBegan(parts({ "deadly" }), now);
        guard.answerBegan(parts({ "common" }), now);
        now += seconds(1);
    }
    BOOST_TEST(mayRun(guard, { "deadly" }, now));
    BOOST_TEST(!mayRun(guard, { "common", "deadly" }, now));
}

// Guards against refusing a popular part because one connection was lost.
BOOST_AUTO_TEST_CASE(RecentAnswerRefutesCrash)
{
    CrashGuard guard(1);
    guard.answerBegan(parts({ "common" }), start);
    guard.upstreamCrashed(parts({ "common" }), 7, start + seconds(1));
    BOOST_TEST(mayRun(guard, { "common" }, start + seconds(1)));
    BOOST_TEST(guard.takeObservations().empty());
    guard.setSuspicion(parts({ "common" }).front(), suspicion(1, milliseconds(200)), start + seconds(2));
    BOOST_TEST(mayRun(guard, { "common" }, start + seconds(2)));
    BOOST_TEST(guard.takeObservations().size() == 1U);
}

// Returns whether a trial was due by `end`, and lets it crash an upstream.
static bool crashOnTrial(CrashGuard& guard, std::uint64_t crash, base::TimePoint& now, base::TimePoint end)
{
    for (; now < end; now += milliseconds(50)) {
        if (!mayRun(guard, { "deadly" }, now))
            continue;
        BOOST_TEST(guard.attemptStarted(parts({ "deadly" }), now));
        BOOST_TEST(!mayRun(guard, { "deadly" }, now));
        guard.attemptEnded(parts({ "deadly" }));
        guard.upstreamCrashed(parts({ "deadly" }), crash, now);
        for (auto part : parts({ "deadly" }))
            guard.setSuspicion(part, suspicion(crash + 1), now);
        return true;
    }
    return false;
}

// Guards against more requests at upstreams after the fifth crash than three.
BOOST_AUTO_TEST_CASE(DeadlyPartIsTriedMoreAndMoreRarely)
{
    CrashGuard guard(1);
    auto now = start;
    guard.upstreamCrashed(parts({ "deadly" }), 0, now);
    BOOST_TEST(!crashOnTrial(guard, 1, now, start + seconds(59)));
    BOOST_TEST(crashOnTrial(guard, 1, now, start + seconds(66)));
    BOOST_TEST(!crashOnTrial(guard, 2, now, start + std::chrono::minutes(15)));
    BOOST_TEST(crashOnTrial(guard, 2, now, start + std::chrono::minutes(18)));
    BOOST_TEST(!crashOnTrial(guard, 3, now, start + std::chrono::hours(2)));
    BOOST_TEST(crashOnTrial(guard, 3, now, start + std::chrono::hours(3)));
    BOOST_TEST(!mayRun(guard, { "deadly" }, start + std::chrono::hours(24)));
    guard.tick(start + std::chrono::hours(30));
    BOOST_TEST(guard.heldPartCount() == 0U);
}

// Guards against refusing all callers of a first part that a deadly request had as well.
BOOST_AUTO_TEST_CASE(SoundPartBesideTheDeadlyOneIsClearedSoon)
{
    CrashGuard guard(1);
    for (std::uint64_t crash = 0; crash < 2; ++crash) {
        guard.upstreamCrashed(parts({ "common", "deadly" }), crash, start);
        for (auto part : parts({ "common", "deadly" }))
            guard.setSuspicion(part, suspicion(crash + 1), start);
    }
    BOOST_TEST(!mayRun(guard, { "common", "other" }, start + seconds(2)));
    auto now = start + seconds(5);
    BOOST_TEST(!mayRun(guard, { "common", "deadly" }, now));
    BOOST_TEST(mayRun(guard, { "common", "other" }, now));
    BOOST_TEST(guard.attemptStarted(parts({ "common", "other" }), now));
    BOOST_TEST(!mayRun(guard, { "common" }, now));
    guard.answerBegan(parts({ "common", "other" }), now);
    BOOST_TEST(mayRun(guard, { "common" }, now));
    BOOST_TEST(!mayRun(guard, { "other", "deadly" }, start + std::chrono::minutes(14)));
}

BOOST_AUTO_TEST_CASE(OnlyThePartsOfOneRequestAreToldApart)
{
    CrashGuard guard(1);
    for (const auto* name : { "first", "second" }) {
        auto request = parts({ name });
        request.push_back(wholeRequest(name));
        guard.upstreamCrashed(request, 7, start);
    }
    BOOST_TEST(!mayRun(guard, { "first" }, start + seconds(59)));
    BOOST_TEST(!mayRun(guard, { "second" }, start + seconds(59)));
}

// Guards against sound callers that stay away for long because of a suspicion of a second.
BOOST_AUTO_TEST_CASE(CallersAreToldToAskAgainSoonWhileThePartMayBeCleared)
{
    CrashGuard guard(1);
    guard.upstreamCrashed(parts({ "sound" }), 7, start);
    auto early = guard.holdTime(parts({ "sound" }), start + milliseconds(500));
    BOOST_REQUIRE(early.has_value());
    BOOST_TEST(early->count() <= 2000);
    auto late = guard.holdTime(parts({ "sound" }), start + seconds(3));
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST(late->count() >= 50000);
}

// Returns how many VMs try a part before the outcome of the first trial is known to all.
static int countOverlappingTrials(std::uint32_t entryVms, std::uint64_t seed)
{
    constexpr milliseconds outcomeDelay(500);
    constexpr milliseconds step(10);
    base::Random random(seed);
    std::vector<CrashGuard> guards;
    for (std::uint32_t i = 0; i < entryVms; ++i) {
        guards.emplace_back(seed * entryVms + i);
        guards.back().setEntryVmCount(entryVms);
        for (auto part : parts({ "deadly" }))
            guards.back().setSuspicion(part, suspicion(1), start);
    }
    int trials = 0;
    std::optional<base::TimePoint> outcomeAt;
    for (auto now = start; !outcomeAt || now < *outcomeAt; now += step) {
        // Each VM gets such a request every 3 s.
        for (auto& guard : guards) {
            if (random.unit() >= std::chrono::duration<double>(step).count() / 3 || !mayRun(guard, { "deadly" }, now))
                continue;
            guard.attemptStarted(parts({ "deadly" }), now);
            ++trials;
            outcomeAt = outcomeAt.value_or(now + outcomeDelay);
        }
    }
    return trials;
}

// Guards against VMs that all try a part at the same time, each of which crashes an upstream.
BOOST_AUTO_TEST_CASE(TrialsOfManyVmsRarelyOverlap)
{
    constexpr int seeds = 20;
    // The rule allows three requests beyond the crash that is already counted.
    constexpr int mostTrials = 4;
    for (std::uint32_t entryVms : { 9U, 61U, 300U }) {
        int total = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            int trials = countOverlappingTrials(entryVms, seed);
            BOOST_TEST(trials <= mostTrials);
            total += trials;
        }
        BOOST_TEST(total <= 2 * seeds);
    }
}

BOOST_AUTO_TEST_CASE(AnsweredTrialClearsThePartForAllVms)
{
    CrashGuard guard(1);
    guard.upstreamCrashed(parts({ "sound" }), 7, start);
    guard.takeObservations();
    auto now = start + seconds(66);
    BOOST_TEST(guard.attemptStarted(parts({ "sound" }), now));
    guard.answerBegan(parts({ "sound" }), now);
    BOOST_TEST(mayRun(guard, { "sound" }, now));
    auto observations = guard.takeObservations();
    BOOST_REQUIRE(observations.size() == 2U);
    BOOST_TEST(std::holds_alternative<CrashGuard::PartAnswered>(observations.front()));
}

// Guards against a request that crashes upstreams although its prompt has no such part.
BOOST_AUTO_TEST_CASE(WholeRequestIsHeldBackAfterTwoCrashes)
{
    CrashGuard guard(1);
    auto request = parts({ "common" });
    request.push_back(wholeRequest("deadly"));
    auto other = parts({ "common" });
    other.push_back(wholeRequest("sound"));
    guard.answerBegan(other, start);
    guard.upstreamCrashed(request, 0, start);
    BOOST_TEST(!guard.holdTime(request, start).has_value());
    BOOST_TEST(!guard.attemptStarted(request, start));
    guard.setSuspicion(request.back(), suspicion(2), start);
    BOOST_TEST(guard.holdTime(request, start).has_value());
    BOOST_TEST(!guard.holdTime(other, start).has_value());
    guard.setSuspicion(request.back(), suspicion(3), start);
    BOOST_TEST(guard.holdTime(request, start + std::chrono::minutes(14)).has_value());
}

BOOST_AUTO_TEST_CASE(SecondCrashCountsBeforeOtherVmsKnowOfIt)
{
    CrashGuard guard(1);
    guard.upstreamCrashed({ wholeRequest("deadly") }, 1, start);
    guard.upstreamCrashed({ wholeRequest("deadly") }, 1, start);
    BOOST_TEST(!guard.holdTime({ wholeRequest("deadly") }, start).has_value());
    guard.upstreamCrashed({ wholeRequest("deadly") }, 2, start);
    BOOST_TEST(guard.holdTime({ wholeRequest("deadly") }, start).has_value());
}

// Guards against refusing a popular call that is in flight whenever an upstream ends.
BOOST_AUTO_TEST_CASE(RequestThatWasAnsweredAMomentAgoIsNotSuspected)
{
    CrashGuard guard(1);
    for (std::uint64_t crash = 0; crash < 4; ++crash) {
        auto now = start + crash * seconds(1);
        guard.answerBegan({ wholeRequest("popular") }, now);
        guard.tick(now);
        guard.upstreamCrashed({ wholeRequest("popular") }, crash, now + milliseconds(500));
        BOOST_TEST(!guard.holdTime({ wholeRequest("popular") }, now + milliseconds(500)).has_value());
        // Otherwise the crashes that several VMs report would add up.
        for (const auto& observation : guard.takeObservations())
            BOOST_TEST(!std::holds_alternative<CrashGuard::PartCrashed>(observation));
    }
}

// Guards against holding back for long what was merely there when upstreams ended.
BOOST_AUTO_TEST_CASE(RequestsOfTheSameCrashesAreToldApartSoon)
{
    CrashGuard guard(1);
    const routing::PromptParts deadly { wholeRequest("deadly") };
    const routing::PromptParts sound { wholeRequest("sound") };
    for (std::uint64_t crash = 1; crash <= 2; ++crash) {
        guard.upstreamCrashed(deadly, crash, start);
        guard.upstreamCrashed(sound, crash, start);
    }
    BOOST_TEST(guard.holdTime(sound, start + seconds(2)).has_value());
    auto now = start + seconds(5);
    BOOST_TEST(!guard.holdTime(sound, now).has_value());
    BOOST_TEST(guard.attemptStarted(sound, now));
    guard.answerBegan(sound, now);
    BOOST_TEST(!guard.holdTime(sound, now).has_value());
    BOOST_TEST(guard.holdTime(deadly, now).has_value());
    BOOST_TEST(guard.holdTime(deadly, start + seconds(59)).has_value());
}

BOOST_AUTO_TEST_CASE(RequestWhoseCrashesAnotherExplainsIsServed)
{
    CrashGuard guard(1);
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        guard.upstreamCrashed({ wholeRequest("deadly") }, crash, start);
        if (crash <= 2)
            guard.upstreamCrashed({ wholeRequest("sound") }, crash, start);
    }
    BOOST_TEST(!guard.holdTime({ wholeRequest("sound") }, start).has_value());
    BOOST_TEST(guard.holdTime({ wholeRequest("deadly") }, start + std::chrono::minutes(14)).has_value());
}

BOOST_AUTO_TEST_CASE(SingleCrashesOfOthersDoNotPushOutARequestThatIsHeldBack)
{
    CrashGuard guard(1);
    guard.setSuspicion(wholeRequest("deadly"), suspicion(2), start);
    constexpr std::uint64_t others = 2000;
    for (std::uint64_t crash = 10; crash < 10 + others; ++crash)
        guard.upstreamCrashed({ wholeRequest(std::to_string(crash)) }, crash, start + milliseconds(crash));
    BOOST_TEST(guard.holdTime({ wholeRequest("deadly") }, start + seconds(5)).has_value());
}

BOOST_AUTO_TEST_CASE(SuspectedPartsDoNotFillTheMemory)
{
    CrashGuard guard(1);
    constexpr std::size_t bound = 512;
    for (std::uint64_t crash = 0; crash < 2 * bound; ++crash)
        guard.upstreamCrashed(parts({ std::to_string(crash) }), crash, start + milliseconds(crash));
    BOOST_TEST(guard.heldPartCount() == bound);
    BOOST_TEST(!mayRun(guard, { std::to_string(2 * bound - 1) }, start + milliseconds(2 * bound)));
}
