#include "tests/ServingFleet.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace arbutus;
using base::ErrorKind;
using test::ServingFleet;
using namespace std::chrono_literals;

static const std::string prompt = "badge copy for the Palermo fair";

static void addTwoOfEach(ServingFleet& fleet, const std::string& crashWord = "")
{
    for (const std::string suffix : { "1", "2" }) {
        fleet.addEngine("a" + suffix, 0, 1, crashWord);
        fleet.addEngine("b" + suffix, 2, 3, crashWord);
        fleet.addEngine("c" + suffix, 4, 5, crashWord);
    }
}

// Compares with tests/golden/`name`; ARBUTUS_REWRITE_GOLDEN=1 writes the file instead.
static void checkGolden(const std::string& name, const ServingFleet& fleet, const std::vector<base::Event>& events)
{
    std::ostringstream text;
    for (const auto& line : fleet.trace)
        text << line << "\n";
    text << "time line\n";
    for (const auto& event : events) {
        text << base::toString(event.time) << " " << event.kind;
        for (const auto& [field, value] : event.fields)
            text << " " << field << "=" << value;
        text << "\n";
    }
    std::string path = std::string(ARBUTUS_SOURCE_DIR) + "/tests/golden/" + name;
    if (const char* rewrite = std::getenv("ARBUTUS_REWRITE_GOLDEN"); rewrite && *rewrite == '1')
        std::ofstream(path, std::ios::binary) << text.str();
    std::ifstream file(path, std::ios::binary);
    std::ostringstream golden;
    golden << file.rdbuf();
    BOOST_TEST(text.str() == golden.str(), name << " differs from the session that just ran");
}

// Guards against any change of a whole session that nobody meant: request,
// stage calls, answer and time line of an undisturbed stream.
BOOST_AUTO_TEST_CASE(GoldenStreamOverThreeLayerRanges)
{
    ServingFleet fleet;
    addTwoOfEach(fleet);
    auto& answer = fleet.submit("r1", prompt, 6);
    fleet.run(2s, [&] { return fleet.isIdle(); });
    BOOST_TEST(answer.text == fleet.expected(prompt, 6));
    checkGolden("serving-stream.txt", fleet, fleet.timeline().events());
}

// The same for a stage that dies in the middle.
BOOST_AUTO_TEST_CASE(GoldenStreamWithDeathOfAStage)
{
    ServingFleet fleet;
    addTwoOfEach(fleet);
    auto& answer = fleet.submit("r1", prompt, 8);
    std::string dead;
    fleet.run(2s, [&] { return std::count(answer.text.begin(), answer.text.end(), ' ') == 4; });
    dead = fleet.engine("b1").runningCount() ? "b1" : "b2";
    fleet.killEngine(dead);
    fleet.run(2s, [&] { return fleet.isIdle(); });
    BOOST_TEST(answer.text == fleet.expected(prompt, 8));
    checkGolden("serving-death.txt", fleet, fleet.timeline().events());
}

// Guards against a gap, a repeat or a foreign token, and against a recovery that
// takes longer than the stated second: each stage dies at each of ten positions,
// with twenty streams running.
BOOST_AUTO_TEST_CASE(EveryStreamSurvivesTheDeathOfAnyStage)
{
    for (const std::string stage : { "a1", "b2", "c1" }) {
        for (std::size_t position = 0; position < 10; ++position) {
            ServingFleet fleet;
            addTwoOfEach(fleet);
            std::vector<std::pair<std::string, test::ReceivedAnswer*>> answers;
            for (int i = 0; i < 20; ++i) {
                std::string own = fmt::format("{} {}", prompt, i);
                answers.emplace_back(own, &fleet.submit(fmt::format("r{}", i), own, 16));
            }
            fleet.run(2s, [&] { return fleet.service().counters().tokens >= 20 * position; });
            fleet.killEngine(stage);
            fleet.run(10s, [&] { return fleet.isIdle(); });
            for (const auto& [own, answer] : answers) {
                BOOST_TEST(answer->didFinish);
                BOOST_TEST(answer->ends == 1);
                BOOST_TEST(answer->text == fleet.expected(own, 16));
                BOOST_TEST((answer->longestGap < 1s));
            }
        }
    }
}

// Guards against a second death during the recovery from the first.
BOOST_AUTO_TEST_CASE(SecondDeathDuringRecovery)
{
    ServingFleet fleet;
    addTwoOfEach(fleet);
    fleet.addEngine("a3", 0, 1);
    fleet.addEngine("b3", 2, 3);
    std::vector<test::ReceivedAnswer*> answers;
    answers.reserve(12);
    for (int i = 0; i < 12; ++i)
        answers.push_back(&fleet.submit(fmt::format("r{}", i), fmt::format("{} {}", prompt, i), 20));
    fleet.run(30ms);
    fleet.killEngine("a1");
    fleet.run(5ms);
    fleet.killEngine("b2");
    fleet.run(20s, [&] { return fleet.isIdle(); });
    for (int i = 0; i < 12; ++i)
        BOOST_TEST(answers[static_cast<std::size_t>(i)]->text == fleet.expected(fmt::format("{} {}", prompt, i), 20));
}

