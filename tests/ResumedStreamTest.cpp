#include "tests/ForwardingFixture.h"

#include <boost/asio/steady_timer.hpp>

using namespace arbutus;

BOOST_AUTO_TEST_CASE(RefusalsBeforeStartDoNotAbortBrokenStream)
{
    Fixture fixture(routes::RequestKind::Streaming, false);
    fixture.configuration.services.front().model = smallModel();
    // A refusing engine is avoided for a while, so each send needs another one.
    fixture.upstreamCount = 6;
    fixture.configure();
    constexpr int refusals = 3;
    fixture.script = [](Peer& connection, const std::string&, int number) {
        if (number <= refusals) {
            connection.socket->write(notRun);
        } else if (number == refusals + 1) {
            connection.socket->write(streamHead + chunk(event(1)));
            connection.socket->closeAfterWriting();
        } else {
            connection.socket->write(streamHead + chunk(event(2)) + "0\r\n\r\n");
        }
    };
    auto received = fixture.sendRequest("r1", "0\r\n\r\n");
    BOOST_TEST(contains(received, "id: 1"));
    BOOST_TEST(contains(received, "id: 2"));
    BOOST_TEST(contains(received, "0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(SlowAttemptIsNotEndedWhenNoOtherMayFollow)
{
    Fixture fixture(routes::RequestKind::Safe, false);
    fixture.upstreamCount = 6;
    fixture.configure();
    constexpr int refusals = 3;
    // Beyond the silence after which a call would be retried.
    constexpr std::chrono::milliseconds answerDelay(900);
    boost::asio::steady_timer answerTimer(fixture.context);
    fixture.script = [&](Peer& connection, const std::string&, int number) {
        if (number <= refusals) {
            connection.socket->write(notRun);
            return;
        }
        answerTimer.expires_after(answerDelay);
        answerTimer.async_wait([upstream = connection.shared_from_this()](const boost::system::error_code&) { upstream->socket->write(successResponse("r1", "done")); });
    };
    BOOST_TEST(contains(fixture.sendRequest("r1", "detail"), "200 OK"));
    BOOST_TEST(fixture.requests.size() == static_cast<std::size_t>(refusals) + 1);
}
