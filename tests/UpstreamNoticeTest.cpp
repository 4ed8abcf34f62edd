#include "include/fleet/FleetMessages.h"
#include "tests/ForwardingFixture.h"

using namespace arbutus;

static std::string upstreamOf(const std::string& request)
{
    auto at = request.find("Upstream: ") + 10;
    return request.substr(at, request.find("\r\n", at) - at);
}

static std::size_t countFor(const Fixture& fixture, const std::string& upstream)
{
    return static_cast<std::size_t>(std::count_if(fixture.requests.begin(), fixture.requests.end(), [&](const auto& request) { return upstreamOf(request) == upstream; }));
}

static std::string idOf(const std::string& request)
{
    auto at = request.find("\r\nId: ") + 6;
    return request.substr(at, request.find("\r\n", at) - at);
}

static std::string withField(std::string response, const std::string& field) { return response.insert(response.find("\r\n") + 2, field + "\r\n"); }

// Sends `count` requests one after the other and returns the last answer.
static std::string sendRequests(Fixture& fixture, int count)
{
    std::string received;
    for (int i = 0; i < count; ++i)
        received = fixture.sendRequest("n" + std::to_string(i), "\r\n\r\n");
    return received;
}

// Makes u0, but no other upstream, answer with the field.
static Fixture::Script answerWithFieldOfFirst(const std::string& field)
{
    return [field](Peer& connection, const std::string& request, int) {
        auto response = successResponse(idOf(request), "done");
        connection.socket->write(upstreamOf(request) == "u0" ? withField(response, field) : response);
    };
}

static void restartFirstUpstream(Fixture& fixture)
{
    auto record = *fixture.registry.find("u0");
    record.startedAtMilliseconds += 1000;
    record.state = fleet::UpstreamState::Ready;
    record.isLeaving = false;
    fixture.registry.apply(record, {});
    fixture.proxy.setUpstreams(fixture.registry);
}

static void removeAllBut(Fixture& fixture, const std::string& remaining)
{
    for (const auto* record : fixture.registry.all()) {
        if (record->id != remaining)
            fixture.registry.deregister(std::string(record->id), 0, "", {});
    }
    fixture.proxy.setUpstreams(fixture.registry);
}

// Guards against requests to an upstream that has announced its leave in an answer, and
// against a new process of it that stays unused.
BOOST_AUTO_TEST_CASE(LeavingUpstreamGetsNoNewRequestsUntilItsNextProcess)
{
    Fixture fixture(routes::RequestKind::Safe);
    fixture.script = answerWithFieldOfFirst("Leaving: 1");
    sendRequests(fixture, 12);
    BOOST_TEST(countFor(fixture, "u0") == 1U);
    auto leaving = fixture.proxy.takeLeavingUpstreams();
    BOOST_REQUIRE(leaving.size() == 1U);
    BOOST_TEST(leaving.front().id == "u0");
    BOOST_TEST(fixture.registry.markLeaving(leaving.front(), {}));
    fixture.proxy.setUpstreams(fixture.registry);
    sendRequests(fixture, 4);
    BOOST_TEST(countFor(fixture, "u0") == 1U);

    removeAllBut(fixture, "u0");
    BOOST_TEST(contains(sendRequests(fixture, 1), " 503 "));
    restartFirstUpstream(fixture);
    BOOST_TEST(contains(sendRequests(fixture, 1), " 200 "));
    BOOST_TEST(countFor(fixture, "u0") == 2U);
}

// Guards against a leave that is read only from complete successful answers.
BOOST_AUTO_TEST_CASE(LeaveIsReadFromEveryKindOfAnswer)
{
    const std::string unframed = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: r1\r\nLeaving: 1\r\nConnection: close\r\n\r\n";
    const std::vector<std::string> answers {
        withField(notRun, "Leaving: 1"),
        "HTTP/1.1 421 Misdirected\r\nNot-Run: 1\r\nLeaving: 1\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Failed\r\nSigned: s\r\nLeaving: 1\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
        withField(successResponse("earlier", "late"), "Leaving: 1") + successResponse("r1", "done"),
        unframed,
    };
    for (const auto& answer : answers) {
        Fixture fixture(routes::RequestKind::Unsafe);
        fixture.script = [&answer](Peer& connection, const std::string& request, int number) {
            connection.socket->write(number == 1 ? answer : successResponse(idOf(request), "done"));
        };
        fixture.sendRequest("r1", "\r\n\r\n");
        auto first = upstreamOf(fixture.requests.at(0));
        sendRequests(fixture, 6);
        BOOST_TEST(countFor(fixture, first) == 1U, answer);
    }
}