// Guards against a stalled stage that holds its streams for ever, and against
// its late results, which come after the resume, repeated and out of order.
BOOST_AUTO_TEST_CASE(StalledStageIsLeftAndItsLateResultsAreDropped)
{
    ServingFleet fleet;
    addTwoOfEach(fleet);
    auto& answer = fleet.submit("r1", prompt, 40);
    fleet.run(40ms);
    std::string slow = fleet.engine("b1").runningCount() ? "b1" : "b2";
    fleet.holdResults(slow);
    fleet.run(3s, [&] { return fleet.service().counters().resumes > 0; });
    BOOST_TEST(fleet.service().counters().resumes == 1U);
    fleet.release(slow);
    fleet.run(5s, [&] { return fleet.isIdle(); });
    BOOST_TEST(answer.text == fleet.expected(prompt, 40));
    BOOST_TEST(fleet.service().counters().droppedResults >= 2U);
}

// Guards against work for an engine that is leaving, and against a cut of what it runs.
BOOST_AUTO_TEST_CASE(LeavingEngineGetsNoNewStreamsAndFinishesItsOwn)
{
    ServingFleet fleet;
    addTwoOfEach(fleet);
    auto& running = fleet.submit("r1", prompt, 60);
    fleet.run(30ms);
    std::string leaving = fleet.engine("a1").runningCount() ? "a1" : "a2";
    fleet.setLeaving(leaving);
    auto before = fleet.engine(leaving).newStreamCount();
    for (int i = 0; i < 10; ++i)
        fleet.submit(fmt::format("n{}", i), prompt, 4);
    fleet.run(5s, [&] { return fleet.isIdle(); });
    BOOST_TEST(fleet.engine(leaving).newStreamCount() == before);
    BOOST_TEST(running.text == fleet.expected(prompt, 60));
    BOOST_TEST(fleet.service().counters().resumes == 0U);
}

// Guards against new work for a leaving engine after a change of the
// configuration, which once made every engine with a link usable again.
BOOST_AUTO_TEST_CASE(LeavingEngineStaysOutAfterAChangeOfTheConfiguration)
{
    ServingFleet fleet;
    addTwoOfEach(fleet);
    fleet.setLeaving("a1");
    fleet.touchConfiguration();
    for (int i = 0; i < 10; ++i)
        fleet.submit(fmt::format("n{}", i), prompt, 4);
    fleet.run(5s, [&] { return fleet.isIdle(); });
    BOOST_TEST(fleet.engine("a1").newStreamCount() == 0U);
    BOOST_TEST(fleet.service().counters().finished == 10U);
}

// Guards against a token from an engine that was not given the stage.
BOOST_AUTO_TEST_CASE(ResultOfAnotherEngineIsDropped)
{
    ServingFleet fleet;
    fleet.addEngine("a1", 0, 1);
    fleet.addEngine("b1", 2, 3);
    fleet.addEngine("c1", 4, 5);
    auto& answer = fleet.submit("r1", prompt, 4);
    fleet.addEngine("a2", 0, 1);
    streams::StageResult forged;
    forged.name = { "r1", 1, 0, 0, 0, 1 };
    forged.activation = fakes::encodeActivations({ 1, 2, 3 });
    fleet.injectResult("a2", forged);
    fleet.run(5s, [&] { return fleet.isIdle(); });
    BOOST_TEST(answer.text == fleet.expected(prompt, 4));
    BOOST_TEST(fleet.service().counters().droppedResults == 1U);
}

// Guards against "not run" for a request that was sent to an engine, and
// against an answer without an end: no engine is left.
BOOST_AUTO_TEST_CASE(RefusalsStateTruthfullyWhetherTheRequestRan)
{
    ServingFleet fleet;
    addTwoOfEach(fleet);
    auto& ran = fleet.submit("r1", prompt, 150, "fiere", 2s);
    fleet.run(30ms);
    BOOST_REQUIRE(!ran.text.empty());
    fleet.killEngine("b1");
    fleet.killEngine("b2");
    auto& fresh = fleet.submit("r2", prompt, 4, "fiere", 2s);
    fleet.run(3s, [&] { return fleet.isIdle(); });
    BOOST_REQUIRE(ran.error);
    BOOST_TEST(base::notRunText(base::errorRule(ran.error->kind).executionStatus) != "true");
    BOOST_REQUIRE(fresh.error);
    BOOST_TEST((fresh.error->kind == ErrorKind::NoUpstream));
    auto& foreign = fleet.submit("r3", prompt, 4, "unknown-team");
    BOOST_TEST((foreign.error->kind == ErrorKind::UnknownModel));
    BOOST_TEST(ran.ends == 1);
    BOOST_TEST(fresh.ends == 1);
    BOOST_TEST(foreign.ends == 1);
}

