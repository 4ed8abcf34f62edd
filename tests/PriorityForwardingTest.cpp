#include "tests/ForwardingFixture.h"

#include <algorithm>

using namespace arbutus;

static const std::string refused = "503";

// Routes /urgent/ and /patient/ of a service with a model.
struct PriorityFixture : Fixture {
    PriorityFixture(int urgent, int patient)
        : Fixture(routes::RequestKind::Streaming, false)
    {
        auto model = smallModel();
        // Each of the two engines has room for one such stream.
        model.typicalPromptTokens = 85'000;
        configuration.services.front().model = model;
        auto& first = configuration.routes.front();
        first.pathPrefix = "/urgent/";
        first.priority = urgent;
        auto second = first;
        second.pathPrefix = "/patient/";
        second.priority = patient;
        configuration.routes.push_back(second);
        configure();
        script = [](Peer& connection, const std::string& request, int) {
            auto id = request.substr(request.find("\r\nId: ") + 6, 2);
            connection.socket->write("HTTP/1.1 200 OK\r\nSigned: s\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(event(1)) + "0\r\n\r\n");
        };
    }

    // Tells of far more patient streams than end, and of few urgent ones.
    void overload() { proxy.setDemand({ { "service", "catania", 0, 1, 1, 0 }, { "service", "elsewhere", 1, 600, 0, 0 }, { "service", "catania", 1, 400, 0, 0 }, { "service", "catania", 77, 1e9, 0, 0 }, { "unknown", "catania", 0, 1, 0, 0 } }, std::chrono::steady_clock::now()); }
    std::string call(const std::string& path, const std::string& id, const std::string& fields = {})
    {
        target = path;
        extraFields = fields;
        return sendRequest(id, "\r\n0\r\n\r\n");
    }
    std::size_t reachedEngines() const { return requests.size(); }
};

// Guards against an overload of patient callers that reaches the engines, and against
// refusals that touch urgent callers or streams that have begun.
BOOST_AUTO_TEST_CASE(OverloadIsRefusedByPriorityBeforeItReachesEngines)
{
    PriorityFixture fixture(0, 5);
    BOOST_TEST(contains(fixture.call("/patient/", "r1"), "200 OK"));
    fixture.overload();
    auto answer = fixture.sendRequest("r2", "\r\n\r\n{");
    BOOST_TEST(contains(answer, refused));
    BOOST_TEST(contains(answer, "Retry-After: "));
    BOOST_TEST(contains(answer, "\"notRun\":true"));
    BOOST_TEST(fixture.reachedEngines() == 1U);
    BOOST_TEST(fixture.proxy.counters().refusedByPriority == 1U);
    BOOST_TEST(contains(fixture.call("/urgent/", "r3"), "200 OK"));
    BOOST_TEST(contains(fixture.call("/patient/", "r4", "After: 0\r\n"), "200 OK"));
    BOOST_TEST(fixture.reachedEngines() == 3U);
}

// Guards against an admission at services whose routes have one priority, also when a
// configuration makes them so during an overload.
BOOST_AUTO_TEST_CASE(ServiceWithOnePriorityAdmitsEverything)
{
    PriorityFixture fixture(3, 3);
    fixture.overload();
    BOOST_TEST(contains(fixture.call("/patient/", "r1"), "200 OK"));
    fixture.configuration.routes.back().priority = 4;
    fixture.configure();
    fixture.overload();
    BOOST_TEST(contains(fixture.sendRequest("r2", "\r\n\r\n{"), refused));
    fixture.configuration.routes.back().priority = 3;
    fixture.configure();
    BOOST_TEST(contains(fixture.call("/patient/", "r3"), "200 OK"));
}

// Guards against engines that learn a priority which callers choose, that is out of range, or
// that routes do not differ in.
BOOST_AUTO_TEST_CASE(EnginesGetTheRankOfThePriority)
{
    PriorityFixture fixture(-2'000'000'000, 2'000'000'000);
    fixture.configuration.teams = { { "team", { "key" }, 5 } };
    fixture.configuration.routes.front().isPublic = fixture.configuration.routes.back().isPublic = true;
    fixture.configure();
    fixture.call("/urgent/", "r1", "Priority: 7\r\n");
    BOOST_TEST(contains(fixture.requests.back(), "Priority: 0\r\n"));
    BOOST_TEST(!contains(fixture.requests.back(), "Priority: 7\r\n"));
    fixture.call("/patient/", "r2");
    BOOST_TEST(contains(fixture.requests.back(), "Priority: 2\r\n"));
    // The caller has had a part of the stream.
    fixture.call("/patient/", "r3", "After: 0\r\n");
    BOOST_TEST(contains(fixture.requests.back(), "Priority: 0\r\n"));

    PriorityFixture other(2, 2);
    other.call("/patient/", "r1", "Priority: 7\r\n");
    BOOST_TEST(!contains(other.requests.back(), "Priority: "));
}

// Guards against a stream that loses its engine and has to wait behind new ones.
BOOST_AUTO_TEST_CASE(ResumedStreamGoesFirst)
{
    PriorityFixture fixture(0, 5);
    fixture.script = [](Peer& connection, const std::string&, int number) {
        connection.socket->write(streamHead + chunk(event(number)) + (number == 1 ? "" : "0\r\n\r\n"));
        if (number == 1)
            connection.socket->closeAfterWriting();
    };
    fixture.call("/patient/", "r1");
    BOOST_REQUIRE(fixture.requests.size() == 2);
    BOOST_TEST(contains(fixture.requests[0], "Priority: 1\r\n"));
    BOOST_TEST(contains(fixture.requests[1], "Priority: 0\r\n"));
}

// Guards against demand that is reported under a wrong class, or not at all.
BOOST_AUTO_TEST_CASE(DemandIsReportedByClass)
{
    PriorityFixture fixture(10, 20);
    BOOST_TEST(fixture.proxy.ownDemand(std::chrono::steady_clock::now()).empty());
    fixture.call("/patient/", "r1");
    fixture.script = [](Peer& connection, const std::string&, int) { connection.socket->write("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: r2\r\nContent-Length: 0\r\n\r\n"); };
    fixture.sendRequest("r2", "\r\n\r\n{");
    auto rows = fixture.proxy.ownDemand(std::chrono::steady_clock::now());
    BOOST_REQUIRE(rows.size() == 1);
    BOOST_TEST(rows[0].service == "service");
    BOOST_TEST(rows[0].dataCentre == "catania");
    BOOST_TEST(rows[0].priority == 1);
    BOOST_TEST(rows[0].arrivals > rows[0].completions);
    BOOST_TEST(rows[0].completions > 0);
    BOOST_TEST(rows[0].refusals > 0);
}