// Guards against waiting for the end of a stream whose head has announced the leave, and
// against ending that stream.
BOOST_AUTO_TEST_CASE(LeaveInTheHeadOfARunningStreamCountsAtOnce)
{
    Fixture fixture(routes::RequestKind::Streaming);
    std::shared_ptr<net::StreamSocket> stream;
    fixture.script = [&stream](Peer& connection, const std::string& request, int number) {
        if (number > 1) {
            connection.socket->write(successResponse(idOf(request), event(1)));
            return;
        }
        stream = connection.socket;
        stream->write(withField(streamHead, "Leaving: 1") + chunk(event(1)));
    };
    auto caller = std::make_shared<Peer>(fixture.context);
    caller->socket->connect(fixture.address);
    fixture.context.run_for(std::chrono::milliseconds(20));
    caller->socket->write("POST /order HTTP/1.1\r\nHost: desk\r\nId: r1\r\nContent-Length: 0\r\n\r\n");
    fixture.context.run_for(std::chrono::milliseconds(50));
    auto first = upstreamOf(fixture.requests.at(0));
    sendRequests(fixture, 6);
    BOOST_TEST(countFor(fixture, first) == 1U);
    stream->write(chunk(event(2)) + "0\r\n\r\n");
    fixture.context.run_for(std::chrono::milliseconds(50));
    BOOST_TEST(contains(caller->received, "id: 2"));
    BOOST_TEST(contains(caller->received, "0\r\n\r\n"));
}

// Guards against an answer of a former process that excludes the new one at its address.
BOOST_AUTO_TEST_CASE(LeaveOfAFormerProcessSaysNothingOfTheNewOne)
{
    Fixture fixture(routes::RequestKind::Safe, false);
    fixture.upstreamCount = 1;
    fixture.configure();
    fixture.script = [&fixture](Peer& connection, const std::string& request, int number) {
        if (number == 1)
            restartFirstUpstream(fixture);
        auto response = successResponse(idOf(request), "done");
        connection.socket->write(number == 1 ? withField(response, "Leaving: 1") : response);
    };
    sendRequests(fixture, 3);
    BOOST_TEST(countFor(fixture, "u0") == 3U);
    BOOST_TEST(fixture.proxy.takeLeavingUpstreams().empty());
}

// Guards against requests to an upstream that has asked for a pause, and against an end of
// the pause by an answer to an older request.
BOOST_AUTO_TEST_CASE(PausedUpstreamGetsNoRequestsUntilThePauseEnds)
{
    Fixture fixture(routes::RequestKind::Safe);
    std::string paused;
    fixture.script = [&paused](Peer& connection, const std::string& request, int number) {
        if (number == 1)
            paused = upstreamOf(request);
        connection.socket->write(number == 1 ? "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nPause: 600\r\nId: " + idOf(request) + "\r\nContent-Length: 0\r\n\r\n" : successResponse(idOf(request), "done"));
    };
    auto pausedUntil = std::chrono::steady_clock::now() + std::chrono::milliseconds(600);
    BOOST_TEST(contains(fixture.sendRequest("r1", "done"), "done"));
    while (std::chrono::steady_clock::now() < pausedUntil - std::chrono::milliseconds(100)) {
        sendRequests(fixture, 1);
        BOOST_REQUIRE(countFor(fixture, paused) == 1U);
    }
    removeAllBut(fixture, paused);
    auto deadline = pausedUntil + std::chrono::seconds(2);
    while (countFor(fixture, paused) == 1U && std::chrono::steady_clock::now() < deadline)
        sendRequests(fixture, 1);
    BOOST_TEST((std::chrono::steady_clock::now() >= pausedUntil));
    BOOST_TEST(countFor(fixture, paused) == 2U);
}