// Guards against engines that compute for a caller who went away.
BOOST_AUTO_TEST_CASE(CallerThatLeavesFreesItsEngines)
{
    ServingFleet fleet;
    addTwoOfEach(fleet);
    fleet.submit("r1", prompt, 500);
    fleet.run(50ms);
    fleet.callerLeaves("r1");
    fleet.run(50ms);
    BOOST_TEST(fleet.isIdle());
    for (const std::string id : { "a1", "a2", "b1", "b2", "c1", "c2" })
        BOOST_TEST(fleet.engine(id).memoryBytes() == 0U);
}

// Guards against a request that takes engine after engine with it: it stops
// after at most three deaths, the innocent ones finish, and its resend is refused.
BOOST_AUTO_TEST_CASE(RequestThatCrashesEnginesIsFound)
{
    for (int innocents : { 0, 8, 32 }) {
        ServingFleet fleet;
        for (int i = 1; i <= 5; ++i) {
            fleet.addEngine(fmt::format("a{}", i), 0, 1, "poison");
            fleet.addEngine(fmt::format("b{}", i), 2, 3);
            fleet.addEngine(fmt::format("c{}", i), 4, 5);
        }
        std::vector<test::ReceivedAnswer*> answers;
        answers.reserve(static_cast<std::size_t>(innocents));
        for (int i = 0; i < innocents; ++i)
            answers.push_back(&fleet.submit(fmt::format("r{}", i), fmt::format("{} {}", prompt, i), 60));
        fleet.run(20ms);
        auto& guilty = fleet.submit("p1", "poison", 8);
        fleet.run(30s, [&] { return fleet.isIdle(); });
        BOOST_REQUIRE(guilty.error);
        BOOST_TEST((guilty.error->kind == ErrorKind::CrashSuspect));
        BOOST_TEST(fleet.service().counters().engineDeaths <= 3U);
        for (int i = 0; i < innocents; ++i) {
            BOOST_TEST(answers[static_cast<std::size_t>(i)]->text == fleet.expected(fmt::format("{} {}", prompt, i), 60));
            BOOST_TEST((answers[static_cast<std::size_t>(i)]->longestGap < 1s));
        }
        auto deaths = fleet.service().counters().engineDeaths;
        auto& resend = fleet.submit("p2", "poison", 8);
        fleet.run(5s, [&] { return fleet.isIdle(); });
        BOOST_TEST((resend.error && resend.error->kind == ErrorKind::CrashSuspect));
        BOOST_TEST(fleet.service().counters().engineDeaths == deaths);
    }
}

// Guards against a request that is blamed for the death of an engine which was
// not running it: its step was at another stage of the pipeline.
BOOST_AUTO_TEST_CASE(StreamAtAnotherStageIsNotASuspect)
{
    ServingFleet fleet;
    addTwoOfEach(fleet);
    auto& answer = fleet.submit("r1", prompt, 40);
    fleet.run(1ms);
    auto events = fleet.timeline().events("request", "r1");
    std::string engines = events.back().fields.at("engines");
    std::string last = engines.substr(engines.rfind(' ') + 1);
    fleet.killEngine(last);
    BOOST_TEST(fleet.crashes.empty());
    fleet.run(1ms);
    fleet.killEngine(fleet.engine("a1").runningCount() ? "a1" : "a2");
    BOOST_TEST(fleet.crashes.size() == 1U);
    fleet.run(5s, [&] { return fleet.isIdle(); });
    BOOST_TEST(answer.text == fleet.expected(prompt, 40));
}

// Guards against deaths that add up in the replicated state although the request
// has run well since: it would be blamed for engines that fail by themselves.
BOOST_AUTO_TEST_CASE(DeathsAreWithdrawnOnceTheRequestRunsWell)
{
    ServingFleet fleet;
    addTwoOfEach(fleet);
    auto& answer = fleet.submit("r1", prompt, 60);
    fleet.run(1ms);
    fleet.killEngine(fleet.engine("a1").runningCount() ? "a1" : "a2");
    BOOST_REQUIRE(fleet.crashes.size() == 1U);
    BOOST_TEST(fleet.clearedCrashes.empty());
    fleet.run(5s, [&] { return fleet.isIdle(); });
    BOOST_TEST(answer.text == fleet.expected(prompt, 60));
    BOOST_TEST(fleet.clearedCrashes == fleet.crashes, boost::test_tools::per_element());
}

// Guards against a large team that takes every place: the small one's requests
// come late and are still answered soon.
BOOST_AUTO_TEST_CASE(SmallTeamIsNotStarvedByALargeOne)
{
    ServingFleet fleet(8);
    addTwoOfEach(fleet);
    for (int i = 0; i < 150; ++i)
        fleet.submit(fmt::format("large{}", i), prompt, 30, "fiere");
    fleet.run(100ms);
    auto& small = fleet.submit("small", prompt, 4, "listini");
    auto submitted = fleet.now();
    fleet.run(60s, [&] { return small.didFinish; });
    BOOST_TEST(small.didFinish);
    BOOST_TEST((fleet.now() - submitted < 2s));
}
