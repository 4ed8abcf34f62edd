#include "tests/ForwardingFixture.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

using namespace arbutus;

// Engines that end as soon as they begin to answer a request with the deadly part.
struct DeadlyPromptFixture : Fixture {
    explicit DeadlyPromptFixture(int upstreams = 6)
        : Fixture(routes::RequestKind::Streaming, false)
    {
        configuration.services.front().model = smallModel();
        upstreamCount = upstreams;
        configure();
        script = [this](Peer& connection, const std::string& request, int) {
            bool isDeadly = contains(request, "deadly");
            deadlyRequests += isDeadly ? 1 : 0;
            connection.socket->write(streamHead + (isDeadly ? "" : chunk(event(1)) + "0\r\n\r\n"));
            if (isDeadly)
                connection.socket->closeAfterWriting();
        };
    }

    std::string sendPrompt(const std::string& parts)
    {
        extraFields = "Parts: " + parts + "\r\n";
        return sendRequest("r1", "\r\n\r\n");
    }

    int deadlyRequests = 0;
};

BOOST_AUTO_TEST_CASE(DeadlyPromptPartReachesNoSecondUpstream)
{
    DeadlyPromptFixture fixture;
    BOOST_TEST(contains(fixture.sendPrompt("common"), "200"));
    BOOST_TEST(contains(fixture.sendPrompt("common,deadly"), "502"));
    auto refused = fixture.sendPrompt("common,deadly");
    BOOST_TEST(contains(refused, "503"));
    BOOST_TEST(contains(refused, "Retry-After: "));
    BOOST_TEST(contains(fixture.sendPrompt("other,deadly"), "503"));
    BOOST_TEST(fixture.deadlyRequests == 1);
    BOOST_TEST(contains(fixture.sendPrompt("common"), "200"));
}

BOOST_AUTO_TEST_CASE(RequestInFlightIsTakenBackWhenItsPromptBecomesSuspected)
{
    DeadlyPromptFixture fixture;
    fixture.script = [](Peer&, const std::string&, int) {};
    auto parts = routing::identifyParts({ "deadly" });
    fixture.extraFields = "Parts: deadly\r\n";
    auto received = fixture.sendRequest("r1", "detail", [&] { fixture.proxy.crashGuard().upstreamCrashed(parts, 1, std::chrono::steady_clock::now()); });
    BOOST_TEST(contains(received, "502"));
    BOOST_REQUIRE(fixture.connections.size() == 1U);
    BOOST_TEST(fixture.connections.front()->hasEnded);
}

BOOST_AUTO_TEST_CASE(UpstreamThatBrokeOffAnAnswerAndAnswersTheNextHasNotCrashed)
{
    DeadlyPromptFixture fixture(1);
    fixture.sendPrompt("deadly");
    auto sentAt = base::TimePoint(std::chrono::steady_clock::now());
    std::uint64_t crash = 0;
    for (const auto& observation : fixture.proxy.crashGuard().takeObservations()) {
        if (const auto* crashed = std::get_if<routing::CrashGuard::PartCrashed>(&observation))
            crash = crashed->origin.crash;
    }
    BOOST_REQUIRE(crash);
    while (!contains(fixture.sendPrompt("common"), "id: 1"))
        continue;
    auto observations = fixture.proxy.crashGuard().takeObservations();
    BOOST_TEST(std::any_of(observations.begin(), observations.end(), [&](const auto& observation) {
        const auto* answered = std::get_if<routing::CrashGuard::UpstreamAnswered>(&observation);
        return answered && answered->crash == crash && answered->sentAt >= sentAt;
    }));
}

BOOST_AUTO_TEST_CASE(RejectionByAnUpstreamDoesNotClearASuspicion)
{
    DeadlyPromptFixture fixture;
    auto& guard = fixture.proxy.crashGuard();
    // Long enough ago for a trial.
    guard.upstreamCrashed(routing::identifyParts({ "deadly" }), 1, std::chrono::steady_clock::now() - std::chrono::minutes(2));
    fixture.script = [](Peer& connection, const std::string&, int) { connection.socket->write("HTTP/1.1 404 Not Found\r\nSigned: s\r\nId: r1\r\nContent-Length: 0\r\n\r\n"); };
    BOOST_TEST(contains(fixture.sendPrompt("deadly"), "404"));
    BOOST_TEST(guard.heldPartCount() > 0U);
}

BOOST_AUTO_TEST_CASE(LostRequestIsSentAgainOnceItsPromptIsCleared)
{
    DeadlyPromptFixture fixture;
    auto deadlyScript = fixture.script;
    boost::asio::steady_timer clearTimer(fixture.context);
    fixture.script = [&](Peer& connection, const std::string& request, int number) {
        if (number == 1) {
            deadlyScript(connection, request, number);
            // Another VM has had an answer to such a prompt.
            clearTimer.expires_after(std::chrono::milliseconds(100));
            clearTimer.async_wait([&fixture](const boost::system::error_code&) {
                for (auto part : routing::identifyParts({ "deadly" }))
                    fixture.proxy.crashGuard().setSuspicion(part, {}, std::chrono::steady_clock::now());
            });
            return;
        }
        connection.socket->write(streamHead + chunk(event(1)) + "0\r\n\r\n");
    };
    fixture.extraFields = "Parts: deadly\r\n";
    BOOST_TEST(contains(fixture.sendRequest("r1", "0\r\n\r\n"), "id: 1"));
}

BOOST_AUTO_TEST_CASE(RequestThatCrashesUpstreamsIsHeldBackWhenItIsSentAgain)
{
    DeadlyPromptFixture fixture;
    // The crashes that the reports of all entry VMs add up to.
    std::map<routing::PromptPart, routing::CrashGuard::Suspicion> suspicions;
    auto countCrashes = [&] {
        auto& guard = fixture.proxy.crashGuard();
        for (const auto& observation : guard.takeObservations()) {
            const auto* crashed = std::get_if<routing::CrashGuard::PartCrashed>(&observation);
            if (!crashed)
                continue;
            suspicions[crashed->part].origins.push_back(crashed->origin);
            guard.setSuspicion(crashed->part, suspicions[crashed->part], std::chrono::steady_clock::now());
        }
    };
    fixture.script = [](Peer& connection, const std::string&, int) {
        connection.socket->write(streamHead);
        connection.socket->closeAfterWriting();
    };
    for (int i = 0; i < 3; ++i) {
        fixture.sendPrompt("");
        countCrashes();
    }
    BOOST_TEST(fixture.requests.size() == 2U);
    BOOST_TEST(contains(fixture.sendPrompt(""), "503"));
}

// Guards against requests that wait for other VMs and hold the bytes of lost answers meanwhile.
BOOST_AUTO_TEST_CASE(BytesOfALostAnswerAreReleasedWhileItsRequestWaits)
{
    DeadlyPromptFixture fixture;
    fixture.script = [](Peer& connection, const std::string&, int) {
        connection.socket->write(streamHead + chunk(std::string(100'000, 'x')));
        connection.socket->closeAfterWriting();
    };
    std::optional<std::size_t> heldWhileWaiting;
    boost::asio::steady_timer timer(fixture.context, std::chrono::milliseconds(250));
    timer.async_wait([&](const boost::system::error_code&) { heldWhileWaiting = fixture.proxy.heldBytes(); });
    BOOST_TEST(contains(fixture.sendPrompt("deadly"), "502"));
    BOOST_TEST(heldWhileWaiting.value_or(1) == 0U);
}
