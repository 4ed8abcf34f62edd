#include "tests/ForwardingFixture.h"

using namespace arbutus;

static constexpr std::size_t capacity = std::size_t { 1 } << 20;
static constexpr std::size_t largeBody = 600'000;

// Answers each request, or holds those to "/hold" for good.
class EchoHandler final : public http1::RequestHandler {
public:
    int requests = 0;
    std::size_t answerBytes = 2;

private:
    std::shared_ptr<http1::ActiveRequest> onRequest(const std::shared_ptr<http1::ServerConnection>& connection, http1::Request request) override
    {
        ++requests;
        if (request.head.target == "/hold") {
            held_.push_back(std::move(request));
            return nullptr;
        }
        http1::Response response;
        response.body.assign(answerBytes, 'x');
        connection->send(response);
        return nullptr;
    }
    http1::Response onRequestErrorResponse(int status) const override { return status == 503 ? forwarding::overloadResponse() : http1::Response { status, {}, {}, {} }; }

    std::vector<http1::Request> held_;
};

struct LimitsFixture {
    boost::asio::io_context context { 1 };
    EchoHandler handler;
    tcp::endpoint address;
    http1::ServerResources resources { std::make_shared<http1::ByteBudget>(capacity), 4 };
    std::unique_ptr<http1::Server> server = listenOnFreePort(context, handler, address, resources);

