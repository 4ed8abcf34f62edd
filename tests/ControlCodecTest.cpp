#include "include/base/Base64.h"
#include "include/base/Random.h"
#include "include/control/CommandCodec.h"
#include "include/control/Frames.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::control;

// Guards against fields that are lost or swapped between the entry VM and the state. Every
// command must encode to the same bytes after the conversion to parameters and back.
BOOST_AUTO_TEST_CASE(CommandsRoundTripThroughParameters)
{
    const state::OrderKey order { "fiere", "magazzino", "k 1" };
    const state::OrderAnswer answer { 201, "text/plain", std::string("a\0b\n", 4) };
    const std::string digest(64, 'a');
    const std::vector<state::CommandBody> commands {
        state::ApplySheet { "anna", 7, 3, "kind,team\n" },
        state::ClaimOrder { order, digest, 9, "entry-1", 11 },
        state::RecordOutcome { order, 9, false, answer },
        state::RecordOutcome { order, 9, true, {} },
        state::CloseClaim { order, 9 },
        state::ResolveOrder { "anna", order, true, answer },
        state::ResolveOrder { "anna", order, false, {} },
        state::DeclareEntryGone { "entry-1", 11 },
        state::RecordOrderRefusal { order, "entry-1", 4, "no quorum" },
        state::RecordRefusals { "entry-1", base::WallTime(std::chrono::seconds(1)), base::WallTime(std::chrono::seconds(2)), { { "fiere", 3, 5 }, { "a team", 4, 6 } } },
        state::SetDrain { "anna", "engine-1", true },
        state::RecordCrash { digest, "engine-1", 5, true },
        state::ClearCrash { digest, "engine-1", 5 },
        state::IssueFencingToken { "placement", "entry-1" },
        state::TrimAudit { "anna", 12, digest },
        state::ChangeReplicas { "anna", "promote 4/ab" },
        state::ReplaceRoutes { 7, "{\"version\":7}" },
        state::SetLayerPlan { 3, std::string("a\0b", 3) },
    };
    for (const auto& command : commands) {
        auto decoded = commandFromParameters(methodOf(command), toParameters(command));
        BOOST_REQUIRE_MESSAGE(decoded.has_value(), methodOf(command));
        BOOST_TEST(state::encodeCommand({ {}, decoded.value() }) == state::encodeCommand({ {}, command }), methodOf(command));
    }
}

// Guards against a misspelt flag that resolves an order as not run.
BOOST_AUTO_TEST_CASE(RejectsInvalidParameters)
{
    auto parameters = toParameters(state::ResolveOrder { "anna", { "fiere", "magazzino", "k1" }, true, { 200, "", "" } });
    parameters["didRun"] = "ture";
    BOOST_TEST(commandFromParameters("ResolveOrder", parameters).has_error());
    parameters["didRun"] = "true";
    BOOST_TEST(commandFromParameters("ResolveOrder", parameters).has_value());
    parameters["httpStatus"] = "2x";
    BOOST_TEST(commandFromParameters("ResolveOrder", parameters).has_error());
    parameters.erase("httpStatus");
    BOOST_TEST(commandFromParameters("ResolveOrder", parameters).has_error());
    BOOST_TEST(commandFromParameters("NoSuchCommand", {}).has_error());
}

// Guards against decoding a refusal by the state as success.
BOOST_AUTO_TEST_CASE(RefusalRoundTripKeepsErrorKind)
{
    auto parameters = toParameters(state::Outcome(state::Refusal { base::ErrorKind::KeyConflict, "used before" }));
    auto refusal = refusalFromParameters(parameters);
    BOOST_REQUIRE(refusal.has_error());
    BOOST_TEST((refusal.error().kind == base::ErrorKind::KeyConflict));
    BOOST_TEST(claimReplyFromParameters(parameters).has_error());

    state::ClaimReply answered { state::ClaimStatus::Answered, state::RecordedAnswer {} };
    answered.recorded->answer = { 201, "text/plain", "done" };
    auto reply = claimReplyFromParameters(toParameters(state::Outcome(answered)));
    BOOST_TEST((reply.value().status == state::ClaimStatus::Answered));
    BOOST_TEST(reply.value().recorded->answer.body == "done");
    BOOST_TEST(claimReplyFromParameters({ { "status", "perhaps" } }).has_error());
}

// Guards against a crash on malformed frames from a faulty peer.
BOOST_AUTO_TEST_CASE(FrameDecodersTolerateRandomBytes)
{
    base::Random random(4711);
    for (int round = 0; round < 5000; ++round) {
        std::string bytes = round % 2 ? packTimestamped({}, packFeedAnswer({}, std::nullopt)) : std::string();
        for (auto i = random.below(48); i > 0; --i)
            bytes.push_back(static_cast<char>(random.next()));
        if (!bytes.empty())
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        auto timestamped = unpackTimestamped(bytes);
        auto feed = unpackFeedAnswer(timestamped ? timestamped.value().body : bytes);
        auto introduction = unpackIntroduction(bytes);
        auto list = unpackList(bytes);
        BOOST_TEST((timestamped || timestamped.has_error()));
    }
}

// Guards against losing bytes at the padding.
BOOST_AUTO_TEST_CASE(Base64RoundTrip)
{
    for (std::string bytes : { "", "a", "ab", "abc", "abcd" })
        BOOST_TEST(base::fromBase64(base::toBase64(bytes)).value() == bytes);
    BOOST_TEST(base::fromBase64("a").has_error());
    BOOST_TEST(base::fromBase64("!!!!").has_error());
}
