#include "tests/CrashReports.h"
#include "tests/ForwardingFixture.h"

#include <array>

using namespace arbutus;
using fleet::CrashReportRegistry;
using routes::RequestKind;

// Upstreams that end while they run a call whose target has the word "deadly". Each that has
// ended is replaced by a new one.
struct DeadlyCallFixture : Fixture {
    static constexpr int fleetSize = 3;

    explicit DeadlyCallFixture(RequestKind kind)
        : Fixture(kind, false)
    {
        upstreamCount = fleetSize;
        configure();
        script = [this](Peer& connection, const std::string& request, int) {
            if (!contains(request, "deadly")) {
                connection.socket->write(successResponse(valueOf(request, "Id: "), "sound"));
                return;
            }
            ++deadlyRequests;
            connection.socket->closeAfterWriting();
            replace(valueOf(request, "Upstream: "));
        };
    }

    static std::string valueOf(const std::string& request, const std::string& field)
    {
        auto begin = request.find(field) + field.size();
        return request.substr(begin, request.find('\r', begin) - begin);
    }

    void replace(const std::string& id)
    {
        auto record = *registry.find(id);
        registry.deregister(id, record.startedAtMilliseconds, "", {});
        record.id = "u" + std::to_string(++upstreamCount);
        ++record.startedAtMilliseconds;
        registry.apply(record, {});
        proxy.setUpstreams(registry);
    }

    // Sends a call and passes what was observed on as an entry VM does.
    std::string call(const std::string& callTarget)
    {
        target = callTarget;
        auto received = sendRequest("r" + std::to_string(++calls), "\r\n\r\n");
        auto now = base::TimePoint(std::chrono::steady_clock::now());
        for (const auto& observation : proxy.crashGuard().takeObservations())
            fleet::recordObservation(reports, observation, now);
        for (const auto& report : reports.changesSince(0, now))
            proxy.crashGuard().setSuspicion(report.part, reports.suspicion(report.part, now), now);
        return received;
    }

    CrashReportRegistry reports;
    int calls = 0;
    int deadlyRequests = 0;
};

static constexpr std::array callKinds { RequestKind::Safe, RequestKind::Unsafe };

BOOST_AUTO_TEST_CASE(CallThatCrashesUpstreamsIsHeldBackWhenItIsSentAgain)
{
    constexpr int mostDeadlyRequests = 3;
    for (auto kind : callKinds) {
        DeadlyCallFixture fixture(kind);
        std::string received;
        for (int i = 0; i < 6; ++i)
            received = fixture.call("/deadly?thing=1");
        BOOST_TEST(fixture.deadlyRequests <= mostDeadlyRequests);
        BOOST_TEST(contains(received, "503"));
        BOOST_TEST(contains(received, "Retry-After: "));
    }
}

BOOST_AUTO_TEST_CASE(CallsWithOtherContentAreServedBesideADeadlyOne)
{
    for (auto kind : callKinds) {
        DeadlyCallFixture fixture(kind);
        for (int i = 0; i < 6; ++i) {
            fixture.call("/deadly?thing=1");
            BOOST_TEST(contains(fixture.call("/sound?thing=1"), "200"));
        }
    }
}

// Guards against upstreams that come back under their former ids, answer sound calls before
// their new starts are known, and so clear the call that crashed them (review/9).
BOOST_AUTO_TEST_CASE(UpstreamsBackUnderTheirIdsDoNotClearTheCallThatCrashedThem)
{
    constexpr int mostDeadlyRequests = 4;
    for (auto kind : callKinds) {
        DeadlyCallFixture fixture(kind);
        fixture.script = [&fixture](Peer& connection, const std::string& request, int) {
            if (!contains(request, "deadly")) {
                connection.socket->write(successResponse(DeadlyCallFixture::valueOf(request, "Id: "), "sound"));
                return;
            }
            ++fixture.deadlyRequests;
            connection.socket->closeAfterWriting();
        };
        for (int i = 0; i < 6; ++i) {
            fixture.call("/deadly?thing=1");
            for (int sound = 0; sound < 6; ++sound)
                BOOST_TEST(contains(fixture.call("/sound?number=" + std::to_string(6 * i + sound)), "sound"));
        }
        BOOST_TEST(fixture.deadlyRequests <= mostDeadlyRequests, fixture.deadlyRequests << " upstreams were crashed");
    }
}