    std::shared_ptr<Peer> connect()
    {
        auto peer = std::make_shared<Peer>(context);
        peer->socket->connect(address);
        context.run_for(std::chrono::milliseconds(20));
        return peer;
    }
    std::shared_ptr<Peer> send(const std::string& path, std::size_t length, std::size_t sent)
    {
        auto peer = connect();
        peer->socket->write("POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x'));
        run();
        return peer;
    }
    void run() { context.run_for(std::chrono::milliseconds(100)); }
};

// Guards against callers that stop short of the end and keep the memory from later ones.
BOOST_AUTO_TEST_CASE(OldestUnfinishedRequestMakesRoom)
{
    LimitsFixture fixture;
    auto small = fixture.send("/", 100, 50);
    auto oldest = fixture.send("/", largeBody, largeBody - 1);
    auto newest = fixture.send("/", largeBody, largeBody - 1);
    BOOST_TEST(contains(oldest->received, "HTTP/1.1 503 "));
    BOOST_TEST(contains(oldest->received, "Retry-After: "));
    BOOST_TEST(oldest->hasEnded);
    newest->socket->write("x");
    small->socket->write(std::string(50, 'x'));
    fixture.run();
    BOOST_TEST(contains(newest->received, "HTTP/1.1 200 "));
    BOOST_TEST(contains(small->received, "HTTP/1.1 200 "));
    BOOST_TEST(fixture.server->counters().refusedRequests == 1U);
    BOOST_TEST(fixture.resources.bytes->held() < capacity / 10);
}

// Guards against ending a request that may have run, and against large requests in progress
// that lock out small ones.
BOOST_AUTO_TEST_CASE(RunningRequestsAreNotEndedForOthers)
{
    LimitsFixture fixture;
    auto running = fixture.send("/hold", largeBody, largeBody);
    auto refused = fixture.send("/", largeBody, largeBody);
    auto small = fixture.send("/", 100, 100);
    BOOST_TEST(!running->hasEnded);
    BOOST_TEST(running->received.empty());
    BOOST_TEST(fixture.handler.requests == 2);
    BOOST_TEST(refused->hasEnded);
    BOOST_TEST(contains(small->received, "HTTP/1.1 200 "));
}

// Guards against a caller that sends requests without reading the answers.
BOOST_AUTO_TEST_CASE(PipelinedRequestsWaitForTheReaderOfTheAnswers)
{
    LimitsFixture fixture;
    fixture.handler.answerBytes = 200'000;
    auto caller = fixture.connect();
    caller->socket->setReading(false);
    constexpr int count = 200;
    std::string requests;
    for (int i = 0; i < count; ++i)
        requests += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    caller->socket->write(requests);
    fixture.run();
    BOOST_TEST(fixture.handler.requests < count);
    BOOST_TEST(fixture.resources.bytes->held() < capacity);
    caller->socket->setReading(true);
    for (int i = 0; i < 100 && fixture.handler.requests < count; ++i)
        fixture.run();
    fixture.run();
    BOOST_TEST(fixture.handler.requests == count);
    BOOST_TEST(caller->received.size() > count * fixture.handler.answerBytes);
}

// Guards against idle or unfinished connections that keep new callers out.
BOOST_AUTO_TEST_CASE(OldestConnectionWithoutARunningRequestIsClosed)
{
    LimitsFixture fixture;
    auto running = fixture.send("/hold", 1, 1);
    auto idle = fixture.connect();
    auto unfinished = fixture.send("/", 100, 1);
    auto third = fixture.connect();
    auto fourth = fixture.connect();
    fixture.run();
    BOOST_TEST(idle->hasEnded);
    BOOST_TEST(!running->hasEnded);
    BOOST_TEST(!unfinished->hasEnded);
    auto fifth = fixture.send("/", 1, 1);
    BOOST_TEST(unfinished->hasEnded);
    BOOST_TEST(contains(fifth->received, "HTTP/1.1 200 "));
    BOOST_TEST(fixture.server->counters().closedConnections == 2U);
}

static http1::ReadStatus readRequest(const std::string& body)
{
    http1::RequestReader reader({ 1000, 10'000 });
    auto status = http1::ReadStatus::NeedMore;
    std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size() && (status == http1::ReadStatus::NeedMore || status == http1::ReadStatus::HeadDone); at += 100) {
        bytes += body.substr(at, 100);
        status = reader.read(bytes);
    }
    return status;
}

static std::string repeat(const std::string& text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i)
        result += text;
    return result;
}

// Guards against framing that costs far more than the body, and against refusing callers that
// write their bodies byte by byte.
BOOST_AUTO_TEST_CASE(FramingIsLimitedInProportionToTheBody)
{
    BOOST_TEST((readRequest(repeat("1\r\nx\r\n", 10'000) + "0\r\n\r\n") == http1::ReadStatus::Done));
    BOOST_TEST((readRequest(repeat("1\r\nx\r\n", 10'001) + "0\r\n\r\n") == http1::ReadStatus::BodyTooLarge));
    BOOST_TEST((readRequest(repeat("1;name=value\r\nx\r\n", 1000)) == http1::ReadStatus::HeadTooLarge));
    BOOST_TEST((readRequest("1;" + std::string(500, 'x') + "\r\nx\r\n0\r\n" + repeat("a: b\r\n", 100) + "\r\n") == http1::ReadStatus::Done));
    BOOST_TEST((readRequest("0\r\n" + repeat("a: b\r\n", 300)) == http1::ReadStatus::HeadTooLarge));
    BOOST_TEST((readRequest("1;" + std::string(2000, 'x')) == http1::ReadStatus::HeadTooLarge));
}

// Guards against a body that is sent in parts and loses or repeats one, for example when the
// upstream pauses.
BOOST_AUTO_TEST_CASE(LargeBodyReachesASlowUpstreamIntact)
{
    Fixture fixture(routes::RequestKind::Unsafe);
    fixture.configuration.routes[0].timeout = std::chrono::seconds(20);
    fixture.configuration.version = 2;
    fixture.configure();
    std::string body;
    while (body.size() < (std::size_t { 4 } << 20) - 16)
        body += std::to_string(body.size()) + ",";
    std::string arrived;
    fixture.script = [&](Peer& connection, const std::string& request, int) {
        arrived += request.substr(request.find("\r\n\r\n") + 4);
        connection.onReceived = [&](Peer& peer) {
            arrived += std::exchange(peer.received, {});
            if (arrived.size() == body.size())
                peer.socket->write(successResponse("r1", "done"));
        };
        connection.socket->setReading(false);
        auto timer = std::make_shared<boost::asio::steady_timer>(fixture.context, std::chrono::milliseconds(300));
        timer->async_wait([&connection, timer](const auto&) { connection.socket->setReading(true); });
    };
    auto caller = std::make_shared<Peer>(fixture.context);
    caller->socket->connect(fixture.address);
    fixture.context.run_for(std::chrono::milliseconds(20));
    caller->socket->write("POST /order HTTP/1.1\r\nHost: desk\r\nId: r1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n", body);
    for (int i = 0; i < 1000 && caller->received.find("done") == std::string::npos; ++i) {
        fixture.context.run_for(std::chrono::milliseconds(10));
        fixture.proxy.tick(std::chrono::steady_clock::now());
    }
    BOOST_TEST(contains(caller->received, "HTTP/1.1 200 "));
    BOOST_TEST((arrived == body));
}
