#include "tests/FleetNetwork.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using fleet::CrashReport;
using fleet::CrashReportRegistry;
using fleet::FleetNetwork;
using fleet::Milliseconds;

static constexpr std::uint64_t part = 11;
// Well below the shortest time after which the VMs must act alike.
static constexpr Milliseconds spreadBound(600);

static std::unique_ptr<FleetNetwork> makeFleet()
{
    auto fleet = std::make_unique<FleetNetwork>(3, 170, 61, 20);
    fleet->run(Milliseconds(2000));
    return fleet;
}

static std::size_t countSuspecting(FleetNetwork& fleet)
{
    return static_cast<std::size_t>(std::count_if(fleet.entry.begin(), fleet.entry.end(), [&](const auto& vm) { return vm.crashReports.suspicion(part, fleet.clock.now()).origins.size() > 0; }));
}

static void report(FleetNetwork& fleet, std::size_t vm, std::uint64_t crash) { fleet.entry[vm].crashReports.apply({ part, crash, 0, false, 0 }, fleet.clock.now()); }

// Checks that all entry VMs learn of the report, and then of an answer that one VM gets.
static void checkSpreadAndRefutation(FleetNetwork& fleet)
{
    fleet.run(spreadBound);
    BOOST_TEST(countSuspecting(fleet) == fleet.entry.size());
    fleet.entry[7].crashReports.refute(part, fleet.clock.now());
    fleet.run(spreadBound);
    BOOST_TEST(countSuspecting(fleet) == 0U);
}

BOOST_AUTO_TEST_CASE(CrashSeenByOneEntryVmIsKnownToAll)
{
    auto fleet = makeFleet();
    report(*fleet, 5, 1);
    checkSpreadAndRefutation(*fleet);
}

// Guards against VMs that go on sending a deadly part while a poll waits for its answer.
BOOST_AUTO_TEST_CASE(CrashIsKnownToAllBeforeOtherSuchRequestsAreAnswered)
{
    // Engines began to answer requests 60 ms and more after these were sent.
    constexpr Milliseconds shortestAnswer(60);
    auto fleet = makeFleet();
    for (std::size_t vm = 0; vm < 10; ++vm) {
        fleet->run(Milliseconds(37));
        fleet->entry[vm].crashReports.apply({ part + vm, 1, 0, false, 0 }, fleet->clock.now());
        fleet->entry[vm].poller->sendCrashReports();
        fleet->run(shortestAnswer);
        for (const auto& other : fleet->entry)
            BOOST_TEST(!other.crashReports.suspicion(part + vm, fleet->clock.now()).origins.empty());
    }
}

