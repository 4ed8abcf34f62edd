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

static void addTwoEnginesPerStage(ServingFleet& fleet, const std::string& crashWord = "")
{
    for (const std::string suffix : { "1", "2" }) {
        fleet.addEngine("a" + suffix, 0, 1, crashWord);
        fleet.addEngine("b" + suffix, 2, 3, crashWord);
        fleet.addEngine("c" + suffix, 4, 5, crashWord);
    }
}

// Compares the trace and the timeline with tests/golden/`name`.
// ARBUTUS_REWRITE_GOLDEN=1 rewrites the file first.
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
    BOOST_TEST(text.str() == golden.str(), name << " differs from the trace of this run");
}

// Guards against unintended changes of the request, steps, response and timeline of
// an undisturbed stream.
BOOST_AUTO_TEST_CASE(MatchesGoldenTraceOfUndisturbedStream)
{
    ServingFleet fleet;
    addTwoEnginesPerStage(fleet);
    auto& response = fleet.submit("r1", prompt, 6);
    fleet.run(2s, [&] { return fleet.isIdle(); });
    BOOST_TEST(response.text == fleet.expected(prompt, 6));
    checkGolden("serving-stream.txt", fleet, fleet.timeline().events());
}

// Guards against unintended changes of the same trace when an engine crashes mid-stream.
BOOST_AUTO_TEST_CASE(MatchesGoldenTraceOfEngineCrash)
{
    ServingFleet fleet;
    addTwoEnginesPerStage(fleet);
    auto& response = fleet.submit("r1", prompt, 8);
    std::string crashedEngine;
    fleet.run(2s, [&] { return std::count(response.text.begin(), response.text.end(), ' ') == 4; });
    crashedEngine = fleet.engine("b1").runningCount() ? "b1" : "b2";
    fleet.crashEngine(crashedEngine);
    fleet.run(2s, [&] { return fleet.isIdle(); });
    BOOST_TEST(response.text == fleet.expected(prompt, 8));
    checkGolden("serving-death.txt", fleet, fleet.timeline().events());
}

// Guards against missing, repeated or foreign tokens, and against a recovery of more
// than one second. One engine of each stage crashes at each of ten positions while
// twenty streams run.
BOOST_AUTO_TEST_CASE(ResumesEveryStreamAfterCrashOfAnyStage)
{
    for (const std::string stage : { "a1", "b2", "c1" }) {
        for (std::size_t position = 0; position < 10; ++position) {
            ServingFleet fleet;
            addTwoEnginesPerStage(fleet);
            std::vector<std::pair<std::string, test::ReceivedResponse*>> responses;
            for (int i = 0; i < 20; ++i) {
                std::string uniquePrompt = fmt::format("{} {}", prompt, i);
                responses.emplace_back(uniquePrompt, &fleet.submit(fmt::format("r{}", i), uniquePrompt, 16));
            }
            fleet.run(2s, [&] { return fleet.service().counters().tokens >= 20 * position; });
            fleet.crashEngine(stage);
            fleet.run(10s, [&] { return fleet.isIdle(); });
            for (const auto& [uniquePrompt, response] : responses) {
                BOOST_TEST(response->didFinish);
                BOOST_TEST(response->endCount == 1);
                BOOST_TEST(response->text == fleet.expected(uniquePrompt, 16));
                BOOST_TEST((response->longestGap < 1s));
            }
        }
    }
}

// Guards against streams that are lost or corrupted when a second engine crashes
// during the recovery from the first crash.
BOOST_AUTO_TEST_CASE(ResumesAfterSecondCrashDuringRecovery)
{
    ServingFleet fleet;
    addTwoEnginesPerStage(fleet);
    fleet.addEngine("a3", 0, 1);
    fleet.addEngine("b3", 2, 3);
    std::vector<test::ReceivedResponse*> responses;
    responses.reserve(12);
    for (int i = 0; i < 12; ++i)
        responses.push_back(&fleet.submit(fmt::format("r{}", i), fmt::format("{} {}", prompt, i), 20));
    fleet.run(30ms);
    fleet.crashEngine("a1");
    fleet.run(5ms);
    fleet.crashEngine("b2");
    fleet.run(20s, [&] { return fleet.isIdle(); });
    for (int i = 0; i < 12; ++i)
        BOOST_TEST(responses[static_cast<std::size_t>(i)]->text == fleet.expected(fmt::format("{} {}", prompt, i), 20));
}

