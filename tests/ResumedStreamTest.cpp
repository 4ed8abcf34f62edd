#include "tests/ForwardingFixture.h"

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
