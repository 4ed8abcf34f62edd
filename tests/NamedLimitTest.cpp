#include "include/base/Clock.h"
#include "tests/ForwardingFixture.h"

using namespace arbutus;

static std::string limitedResponse(const std::string& limit) { return "HTTP/1.1 200 OK\r\nSigned: s\r\nId: r1\r\nLimit: " + limit + "\r\nContent-Length: 4\r\n\r\ndone"; }

static bool isSentTo(const std::string& request, const std::string& upstream) { return contains(request, "Upstream: " + upstream); }

BOOST_AUTO_TEST_CASE(RequestsGoToOtherUpstreamsAfterOneNamedALimit)
{
    Fixture fixture(routes::RequestKind::Safe);
    fixture.script = [](Peer& connection, const std::string& request, int) { connection.socket->write(isSentTo(request, "u0") ? limitedResponse("0.3") : successResponse("r1", "done")); };
    constexpr int requests = 8;
    for (int i = 0; i < requests; ++i)
        BOOST_TEST(contains(fixture.sendRequest("r1", "done"), "200 OK"));
    BOOST_TEST(std::count_if(fixture.requests.begin(), fixture.requests.end(), [](const auto& request) { return isSentTo(request, "u0"); }) <= 1);
}

BOOST_AUTO_TEST_CASE(RequestWaitsForAPermitOfTheOnlyUpstream)
{
    Fixture fixture(routes::RequestKind::Unsafe, false);
    fixture.upstreamCount = 1;
    fixture.configure();
    fixture.script = [](Peer& connection, const std::string&, int) { connection.socket->write(limitedResponse("0.3")); };
    BOOST_TEST(contains(fixture.sendRequest("r1", "done"), "200 OK"));
    auto grant = [&fixture] { fixture.proxy.applyLimitReports({ { "u0", 0.3, false, 0, 1, 0 } }, base::bootNow()); };
    grant();
    BOOST_TEST(contains(fixture.sendRequest("r1", "done"), "200 OK"));
    auto refused = fixture.sendRequest("r1", "detail");
    BOOST_TEST(contains(refused, "503"));
    BOOST_TEST(contains(refused, "Retry-After: "));
    bool isGranted = false;
    fixture.script = [&](Peer& connection, const std::string&, int) {
        BOOST_TEST(isGranted);
        connection.socket->write(successResponse("r1", "done"));
    };
    BOOST_TEST(contains(fixture.sendRequest("r1", "done", [&] {
        isGranted = true;
        grant();
    }),
        "200 OK"));
    BOOST_TEST(fixture.requests.size() == 3U);
}

BOOST_AUTO_TEST_CASE(RejectionWithoutALimitDoesNotLiftIt)
{
    Fixture fixture(routes::RequestKind::Safe, false);
    fixture.upstreamCount = 1;
    fixture.configure();
    fixture.script = [](Peer& connection, const std::string&, int number) { connection.socket->write(number == 1 ? limitedResponse("0.3") : "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: r1\r\nContent-Length: 0\r\n\r\n"); };
    BOOST_TEST(contains(fixture.sendRequest("r1", "done"), "200 OK"));
    fixture.proxy.applyLimitReports({ { "u0", 0.3, false, 0, 1, 0 } }, base::bootNow());
    BOOST_TEST(contains(fixture.sendRequest("r1", "detail"), "503"));
    BOOST_TEST(contains(fixture.sendRequest("r1", "detail"), "503"));
    BOOST_TEST(fixture.requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(RestartedUpstreamIsNotLimitedByItsFormerProcess)
{
    Fixture fixture(routes::RequestKind::Safe, false);
    fixture.upstreamCount = 1;
    fixture.configure();
    fixture.script = [](Peer& connection, const std::string&, int number) { connection.socket->write(number == 1 ? limitedResponse("0.3") : successResponse("r1", "done")); };
    BOOST_TEST(contains(fixture.sendRequest("r1", "done"), "200 OK"));
    BOOST_TEST(contains(fixture.sendRequest("r1", "detail"), "503"));
    auto record = *fixture.registry.all().front();
    record.startedAtMilliseconds += 1;
    fixture.registry.apply(record, {});
    fixture.proxy.setUpstreams(fixture.registry);
    BOOST_TEST(contains(fixture.sendRequest("r1", "done"), "200 OK"));
}
