#include "tools/fakes/engine/EngineCore.h"
#include "tools/fakes/common/ReferenceModel.h"

#include "include/streams/StreamSession.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::fakes;

static const base::TimePoint later(std::chrono::hours(2));
static const char* const prompt = "badge copy for the Palermo fair";

static EngineCore makeEngine(std::uint32_t first, std::uint32_t last)
{
    EngineSpec spec;
    spec.firstLayer = first;
    spec.lastLayer = last;
    spec.layerCount = 6;
    EngineCore engine(spec);
    engine.addModel("scriba", "1");
    return engine;
}

static streams::StreamSession makeSession(std::uint32_t tokens)
{
    streams::StreamSpec spec;
    spec.stream = "s";
    spec.model = "scriba";
    spec.version = "1";
    spec.prompt = prompt;
    spec.maxTokens = tokens;
    spec.layerCount = 6;
    return streams::StreamSession::Make(spec).value();
}

// Runs a session on the named engines and returns the answer's text. Replaces
// `crashedEngine` by "spare" before it runs its step for token `crashPosition`.
static std::string runSession(std::map<std::string, EngineCore>& engines, const std::string& crashedEngine, std::uint32_t crashPosition)
{
    auto session = makeSession(12);
    streams::Pipeline pipeline { { "a", 0, 1 }, { "b", 2, 3 }, { "c", 4, 5 } };
    auto next = std::optional(session.startAttempt(pipeline, later).value());
    std::string text;
    bool hasCrashed = false;
    while (!session.isFinished()) {
        if (!hasCrashed && !crashedEngine.empty() && session.tokens().size() == crashPosition && next->engine == crashedEngine) {
            hasCrashed = true;
            session.handleEngineLoss(crashedEngine);
            for (auto& stage : pipeline)
                stage.engine = stage.engine == crashedEngine ? "spare" : stage.engine;
            next = session.startAttempt(pipeline, later).value();
        }
        auto& engine = engines.at(next->engine);
        engine.submit("entry", next->step);
        auto batch = engine.runBatch();
        auto progress = session.receive(batch.results.at(0).result, later);
        BOOST_REQUIRE(!progress.needsNewAttempt);
        if (progress.token)
            text += progress.token->text;
        next = progress.dispatch;
    }
    return text;
}

// Guards against a layer that runs twice, out of order or not at all after a
// stage is replaced. Each of these changes the checksum chain and the text.
BOOST_AUTO_TEST_CASE(AnswerIsUnchangedAfterAnyStageCrash)
{
    std::string expected = expectedText("scriba", "1", "", prompt, 6, 12);
    for (const std::string lost : { "", "a", "b", "c" }) {
        for (std::uint32_t at : { 0U, 1U, 5U, 11U }) {
            std::map<std::string, EngineCore> engines;
            engines.emplace("a", makeEngine(0, 1));
            engines.emplace("b", makeEngine(2, 3));
            engines.emplace("c", makeEngine(4, 5));
            engines.emplace("spare", lost == "a" ? makeEngine(0, 1) : lost == "b" ? makeEngine(2, 3)
                                                                                  : makeEngine(4, 5));
            BOOST_TEST(runSession(engines, lost, at) == expected);
        }
    }
}

// Guards against a fake engine that hides a repeated or skipped step.
BOOST_AUTO_TEST_CASE(EngineRefusesRepeatedAndSkippedPositions)
{
    auto engine = makeEngine(0, 1);
    auto session = makeSession(4);
    auto first = session.startAttempt({ { "a", 0, 1 }, { "b", 2, 5 } }, later).value();
    engine.submit("entry", first.step);
    BOOST_TEST(engine.runBatch().results.at(0).result.error.empty());
    engine.submit("entry", first.step);
    BOOST_TEST(!engine.runBatch().results.at(0).result.error.empty());
    auto skipped = first.step;
    skipped.isPrefill = false;
    skipped.id.position = 2;
    skipped.id.count = 1;
    skipped.tokens = { 5 };
    engine.submit("entry", skipped);
    BOOST_TEST(!engine.runBatch().results.at(0).result.error.empty());
}

// Guards against a leak of the KV memory of a cancelled stream.
BOOST_AUTO_TEST_CASE(CancelReleasesKvMemory)
{
    auto engine = makeEngine(0, 1);
    auto session = makeSession(4);
    auto first = session.startAttempt({ { "a", 0, 1 }, { "b", 2, 5 } }, later).value();
    engine.submit("entry", first.step);
    engine.runBatch();
    BOOST_TEST(engine.memoryBytes() > 0U);
    engine.cancel("s", 1);
    BOOST_TEST(engine.memoryBytes() == 0U);
    BOOST_TEST(engine.runningCount() == 0U);
}
