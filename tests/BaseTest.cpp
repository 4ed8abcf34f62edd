#include "include/base/Compression.h"
#include "include/base/Digest.h"
#include "include/base/Error.h"
#include "include/base/Settings.h"
#include "include/base/Timeline.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus::base;

// Guards against an effect that sorts before its cause because the sender's clock is ahead.
BOOST_AUTO_TEST_CASE(EffectSortsAfterCauseWhenClocksDisagree)
{
    VirtualClock ahead;
    VirtualClock behind;
    ahead.advance(std::chrono::seconds(5));
    Timeline sender(ahead, "sender", 8);
    Timeline receiver(behind, "receiver", 8);
    HybridTime cause = sender.record("sent", {});
    receiver.observe(hybridTimeFromString(toString(cause)));
    BOOST_TEST((cause < receiver.record("received", {})));
}

// Guards against unbounded memory use and uncounted event loss.
BOOST_AUTO_TEST_CASE(TimelineCountsDroppedEvents)
{
    VirtualClock clock;
    Timeline timeline(clock, "vm", 2);
    for (int i = 0; i < 5; ++i)
        timeline.record("event", { { "request", std::to_string(i) } });
    BOOST_TEST(timeline.events().size() == 2U);
    BOOST_TEST(timeline.droppedCount() == 3U);
    BOOST_TEST(timeline.events("request", "4").size() == 1U);
}

// Guards against a start with a missing or malformed setting.
BOOST_AUTO_TEST_CASE(RejectsMissingOrMalformedSettings)
{
    std::vector<SettingSpec> specs { { "listen-address", "address", std::nullopt }, { "port", "port", "80" } };
    const char* none[] = { "program" };
    auto missing = Settings::Make(1, none, specs);
    BOOST_REQUIRE(missing.has_error());
    BOOST_TEST(missing.error().detail.find("--listen-address") != std::string::npos);

    const char* bad[] = { "program", "--listen-address=127.0.0.1", "--port=8x" };
    auto settings = Settings::Make(3, bad, specs);
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings.value().integer("port", 1, 65535).has_error());
}

// Guards against an error response that states "not run" for a request that may have run.
BOOST_AUTO_TEST_CASE(KindsThatMayHaveRunDoNotStateNotRun)
{
    for (auto kind : { ErrorKind::UpstreamFailed, ErrorKind::CommandUnconfirmed, ErrorKind::RequestTimeout, ErrorKind::OrderOutcomeUnknown, ErrorKind::OrderInProgress, ErrorKind::StreamFailed, ErrorKind::CrashSuspect, ErrorKind::Internal })
        BOOST_TEST(notRunText(errorRule(kind).executionStatus) != "true");
}

// Guards against a wrong key or digest algorithm, using a published test vector (RFC 4231, case 2).
BOOST_AUTO_TEST_CASE(HmacMatchesPublishedVector)
{
    BOOST_TEST(toHex(hmacSha256("Jefe", "what do ya want for nothing?")) == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

BOOST_AUTO_TEST_CASE(DamagedOrForeignDeltaIsRejected)
{
    std::string reference(10000, 'a');
    for (std::size_t i = 0; i < reference.size(); ++i)
        reference[i] = static_cast<char>('a' + i * i % 23);
    std::string bytes = reference + "more";
    std::string delta = compressDelta(reference, bytes);
    BOOST_TEST(isCompressed(delta));
    BOOST_TEST(delta.size() < 100U);
    BOOST_TEST((decompressDelta(reference, delta, bytes.size()).value() == bytes));
    BOOST_TEST(!decompressDelta(reference, delta, bytes.size() - 1));
    BOOST_TEST(!decompressDelta("another", delta, bytes.size()));
    BOOST_TEST(!decompressDelta(bytes, delta, bytes.size()));
    BOOST_TEST(!decompressDelta(reference, delta.substr(0, delta.size() - 1), bytes.size()));
    BOOST_TEST(!decompressDelta({}, "{\"version\":1}", 100));
    BOOST_TEST(decompressDelta({}, compressDelta({}, {}), 0).value().empty());
}
