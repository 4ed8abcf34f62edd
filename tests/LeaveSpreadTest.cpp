#include "tests/FleetNetwork.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using fleet::FleetNetwork;
using fleet::Milliseconds;
using fleet::UpstreamProcess;
using fleet::UpstreamRecord;
using fleet::UpstreamState;

// Far below the time within which a leaving upstream must get no new requests.
static constexpr Milliseconds spreadBound(600);

static UpstreamRecord makeRecord(std::uint64_t sequence)
{
    UpstreamRecord record;
    record.id = "a";
    record.startedAtMilliseconds = 100;
    record.sequence = sequence;
    record.service = "service";
    record.ip = 1;
    record.port = 80;
    return record;
}

// A fleet whose control VMs all know an upstream that reports as ready.
static std::unique_ptr<FleetNetwork> makeFleet()
{
    auto fleet = std::make_unique<FleetNetwork>(5, 170, 91, 20);
    for (auto& vm : fleet->control)
        vm.registry.applyHeartbeat(makeRecord(1), "c", fleet->clock.now());
    fleet->run(Milliseconds(2000));
    return fleet;
}

// What an entry VM does when an answer announces the leave.
static void announce(FleetNetwork& fleet, std::size_t vm)
{
    UpstreamProcess process { "a", 100 };
    fleet.entry[vm].registry.markLeaving(process, fleet.clock.now());
    fleet.entry[vm].poller->reportLeave(process);
}

static std::size_t countReady(const FleetNetwork& fleet)
{
    return static_cast<std::size_t>(std::count_if(fleet.entry.begin(), fleet.entry.end(), [](const auto& vm) {
        const auto* record = vm.registry.find("a");
        return record && record->state == UpstreamState::Ready;
    }));
}

// Guards against a leave that only the VM knows to which the upstream has announced it.
BOOST_AUTO_TEST_CASE(LeaveAnnouncedToOneEntryVmIsKnownToAll)
{
    auto fleet = makeFleet();
    BOOST_TEST(countReady(*fleet) == fleet->entry.size());
    announce(*fleet, 5);
    BOOST_TEST(countReady(*fleet) == fleet->entry.size() - 1);
    fleet->run(spreadBound);
    BOOST_TEST(countReady(*fleet) == 0U);
    for (const auto& vm : fleet->control)
        BOOST_TEST((vm.registry.find("a")->state == UpstreamState::Draining));
}

// Guards against a leave that is lost with the polls during which no control VM answered.
BOOST_AUTO_TEST_CASE(LeaveIsReportedAgainUntilAControlVmHasHeardIt)
{
    auto fleet = makeFleet();
    for (auto& vm : fleet->control)
        vm.isReachable = false;
    announce(*fleet, 5);
    fleet->run(Milliseconds(4000));
    BOOST_TEST(countReady(*fleet) == fleet->entry.size() - 1);
    for (auto& vm : fleet->control)
        vm.isReachable = true;
    fleet->run(Milliseconds(2500));
    BOOST_TEST(countReady(*fleet) == 0U);
}

// Guards against a departure that restarted entry VMs ignore, because it was taken by a control
// VM that holds an older number than the one that gets the heartbeats (review/4, DRAIN).
BOOST_AUTO_TEST_CASE(RestartedEntryVmsLearnOfADepartureAtAnotherControlVm)
{
    for (std::size_t taker = 1; taker < 5; ++taker) {
        auto fleet = makeFleet();
        fleet->control[0].registry.applyHeartbeat(makeRecord(100), "c", fleet->clock.now());
        for (std::size_t i = 0; i < fleet->entry.size(); ++i)
            fleet->restartEntry(i);
        fleet->run(Milliseconds(2000));
        BOOST_TEST(countReady(*fleet) == fleet->entry.size());
        fleet->control[taker].registry.deregister("a", 100, "other", fleet->clock.now());
        fleet->control[taker].server->answerPendingPolls(fleet->clock.now());
        fleet->run(spreadBound);
        BOOST_TEST(countReady(*fleet) == 0U);
    }
}

// Guards against a late heartbeat that makes an upstream ready again after all control VMs were
// restarted: an entry VM that knows better tells them, and so the VMs started since.
BOOST_AUTO_TEST_CASE(EntryVmGivesADepartureBackToRestartedControlVms)
{
    auto fleet = makeFleet();
    fleet->control[2].registry.deregister("a", 100, "c", fleet->clock.now());
    fleet->control[2].server->answerPendingPolls(fleet->clock.now());
    fleet->run(spreadBound);
    for (std::size_t i = 0; i < fleet->control.size(); ++i)
        fleet->restartControl(i);
    for (std::size_t i = 1; i < fleet->entry.size(); ++i)
        fleet->restartEntry(i);
    fleet->run(Milliseconds(1000));
    fleet->control[1].registry.applyHeartbeat(makeRecord(7), "c", fleet->clock.now());
    fleet->control[1].server->answerPendingPolls(fleet->clock.now());
    fleet->run(Milliseconds(1500));
    BOOST_TEST(countReady(*fleet) == 0U);
    BOOST_TEST((fleet->control[1].registry.find("a")->state == UpstreamState::Gone));
}

