#include "include/streams/StreamSession.h"
#include "include/streams/ChannelCodec.h"

#include "include/base/Random.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::streams;

static const base::TimePoint farDeadline(std::chrono::hours(2));

static StreamSession makeSession(std::uint32_t maxTokens)
{
    StreamSpec spec;
    spec.stream = "s1";
    spec.model = "scriba";
    spec.version = "1";
    spec.prompt = "badge";
    spec.maxTokens = maxTokens;
    spec.layerCount = 4;
    return StreamSession::Make(spec).value();
}

static Pipeline twoStages(const std::string& first, const std::string& second)
{
    return { { first, 0, 1 }, { second, 2, 3 } };
}

static StageResult resultFor(const Dispatch& dispatch)
{
    StageResult result;
    result.id = dispatch.step.id;
    result.activation = "a";
    if (dispatch.step.id.lastLayer == 3)
        result.token = Token { dispatch.step.id.position + dispatch.step.id.count, "t" };
    return result;
}

// Guards against pipelines that skip, repeat or reorder layers.
BOOST_AUTO_TEST_CASE(RejectsPipelineWithGapOrOverlap)
{
    auto session = makeSession(2);
    BOOST_TEST(session.startAttempt({ { "a", 0, 1 } }, farDeadline).has_error());
    BOOST_TEST(session.startAttempt({ { "a", 0, 1 }, { "b", 3, 3 } }, farDeadline).has_error());
    BOOST_TEST(session.startAttempt({ { "a", 0, 2 }, { "b", 2, 3 } }, farDeadline).has_error());
    BOOST_TEST(session.startAttempt({ { "b", 2, 3 }, { "a", 0, 1 } }, farDeadline).has_error());
    BOOST_TEST(session.startAttempt(twoStages("a", "b"), farDeadline).has_value());
}

// Guards against repeated, late or foreign results that reach the caller.
BOOST_AUTO_TEST_CASE(DropsResultsOtherThanTheAwaitedOne)
{
    auto session = makeSession(3);
    auto first = session.startAttempt(twoStages("a", "b"), farDeadline).value();
    auto outcome = session.receive(resultFor(first), farDeadline);
    BOOST_REQUIRE(outcome.dispatch);
    BOOST_TEST(session.receive(resultFor(first), farDeadline).wasDropped);

    auto foreign = resultFor(*outcome.dispatch);
    foreign.id.stream = "s2";
    BOOST_TEST(session.receive(foreign, farDeadline).wasDropped);
    auto otherAttempt = resultFor(*outcome.dispatch);
    otherAttempt.id.attempt = 7;
    BOOST_TEST(session.receive(otherAttempt, farDeadline).wasDropped);

    auto token = session.receive(resultFor(*outcome.dispatch), farDeadline);
    BOOST_TEST(token.token.has_value());
    BOOST_TEST(session.receive(resultFor(*outcome.dispatch), farDeadline).wasDropped);
    BOOST_TEST(session.tokens().size() == 1U);
    BOOST_TEST(session.droppedCount() == 4U);
}

// Guards against missing or repeated tokens, and tokens of a cancelled attempt, when an
// engine crashes. Covers every stage at each of five positions, with a stale result
// after the resume.
BOOST_AUTO_TEST_CASE(ResumesAtEveryPositionAndStage)
{
    for (std::uint32_t crashPosition = 0; crashPosition < 5; ++crashPosition) {
        for (const std::string crashedEngine : { "a", "b" }) {
            auto session = makeSession(6);
            std::optional<Dispatch> next = session.startAttempt(twoStages("a", "b"), farDeadline).value();
            std::vector<std::uint32_t> seen;
            bool didCrash = false;
            while (!session.isFinished()) {
                if (!didCrash && seen.size() == crashPosition && next->engine == crashedEngine) {
                    didCrash = true;
                    auto stale = resultFor(*next);
                    BOOST_TEST(session.handleEngineLoss(crashedEngine));
                    next = session.startAttempt(crashedEngine == "a" ? twoStages("c", "b") : twoStages("a", "c"), farDeadline).value();
                    BOOST_TEST(next->step.tokens.size() == seen.size());
                    BOOST_TEST(next->step.isPrefill);
                    BOOST_TEST(session.receive(stale, farDeadline).wasDropped);
                }
                auto outcome = session.receive(resultFor(*next), farDeadline);
                if (outcome.token)
                    seen.push_back(outcome.token->id);
                next = outcome.dispatch;
            }
            BOOST_TEST(didCrash);
            BOOST_TEST(seen == (std::vector<std::uint32_t> { 0, 1, 2, 3, 4, 5 }), boost::test_tools::per_element());
        }
    }
}

// Guards against engines that keep the state of an ended attempt.
BOOST_AUTO_TEST_CASE(CancelsEveryStageOfAnEndedAttempt)
{
    auto session = makeSession(2);
    auto first = session.startAttempt(twoStages("a", "b"), base::TimePoint(std::chrono::seconds(1)));
    BOOST_TEST(!session.expireStep(base::TimePoint(std::chrono::milliseconds(999))));
    BOOST_TEST(session.expireStep(base::TimePoint(std::chrono::seconds(1))).value_or("") == "a");
    BOOST_TEST(session.extractCancellations().size() == 2U);
    BOOST_TEST(session.extractCancellations().empty());
}

// Guards against crashes and endless loops of the decoder on data from a faulty engine.
BOOST_AUTO_TEST_CASE(DecoderSurvivesRandomBytes)
{
    base::Random random(20261204);
    for (int round = 0; round < 2000; ++round) {
        ChannelDecoder decoder(1 << 16);
        std::string bytes;
        if (round % 2)
            bytes = encodeChannelMessage(StageResult {});
        for (auto i = random.below(64); i > 0; --i)
            bytes.push_back(static_cast<char>(random.next()));
        if (!bytes.empty())
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        decoder.feed(bytes);
        for (int i = 0; i < 100; ++i) {
            auto message = decoder.next();
            if (!message || !message.value())
                break;
        }
    }
    BOOST_TEST(true);
}

// Guards against lost or merged messages when a chunk ends inside a message.
BOOST_AUTO_TEST_CASE(DecoderReassemblesMessagesAcrossChunks)
{
    StageResult result;
    result.id.stream = "s1";
    result.token = Token { 7, "seven" };
    std::string bytes = encodeChannelMessage(result) + encodeChannelMessage(CancelStream { "s2", 3 });
    ChannelDecoder decoder(1 << 16);
    std::vector<ChannelMessage> messages;
    for (char byte : bytes) {
        decoder.feed(std::string_view(&byte, 1));
        while (auto message = decoder.next().value())
            messages.push_back(*message);
    }
    BOOST_REQUIRE(messages.size() == 2U);
    BOOST_TEST(std::get<StageResult>(messages[0]).token->text == "seven");
    BOOST_TEST(std::get<CancelStream>(messages[1]).stream == "s2");
}