BOOST_AUTO_TEST_CASE(CrashesSeenByDifferentVmsAddUpAndOneCrashCountsOnce)
{
    auto fleet = makeFleet();
    report(*fleet, 1, 1);
    report(*fleet, 2, 1);
    report(*fleet, 3, 2);
    fleet->run(spreadBound);
    for (const auto& vm : fleet->entry)
        BOOST_TEST(vm.crashReports.suspicion(part, fleet->clock.now()).origins.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ReportsSurviveRestartsAndLostContact)
{
    auto fleet = makeFleet();
    fleet->control[1].isReachable = false;
    report(*fleet, 5, 1);
    fleet->run(spreadBound);
    // All control VMs start anew, one after the other, and so does the VM that saw the crash.
    for (std::size_t i = 0; i < fleet->control.size(); ++i) {
        fleet->control[i].isReachable = true;
        fleet->control[i].crashReports = {};
        fleet->startControl(i);
        fleet->run(Milliseconds(1500));
    }
    fleet->entry[5].crashReports = {};
    fleet->startEntry(5);
    fleet->run(spreadBound);
    BOOST_TEST(countSuspecting(*fleet) == fleet->entry.size());
}

BOOST_AUTO_TEST_CASE(AnswerClearsAnOldSuspicionAtAllVms)
{
    auto fleet = makeFleet();
    constexpr std::uint32_t hourOld = 3600 * 1000;
    fleet->entry[5].crashReports.apply({ part, 1, 0, false, hourOld }, fleet->clock.now());
    checkSpreadAndRefutation(*fleet);
}

// Guards against a restarted VM that sends waiting requests before it knows the reports.
BOOST_AUTO_TEST_CASE(RestartedEntryVmKnowsCrashReportsBeforeItsConfiguration)
{
    auto fleet = makeFleet();
    fleet->commit(1, "routes");
    report(*fleet, 5, 1);
    fleet->run(spreadBound);
    auto& vm = fleet->entry[5];
    vm.crashReports = {};
    fleet->startEntry(5);
    bool isWarned = false;
    std::optional<bool> wasWarnedBefore;
    vm.poller->setCrashReportsHandler([&isWarned] { isWarned = true; });
    auto applyRoutes = [&](auto&&...) {
        wasWarnedBefore = wasWarnedBefore.value_or(isWarned);
        return true;
    };
    vm.poller->setEntryHooks(applyRoutes, [] { return std::vector<fleet::UpstreamInFlightLoad>(); });
    fleet->run(spreadBound);
    BOOST_TEST(wasWarnedBefore.value_or(false));
}

// Guards against refusing callers because an upstream spoilt one answer.
BOOST_AUTO_TEST_CASE(UpstreamThatAnswersLaterRequestsIsNotTakenForCrashed)
{
    auto fleet = makeFleet();
    auto sentBefore = fleet->clock.now();
    fleet->run(Milliseconds(50));
    report(*fleet, 5, 1);
    fleet->run(spreadBound);
    auto& other = fleet->entry[7].crashReports;
    other.refuteCrash(1, sentBefore, std::nullopt, fleet->clock.now());
    other.refuteCrash(2, fleet->clock.now(), std::nullopt, fleet->clock.now());
    fleet->run(spreadBound);
    BOOST_TEST(countSuspecting(*fleet) == fleet->entry.size());
    other.refuteCrash(1, fleet->clock.now(), std::nullopt, fleet->clock.now());
    fleet->run(spreadBound);
    BOOST_TEST(countSuspecting(*fleet) == 0U);
}

// Guards against an upstream that starts again under its id and refutes the crash of the
// process before it by its first answers (review/9).
BOOST_AUTO_TEST_CASE(AnswerOnANewConnectionDoesNotRefuteACrash)
{
    auto fleet = makeFleet();
    fleet->run(Milliseconds(5000));
    const auto crashedAt = fleet->clock.now();
    report(*fleet, 5, 1);
    fleet->run(spreadBound);
    auto& other = fleet->entry[7].crashReports;
    for (auto connectedAt : { fleet->clock.now(), crashedAt + Milliseconds(1), crashedAt }) {
        other.refuteCrash(1, fleet->clock.now(), connectedAt, fleet->clock.now());
        fleet->run(spreadBound);
        BOOST_TEST(countSuspecting(*fleet) == fleet->entry.size());
    }
    other.refuteCrash(1, fleet->clock.now(), crashedAt - std::chrono::seconds(4), fleet->clock.now());
    fleet->run(spreadBound);
    BOOST_TEST(countSuspecting(*fleet) == 0U);
}

BOOST_AUTO_TEST_CASE(ReportsEndAfterTheirLifetimeAndAreBounded)
{
    CrashReportRegistry registry;
    base::TimePoint now {};
    constexpr std::size_t bound = 512;
    for (std::uint64_t crash = 0; crash < 2 * bound; ++crash)
        registry.apply({ part, crash, 0, crash % 2 == 0, 0 }, now);
    BOOST_TEST(registry.size() == bound);
    BOOST_TEST(registry.suspicion(part, now).origins.size() == bound);
    registry.expire(now + CrashReportRegistry::reportLifetime);
    BOOST_TEST(registry.size() == 0U);
}

// Guards against VMs that tell each other the same report without end.
BOOST_AUTO_TEST_CASE(KnownReportIsNoChange)
{
    CrashReportRegistry registry;
    base::TimePoint now { Milliseconds(5000) };
    BOOST_TEST(registry.apply({ part, 1, 0, false, 100 }, now));
    BOOST_TEST(!registry.apply({ part, 1, 0, false, 0 }, now));
    BOOST_TEST(registry.apply({ part, 1, 0, true, 0 }, now));
    BOOST_TEST(!registry.apply({ part, 1, 0, false, 900 }, now));
    BOOST_TEST(registry.suspicion(part, now).origins.size() == 0U);
}

BOOST_AUTO_TEST_CASE(SingleReportsDoNotPushOutAPartOfSeveralCrashes)
{
    CrashReportRegistry registry;
    const base::TimePoint now { std::chrono::hours(1) };
    registry.apply({ part, 1, 0, false, 2000 }, now);
    registry.apply({ part, 2, 0, false, 1000 }, now);
    constexpr std::uint64_t others = 2000;
    for (std::uint64_t other = 0; other < others; ++other)
        registry.apply({ part + 1 + other, 3, 0, false, 0 }, now);
    BOOST_TEST(registry.suspicion(part, now).origins.size() == 2U);
}