// Guards against upstreams whose leave was missed by a control VM that has lost its leader, and
// that tells of them as ready; leaves still pass through it.
BOOST_AUTO_TEST_CASE(ControlVmWithoutALeaderTellsARestartedEntryVmOfNoReadyUpstream)
{
    FleetNetwork fleet(1, 170, 3, 20);
    auto& control = fleet.control[0];
    control.registry.applyHeartbeat(makeRecord(1), "c", fleet.clock.now());
    fleet.run(Milliseconds(1500));
    BOOST_TEST(countReady(fleet) == 3U);
    control.server->setCurrent(false, fleet.clock.now());
    fleet.restartEntry(0);
    auto late = makeRecord(1);
    late.id = "b";
    late.ip = 2;
    control.registry.applyHeartbeat(late, "c", fleet.clock.now());
    fleet.run(Milliseconds(3000));
    BOOST_TEST(!fleet.entry[0].registry.find("a"));
    // What is new to a VM that runs on came from a control VM with a leader.
    BOOST_TEST(!fleet.entry[0].registry.find("b"));
    BOOST_TEST(fleet.entry[1].registry.find("b"));
    announce(fleet, 1);
    fleet.run(spreadBound);
    BOOST_TEST(countReady(fleet) == 0U);
    control.server->setCurrent(true, fleet.clock.now());
    fleet.run(Milliseconds(1500));
    for (const auto& vm : fleet.entry) {
        BOOST_REQUIRE(vm.registry.find("a"));
        BOOST_TEST((vm.registry.find("a")->state == UpstreamState::Draining));
        BOOST_REQUIRE(vm.registry.find("b"));
        BOOST_TEST((vm.registry.find("b")->state == UpstreamState::Ready));
    }
}

// Guards against a departure without a start that is acknowledged by control VMs which were all
// restarted and know no start, while the entry VMs know one (review/7).
BOOST_AUTO_TEST_CASE(RestartedControlVmsLearnTheProcessesThatEntryVmsKnow)
{
    auto fleet = makeFleet();
    std::size_t told = 0;
    fleet->pollObserver = [&told](std::size_t, const fleet::FleetPoll& poll) { told += !poll.processes.empty(); };
    for (std::size_t i = 0; i < fleet->control.size(); ++i)
        fleet->restartControl(i);
    for (const auto& vm : fleet->control)
        BOOST_TEST(!vm.server->hasLearnedProcesses(fleet->clock.now()));
    fleet->run(Milliseconds(1200));
    for (const auto& vm : fleet->control) {
        BOOST_TEST(vm.server->hasLearnedProcesses(fleet->clock.now()));
        BOOST_TEST(vm.registry.latestStart("a") == 100);
        BOOST_TEST(vm.registry.latestStart("b") == 0);
    }
    // Not each of the 91 entry VMs need tell all that it knows.
    BOOST_TEST(told < fleet->entry.size() * fleet->control.size() / 2);
    auto& taker = fleet->control[2];
    taker.registry.deregister("a", taker.registry.latestStart("a"), "c", fleet->clock.now());
    fleet->run(spreadBound);
    BOOST_TEST(countReady(*fleet) == 0U);
    // The upstream may start again under its id at once.
    auto next = makeRecord(1);
    next.startedAtMilliseconds = 200;
    fleet->control[0].registry.applyHeartbeat(next, "c", fleet->clock.now());
    fleet->run(spreadBound);
    BOOST_TEST(countReady(*fleet) == fleet->entry.size());
}

// Guards against departures that are refused for good where no entry VM can tell a start: all
// have just been started, or belong to an earlier build.
BOOST_AUTO_TEST_CASE(ControlVmWaitsForTheProcessesOfEntryVmsForALimitedTime)
{
    FleetNetwork fleet(1, 170, 3, 20);
    fleet.run(Milliseconds(2500));
    BOOST_TEST(!fleet.control[0].server->hasLearnedProcesses(fleet.clock.now()));
    fleet.run(Milliseconds(1000));
    BOOST_TEST(fleet.control[0].server->hasLearnedProcesses(fleet.clock.now()));
    fleet.control[0].server->setCurrent(false, fleet.clock.now());
    BOOST_TEST(!fleet.control[0].server->hasLearnedProcesses(fleet.clock.now()));
}
