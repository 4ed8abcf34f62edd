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

// A fleet whose control VMs all know an upstream that reports as ready.
static std::unique_ptr<FleetNetwork> makeFleet()
{
    auto fleet = std::make_unique<FleetNetwork>(5, 170, 91, 20);
    UpstreamRecord record;
    record.id = "a";
    record.startedAtMilliseconds = 100;
    record.sequence = 1;
    record.service = "service";
    record.ip = 1;
    record.port = 80;
    for (auto& vm : fleet->control)
        vm.registry.applyHeartbeat(record, "c", fleet->clock.now());
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
    return static_cast<std::size_t>(std::count_if(fleet.entry.begin(), fleet.entry.end(), [](const auto& vm) { return vm.registry.find("a")->state == UpstreamState::Ready; }));
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
