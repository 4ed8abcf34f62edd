#include "include/consensus/ReplicaCore.h"
#include "tests/FleetNetwork.h"
#include "tests/RouteDocument.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using fleet::FleetNetwork;
using fleet::Milliseconds;
using routes::makeDocument;

static constexpr std::size_t manyRoutes = 1640;
// The shortest time within which a confirmed configuration must be in force.
static constexpr Milliseconds applyBound(2000);

// A heartbeat and its answer must not wait longer on a leader's link, or its lease ends.
static Milliseconds heartbeatWaitBound()
{
    consensus::ReplicaSettings settings;
    return std::chrono::duration_cast<Milliseconds>(settings.electionTimeoutMin * 9 / 10 - settings.heartbeatInterval);
}

static std::unique_ptr<FleetNetwork> makeFleet()
{
    auto fleet = std::make_unique<FleetNetwork>(6, 170, 61, 20);
    fleet->commit(1, makeDocument(1, 240));
    fleet->run(Milliseconds(5000));
    fleet->committedAt.clear();
    for (auto& vm : fleet->control)
        vm.longestWait = {};
    return fleet;
}

static void checkAllHave(const FleetNetwork& fleet, const std::string& document)
{
    for (const auto& vm : fleet.entry)
        BOOST_TEST((vm.document == document));
}

BOOST_AUTO_TEST_CASE(LargeConfigurationDoesNotHoldUpHeartbeats)
{
    auto fleet = makeFleet();
    fleet->commit(2, makeDocument(2, manyRoutes));
    fleet->run(Milliseconds(4000));
    checkAllHave(*fleet, makeDocument(2, manyRoutes));
    BOOST_TEST(fleet->longestWait().count() < heartbeatWaitBound().count());
    BOOST_TEST(fleet->slowestApplication().count() < applyBound.count());
}

BOOST_AUTO_TEST_CASE(LargeConfigurationsInQuickSuccessionAreInForceInTime)
{
    auto fleet = makeFleet();
    for (std::uint64_t version = 2; version < 22; ++version) {
        fleet->commit(version, makeDocument(version, manyRoutes));
        fleet->run(Milliseconds(400));
    }
    fleet->run(Milliseconds(4000));
    checkAllHave(*fleet, makeDocument(21, manyRoutes));
    BOOST_TEST(fleet->longestWait().count() < heartbeatWaitBound().count());
    BOOST_TEST(fleet->slowestApplication().count() < applyBound.count());
}

BOOST_AUTO_TEST_CASE(LargeConfigurationReachesAllWhenPreferredControlVmIsDark)
{
    auto fleet = makeFleet();
    fleet->commit(2, makeDocument(2, manyRoutes));
    fleet->run(Milliseconds(3000));
    fleet->committedAt.clear();
    fleet->control[0].isReachable = false;
    fleet->commit(3, makeDocument(3, manyRoutes));
    fleet->run(Milliseconds(4000));
    checkAllHave(*fleet, makeDocument(3, manyRoutes));
    BOOST_TEST(fleet->longestWait().count() < heartbeatWaitBound().count());
    BOOST_TEST(fleet->slowestApplication().count() < applyBound.count());
}

BOOST_AUTO_TEST_CASE(RestartedEntryVmsReceiveWholeConfigurationInTime)
{
    auto fleet = makeFleet();
    fleet->commit(2, makeDocument(2, manyRoutes));
    fleet->run(Milliseconds(3000));
    for (std::size_t i = 0; i < fleet->entry.size(); ++i)
        fleet->startEntry(i);
    for (auto& vm : fleet->control)
        vm.longestWait = {};
    fleet->run(applyBound);
    checkAllHave(*fleet, makeDocument(2, manyRoutes));
    BOOST_TEST(fleet->longestWait().count() < heartbeatWaitBound().count());
}

BOOST_AUTO_TEST_CASE(IncompressibleConfigurationDoesNotHoldUpHeartbeats)
{
    auto fleet = makeFleet();
    base::Random random(9);
    std::string document;
    while (document.size() < (std::size_t { 1 } << 19))
        document.push_back(static_cast<char>(random.below(256)));
    fleet->commit(2, document);
    fleet->run(Milliseconds(8000));
    checkAllHave(*fleet, document);
    BOOST_TEST(fleet->longestWait().count() < heartbeatWaitBound().count());
}

BOOST_AUTO_TEST_CASE(ConfigurationRelativeToOtherContentIsRequestedWhole)
{
    auto fleet = makeFleet();
    auto other = std::make_shared<const std::string>(makeDocument(1, 300));
    for (std::size_t i = 0; i < fleet->control.size(); ++i) {
        fleet->startControl(i);
        fleet->control[i].server->setRoutes(1, other);
    }
    fleet->commit(2, makeDocument(2, 300));
    fleet->run(Milliseconds(4000));
    checkAllHave(*fleet, makeDocument(2, 300));
}
