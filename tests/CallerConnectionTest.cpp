#include "tests/ForwardingFixture.h"

using namespace arbutus;

// Answers every request with a large body.
class LargeAnswers final : public http1::RequestHandler {
public:
    static constexpr std::size_t bodyBytes = std::size_t { 24 } << 20;

private:
    std::shared_ptr<http1::ActiveRequest> onRequest(const std::shared_ptr<http1::ServerConnection>& connection, http1::Request) override
    {
        http1::Response response;
        response.status = 200;
        response.body.assign(bodyBytes, 'x');
        connection->send(response);
        return nullptr;
    }
};

struct ServerFixture {
    boost::asio::io_context context { 1 };
    LargeAnswers handler;
    std::unique_ptr<http1::Server> server;
    tcp::endpoint address;
    std::shared_ptr<Peer> caller = std::make_shared<Peer>(context);

    ServerFixture()
    {
        server = listenOnFreePort(context, handler, address);
        caller->socket->connect(address);
        run(std::chrono::milliseconds(20));
    }

    void run(std::chrono::milliseconds duration)
    {
        auto end = std::chrono::steady_clock::now() + duration;
        while (std::chrono::steady_clock::now() < end) {
            context.run_for(std::chrono::milliseconds(5));
            server->tick(std::chrono::steady_clock::now());
        }
    }
};

// Guards against a planned stop, or an idle timeout, that cuts off the end of an answer
// which a slow caller is still reading.
BOOST_AUTO_TEST_CASE(ConnectionWithAnUnreadAnswerIsNotIdle)
{
    ServerFixture fixture;
    fixture.caller->socket->setReading(false);
    fixture.caller->socket->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.run(std::chrono::milliseconds(100));
    BOOST_TEST(fixture.server->hasUnfinishedWork());
    fixture.server->closeIdle(std::chrono::steady_clock::now() + std::chrono::hours(1));
    fixture.caller->socket->setReading(true);
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (fixture.caller->received.size() < LargeAnswers::bodyBytes && !fixture.caller->hasEnded && std::chrono::steady_clock::now() < end)
        fixture.run(std::chrono::milliseconds(10));
    BOOST_TEST(fixture.caller->received.size() > LargeAnswers::bodyBytes);
    BOOST_TEST(!fixture.server->hasUnfinishedWork());
    fixture.server->closeIdle(std::chrono::steady_clock::now() + std::chrono::hours(1));
    fixture.run(std::chrono::milliseconds(20));
    BOOST_TEST(fixture.caller->hasEnded);
}

// Guards against a slow but sound caller that is cut off because it paused its reading.
BOOST_AUTO_TEST_CASE(CallerMayPauseItsReading)
{
    ServerFixture fixture;
    fixture.caller->socket->setReading(false);
    fixture.caller->socket->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.run(std::chrono::milliseconds(4500));
    fixture.caller->socket->setReading(true);
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (fixture.caller->received.size() < LargeAnswers::bodyBytes && !fixture.caller->hasEnded && std::chrono::steady_clock::now() < end)
        fixture.run(std::chrono::milliseconds(10));
    BOOST_TEST(fixture.caller->received.size() > LargeAnswers::bodyBytes);
}

// Guards against a connection that a caller holds for good by reading a byte now and then.
BOOST_AUTO_TEST_CASE(UnreadAnswerEndsAfterAWhile)
{
    ServerFixture fixture;
    fixture.caller->socket->setReading(false);
    fixture.caller->socket->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.run(std::chrono::milliseconds(100));
    BOOST_TEST(fixture.server->connectionCount() == 1U);
    fixture.server->tick(std::chrono::steady_clock::now() + std::chrono::seconds(31));
    BOOST_TEST(fixture.server->connectionCount() == 0U);
}