static const std::string pauseAnswer = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nPause: 60000\r\nId: r1\r\nContent-Length: 0\r\n\r\n";

// Guards against callers that wait, or come back too early, while all upstreams want no
// requests.
BOOST_AUTO_TEST_CASE(RequestIsRefusedAtOnceWhileAllUpstreamsPause)
{
    for (bool hasModel : { false, true }) {
        Fixture fixture(routes::RequestKind::Unsafe, false);
        fixture.upstreamCount = 1;
        if (hasModel)
            fixture.configuration.services.front().model = smallModel();
        fixture.configure();
        fixture.script = [](Peer& connection, const std::string&, int) { connection.socket->write(pauseAnswer); };
        for (int i = 0; i < 2; ++i) {
            auto startedAt = std::chrono::steady_clock::now();
            auto received = fixture.sendRequest("r1", "detail");
            BOOST_TEST((std::chrono::steady_clock::now() - startedAt < std::chrono::milliseconds(250)));
            BOOST_TEST(contains(received, " 503 "));
            BOOST_TEST(contains(received, "\"notRun\":true"));
            auto at = received.find("Retry-After: ");
            BOOST_REQUIRE(at != std::string::npos);
            BOOST_TEST(std::stod(received.substr(at + 13)) >= 59);
        }
        BOOST_TEST(fixture.requests.size() == 1U);
        restartFirstUpstream(fixture);
        fixture.script = [](Peer& connection, const std::string&, int) { connection.socket->write(successResponse("r1", "done")); };
        BOOST_TEST(contains(fixture.sendRequest("r1", "done"), "done"));
    }
}

// Guards against an earlier refusal that a faulty upstream repeats on a kept connection: it
// must not pass for the answer to a second attempt, which the upstream runs.
BOOST_AUTO_TEST_CASE(RepeatedRefusalDoesNotAnswerALaterAttempt)
{
    Fixture fixture(routes::RequestKind::Streaming, false);
    fixture.configuration.services.front().model = smallModel();
    fixture.configuration.routes.front().mayResume = false;
    fixture.configure();
    // The other engine is full, so that the request waits and is sent to the first one again.
    fixture.proxy.setPeerLoad({ { "u1", { "u1", 1, 1e12 } } });
    // Requests wait for capacity only at a service that has recently answered some.
    fixture.script = [](Peer& connection, const std::string& request, int) { connection.socket->write(successResponse(idOf(request), event(1))); };
    sendRequests(fixture, 10);
    fixture.requests.clear();
    std::shared_ptr<net::StreamSocket> refused;
    fixture.script = [&refused](Peer& connection, const std::string&, int number) {
        if (number == 1) {
            refused = connection.socket;
            connection.socket->write(notRun);
        } else if (refused == connection.socket) {
            connection.socket->write(notRun + streamHead + chunk(event(1)) + "0\r\n\r\n");
        } else {
            connection.socket->write(streamHead + chunk(event(1)) + "0\r\n\r\n");
        }
    };
    auto received = fixture.sendRequest("r1", "0\r\n\r\n");
    BOOST_TEST(contains(received, "id: 1"));
    BOOST_TEST(!contains(received, " 503 "));
    BOOST_TEST(fixture.requests.size() == 2U);
}

// Guards against a status that promises "not run" although the upstream has not said so.
BOOST_AUTO_TEST_CASE(StatusThatPromisesNotRunNeedsTheUpstreamsStatement)
{
    for (const char* status : { "408", "429", "503" }) {
        Fixture fixture(routes::RequestKind::Unsafe);
        fixture.script = [status](Peer& connection, const std::string&, int) { connection.socket->write("HTTP/1.1 " + std::string(status) + " No\r\nSigned: s\r\nId: r1\r\nContent-Length: 0\r\n\r\n"); };
        auto received = fixture.sendRequest("r1", "detail");
        BOOST_TEST(contains(received, "HTTP/1.1 502 "), status);
        BOOST_TEST(!contains(received, "Signed"));
        BOOST_TEST(fixture.requests.size() == 1U);
    }
}