// Guards against streams that wait forever on a stalled stage, and against tokens from
// its late results, which arrive after the resume, repeated and out of order.
BOOST_AUTO_TEST_CASE(ReplacesStalledStageAndDropsItsLateResults)
{
    ServingFleet fleet;
    addTwoEnginesPerStage(fleet);
    auto& response = fleet.submit("r1", prompt, 40);
    fleet.run(40ms);
    std::string stalledEngine = fleet.engine("b1").runningCount() ? "b1" : "b2";
    fleet.holdResults(stalledEngine);
    fleet.run(3s, [&] { return fleet.service().counters().resumes > 0; });
    BOOST_TEST(fleet.service().counters().resumes == 1U);
    fleet.releaseResults(stalledEngine);
    fleet.run(5s, [&] { return fleet.isIdle(); });
    BOOST_TEST(response.text == fleet.expected(prompt, 40));
    BOOST_TEST(fleet.service().counters().droppedResults >= 2U);
}

// Guards against new streams on a leaving engine, and against interrupting the streams
// that it runs.
BOOST_AUTO_TEST_CASE(LeavingEngineReceivesNoNewStreamsAndFinishesRunningOnes)
{
    ServingFleet fleet;
    addTwoEnginesPerStage(fleet);
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

// Guards against new streams on a leaving engine after a configuration change, which
// once made every engine with a link usable again.
BOOST_AUTO_TEST_CASE(LeavingEngineStaysExcludedAfterConfigurationChange)
{
    ServingFleet fleet;
    addTwoEnginesPerStage(fleet);
    fleet.setLeaving("a1");
    fleet.republishConfiguration();
    for (int i = 0; i < 10; ++i)
        fleet.submit(fmt::format("n{}", i), prompt, 4);
    fleet.run(5s, [&] { return fleet.isIdle(); });
    BOOST_TEST(fleet.engine("a1").newStreamCount() == 0U);
    BOOST_TEST(fleet.service().counters().finished == 10U);
}

// Guards against accepting a result from an engine that is not assigned to the stage.
BOOST_AUTO_TEST_CASE(DropsResultFromUnassignedEngine)
{
    ServingFleet fleet;
    fleet.addEngine("a1", 0, 1);
    fleet.addEngine("b1", 2, 3);
    fleet.addEngine("c1", 4, 5);
    auto& response = fleet.submit("r1", prompt, 4);
    fleet.addEngine("a2", 0, 1);
    streams::StageResult forged;
    forged.id = { "r1", 1, 0, 0, 0, 1 };
    forged.activation = fakes::encodeActivations({ 1, 2, 3 });
    fleet.injectResult("a2", forged);
    fleet.run(5s, [&] { return fleet.isIdle(); });
    BOOST_TEST(response.text == fleet.expected(prompt, 4));
    BOOST_TEST(fleet.service().counters().droppedResults == 1U);
}

// Guards against reporting a request as not run although it was sent to an engine, and
// against responses that never end, when no engine of a stage is left.
BOOST_AUTO_TEST_CASE(ErrorsStateWhetherRequestRan)
{
    ServingFleet fleet;
    addTwoEnginesPerStage(fleet);
    auto& ran = fleet.submit("r1", prompt, 150, "fiere", 2s);
    fleet.run(30ms);
    BOOST_REQUIRE(!ran.text.empty());
    fleet.crashEngine("b1");
    fleet.crashEngine("b2");
    auto& fresh = fleet.submit("r2", prompt, 4, "fiere", 2s);
    fleet.run(3s, [&] { return fleet.isIdle(); });
    BOOST_REQUIRE(ran.error);
    BOOST_TEST(base::notRunText(base::errorRule(ran.error->kind).executionStatus) != "true");
    BOOST_REQUIRE(fresh.error);
    BOOST_TEST((fresh.error->kind == ErrorKind::NoUpstream));
    auto& foreignTeam = fleet.submit("r3", prompt, 4, "unknown-team");
    BOOST_TEST((foreignTeam.error->kind == ErrorKind::UnknownModel));
    BOOST_TEST(ran.endCount == 1);
    BOOST_TEST(fresh.endCount == 1);
    BOOST_TEST(foreignTeam.endCount == 1);
}

// Guards against engines that keep working for a disconnected caller.
BOOST_AUTO_TEST_CASE(CallerDisconnectReleasesEngineMemory)
{
    ServingFleet fleet;
    addTwoEnginesPerStage(fleet);
    fleet.submit("r1", prompt, 500);
    fleet.run(50ms);
    fleet.disconnectCaller("r1");
    fleet.run(50ms);
    BOOST_TEST(fleet.isIdle());
    for (const std::string id : { "a1", "a2", "b1", "b2", "c1", "c2" })
        BOOST_TEST(fleet.engine(id).memoryBytes() == 0U);
}

// Guards against a request that crashes one engine after another. It must be blamed
// after at most three crashes, all other requests must finish, and its resend must be
// refused.
BOOST_AUTO_TEST_CASE(BlamesRequestThatCrashesEngines)
{
    for (int otherCount : { 0, 8, 32 }) {
        ServingFleet fleet;
        for (int i = 1; i <= 5; ++i) {
            fleet.addEngine(fmt::format("a{}", i), 0, 1, "poison");
            fleet.addEngine(fmt::format("b{}", i), 2, 3);
            fleet.addEngine(fmt::format("c{}", i), 4, 5);
        }
        std::vector<test::ReceivedResponse*> responses;
        responses.reserve(static_cast<std::size_t>(otherCount));
        for (int i = 0; i < otherCount; ++i)
            responses.push_back(&fleet.submit(fmt::format("r{}", i), fmt::format("{} {}", prompt, i), 60));
        fleet.run(20ms);
        auto& crashingRequest = fleet.submit("p1", "poison", 8);
        fleet.run(30s, [&] { return fleet.isIdle(); });
        BOOST_REQUIRE(crashingRequest.error);
        BOOST_TEST((crashingRequest.error->kind == ErrorKind::CrashSuspect));
        BOOST_TEST(fleet.service().counters().engineCrashes <= 3U);
        for (int i = 0; i < otherCount; ++i) {
            BOOST_TEST(responses[static_cast<std::size_t>(i)]->text == fleet.expected(fmt::format("{} {}", prompt, i), 60));
            BOOST_TEST((responses[static_cast<std::size_t>(i)]->longestGap < 1s));
        }
        auto crashes = fleet.service().counters().engineCrashes;
        auto& resend = fleet.submit("p2", "poison", 8);
        fleet.run(5s, [&] { return fleet.isIdle(); });
        BOOST_TEST((resend.error && resend.error->kind == ErrorKind::CrashSuspect));
        BOOST_TEST(fleet.service().counters().engineCrashes == crashes);
    }
}

// Guards against suspecting a request of the crash of an engine that was not running
// it, because its step was on another stage of the pipeline.
BOOST_AUTO_TEST_CASE(StreamAwaitingAnotherStageIsNotSuspected)
{
    ServingFleet fleet;
    addTwoEnginesPerStage(fleet);
    auto& response = fleet.submit("r1", prompt, 40);
    fleet.run(1ms);
    auto events = fleet.timeline().events("request", "r1");
    std::string engines = events.back().fields.at("engines");
    std::string last = engines.substr(engines.rfind(' ') + 1);
    fleet.crashEngine(last);
    BOOST_TEST(fleet.crashes.empty());
    fleet.run(1ms);
    fleet.crashEngine(fleet.engine("a1").runningCount() ? "a1" : "a2");
    BOOST_TEST(fleet.crashes.size() == 1U);
    fleet.run(5s, [&] { return fleet.isIdle(); });
    BOOST_TEST(response.text == fleet.expected(prompt, 40));
}

// Guards against crashes that add up in the replicated state although the request has
// since run without a crash. It would be blamed for unrelated engine failures.
BOOST_AUTO_TEST_CASE(ClearsCrashOnceRequestProducesTokens)
{
    ServingFleet fleet;
    addTwoEnginesPerStage(fleet);
    auto& response = fleet.submit("r1", prompt, 60);
    fleet.run(1ms);
    fleet.crashEngine(fleet.engine("a1").runningCount() ? "a1" : "a2");
    BOOST_REQUIRE(fleet.crashes.size() == 1U);
    BOOST_TEST(fleet.clearedCrashes.empty());
    fleet.run(5s, [&] { return fleet.isIdle(); });
    BOOST_TEST(response.text == fleet.expected(prompt, 60));
    BOOST_TEST(fleet.clearedCrashes == fleet.crashes, boost::test_tools::per_element());
}

// Guards against starvation: a large team has filled every slot before a small team's
// request arrives, which must still be answered within two seconds.
BOOST_AUTO_TEST_CASE(LargeTeamDoesNotStarveSmallTeam)
{
    ServingFleet fleet(8);
    addTwoEnginesPerStage(fleet);
    for (int i = 0; i < 150; ++i)
        fleet.submit(fmt::format("large{}", i), prompt, 30, "fiere");
    fleet.run(100ms);
    auto& small = fleet.submit("small", prompt, 4, "listini");
    auto submitted = fleet.now();
    fleet.run(60s, [&] { return small.didFinish; });
    BOOST_TEST(small.didFinish);
    BOOST_TEST((fleet.now() - submitted < 2s));
}
