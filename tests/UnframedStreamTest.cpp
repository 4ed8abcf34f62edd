#include "tests/ForwardingFixture.h"

using namespace arbutus;

// Responses with neither a length nor chunks, which end with their connection.
static const std::string unframedHead = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: r1\r\nConnection: close\r\n\r\n";

static void closeAfter(Peer& connection, const std::string& bytes)
{
    connection.socket->write(bytes);
    connection.socket->closeAfterWriting();
}

BOOST_AUTO_TEST_CASE(UnframedStreamThatEndsInsideAnEventIsResumed)
{
    Fixture fixture(routes::RequestKind::Streaming);
    fixture.script = [](Peer& connection, const std::string&, int number) {
        closeAfter(connection, unframedHead + (number == 1 ? event(1) + "id: 2\ndata:" : event(2)));
    };
    auto received = fixture.sendRequest("r1", "0\r\n\r\n");
    BOOST_TEST(contains(received, event(1)));
    BOOST_TEST(contains(received, event(2)));
    BOOST_TEST(contains(received, "0\r\n\r\n"));
    BOOST_REQUIRE(fixture.requests.size() == 2U);
    BOOST_TEST(contains(fixture.requests.back(), "After: 1"));
}

BOOST_AUTO_TEST_CASE(UnframedStreamThatEndsInsideAnEventDoesNotLookComplete)
{
    Fixture fixture(routes::RequestKind::Streaming, false);
    fixture.configuration.routes.front().mayResume = false;
    fixture.configure();
    fixture.script = [](Peer& connection, const std::string&, int) { closeAfter(connection, unframedHead + event(1) + "id: 2\ndata:"); };
    auto received = fixture.sendRequest("r1", "0\r\n\r\n");
    BOOST_TEST(contains(received, event(1)));
    BOOST_TEST(!contains(received, "0\r\n\r\n"));
    BOOST_TEST(contains(received, "<end>"));
}

BOOST_AUTO_TEST_CASE(UnframedStreamWithoutAnyEventIsNoAnswer)
{
    Fixture fixture(routes::RequestKind::Streaming);
    fixture.script = [](Peer& connection, const std::string&, int number) { closeAfter(connection, number == 1 ? unframedHead : unframedHead + event(1)); };
    BOOST_TEST(contains(fixture.sendRequest("r1", "0\r\n\r\n"), event(1)));
    BOOST_TEST(fixture.requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(WholeUnframedAnswersAreRelayed)
{
    Fixture stream(routes::RequestKind::Streaming);
    stream.script = [](Peer& connection, const std::string&, int) { closeAfter(connection, unframedHead + event(1) + event(2)); };
    BOOST_TEST(contains(stream.sendRequest("r1", "0\r\n\r\n"), event(2)));
    BOOST_TEST(stream.requests.size() == 1U);

    Fixture call(routes::RequestKind::Safe);
    call.script = [](Peer& connection, const std::string&, int) { closeAfter(connection, unframedHead + "stock: 12"); };
    BOOST_TEST(contains(call.sendRequest("r1", "stock: 12"), "200 OK"));
    BOOST_TEST(call.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(UnframedAnswerThatIsResetIsNotComplete)
{
    Fixture fixture(routes::RequestKind::Safe);
    fixture.script = [](Peer& connection, const std::string&, int number) {
        if (number == 1) {
            connection.socket->write(unframedHead + "stock: 1");
            connection.socket->reset();
        } else {
            connection.socket->write(successResponse("r1", "stock: 12"));
        }
    };
    auto received = fixture.sendRequest("r1", "stock: 12");
    BOOST_TEST(contains(received, "stock: 12"));
    BOOST_TEST(fixture.requests.size() == 2U);
}
