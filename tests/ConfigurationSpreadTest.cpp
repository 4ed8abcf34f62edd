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

// Guards against a restarted entry VM that follows a control VM which missed a change and has
// lost its leader (review/8), and against one that runs on and learns of no later version.
BOOST_AUTO_TEST_CASE(RestartedEntryVmTakesNoConfigurationFromAControlVmWithoutALeader)
{
    FleetNetwork fleet(3, 170, 2, 20);
    static constexpr std::size_t behind = 1;
    const auto setRoutes = [&](std::size_t i, std::uint64_t version) { fleet.control[i].server->setRoutes(version, std::make_shared<const std::string>(fmt::format("version {}", version))); };
    for (std::size_t i : { 0, 1, 2 })
        setRoutes(i, 5);
    fleet.run(Milliseconds(1500));
    BOOST_TEST(fleet.entry[0].version == 5U);
    // The second entry VM is cut off while the others learn of the change.
    for (std::size_t i : { 0, 2 }) {
        fleet.setReachable(1, i, false);
        setRoutes(i, 9);
    }
    fleet.control[behind].server->setCurrent(false, fleet.clock.now());
    fleet.run(Milliseconds(1500));
    BOOST_TEST(fleet.entry[0].version == 9U);
    for (std::size_t i : { 0, 2 })
        fleet.control[i].isReachable = false;
    fleet.restartEntry(0);
    fleet.run(Milliseconds(6000));
    BOOST_TEST(fleet.entry[0].version == 0U);
    // What it has committed meanwhile is newer than what the running one has.
    setRoutes(behind, 7);
    fleet.run(Milliseconds(1500));
    BOOST_TEST(fleet.entry[0].version == 0U);
    BOOST_TEST(fleet.entry[1].version == 7U);
    setRoutes(behind, 9);
    fleet.control[behind].server->setCurrent(true, fleet.clock.now());
    fleet.run(Milliseconds(1500));
    for (const auto& vm : fleet.entry)
        BOOST_TEST(vm.version == 9U);
}

// A core of three control VMs with their disks, whose reports a test sets.
class ReportingCore {
public:
    explicit ReportingCore(FleetNetwork& fleet)
        : fleet_(fleet)
    {
        for (std::size_t i = 0; i < fleet.control.size(); ++i) {
            reports_.push_back({ true, 0, 100, {}, 0, 0, {} });
            voters_.push_back({ i, 1 });
        }
        for (std::size_t i = 0; i < fleet.control.size(); ++i) {
            start(i);
            setVersion(i, 5);
        }
    }

    void start(std::size_t i)
    {
        fleet_.control[i].server->setVersionReporter([this, i] { return reports_[i]; });
    }

    void setVersion(std::size_t i, std::uint64_t version)
    {
        reports_[i].version = version;
        fleet_.control[i].server->setRoutes(version, std::make_shared<const std::string>(fmt::format("version {}", version)));
    }

    void loseLeader(std::size_t i)
    {
        reports_[i] = { false, reports_[i].version, 0, voters_[i], 1, 1, { voters_ } };
        fleet_.control[i].server->setCurrent(false, fleet_.clock.now());
    }

    void findLeader(std::size_t i)
    {
        reports_[i] = { true, reports_[i].version, 100, {}, 0, 0, {} };
        fleet_.control[i].server->setCurrent(true, fleet_.clock.now());
    }

    void loseDisk(std::size_t i)
    {
        fleet_.restartControl(i);
        start(i);
        reports_[i] = { false, 0, 0, { i, 2 }, 0, 0, {} };
        fleet_.control[i].server->setCurrent(false, fleet_.clock.now());
    }

private:
    FleetNetwork& fleet_;
    std::vector<fleet::VersionReport> reports_;
    std::vector<fleet::ReportedVoter> voters_;
};

// Whether the first entry VM serves at each moment of this time.
static bool servesFor(FleetNetwork& fleet, Milliseconds duration)
{
    bool isServing = true;
    for (const auto end = fleet.clock.now() + duration; fleet.clock.now() < end; fleet.run(Milliseconds(10)))
        isServing = isServing && !fleet.entry[0].poller->mayRoutesBeOutdated();
    return isServing;
}

// Guards against an entry VM that missed a change, by a standstill or by the end of the control
// VMs that had committed it, and goes on with the older version while it meets only a control
// VM that missed it too and one that has lost its disk (review/15).
BOOST_AUTO_TEST_CASE(EntryVmWithoutProofOfItsConfigurationServesNothing)
{
    FleetNetwork fleet(3, 170, 1, 20);
    ReportingCore core(fleet);
    BOOST_TEST(servesFor(fleet, Milliseconds(3000)));
    // The others commit a change, and end before the entry VM learns of it.
    const auto changedAt = fleet.clock.now();
    core.loseLeader(0);
    for (std::size_t i : { 1, 2 })
        fleet.control[i].isReachable = false;
    fleet.run(Milliseconds(1200));
    core.loseDisk(1);
    fleet.control[1].isReachable = true;
    fleet.run(std::chrono::duration_cast<Milliseconds>(changedAt + applyBound - fleet.clock.now()));
    for (int i = 0; i < 300; ++i) {
        BOOST_REQUIRE(fleet.entry[0].poller->mayRoutesBeOutdated());
        fleet.run(Milliseconds(10));
    }
    core.setVersion(2, 9);
    fleet.control[2].isReachable = true;
    fleet.run(Milliseconds(1500));
    BOOST_TEST(fleet.entry[0].version == 9U);
    core.setVersion(0, 9);
    for (std::size_t i : { 0, 2 })
        core.findLeader(i);
    fleet.run(Milliseconds(500));
    BOOST_TEST(servesFor(fleet, Milliseconds(3000)));
}

// Guards against entry VMs that refuse what they could serve while the core is dark, has no
// leader, restarts with its disks or is split.
BOOST_AUTO_TEST_CASE(EntryVmServesOnWhileTheCoreIsDarkOrHasNoLeader)
{
    FleetNetwork fleet(3, 170, 1, 20);
    ReportingCore core(fleet);
    BOOST_TEST(servesFor(fleet, Milliseconds(3000)));
    for (auto& vm : fleet.control)
        vm.isReachable = false;
    BOOST_TEST(servesFor(fleet, Milliseconds(10000)));
    // All are back at the same moment, restarted, and none leads.
    for (std::size_t i : { 0, 1, 2 }) {
        core.loseLeader(i);
        fleet.control[i].isReachable = true;
    }
    BOOST_TEST(servesFor(fleet, Milliseconds(5000)));
    for (std::size_t i : { 0, 1, 2 })
        core.findLeader(i);
    BOOST_TEST(servesFor(fleet, Milliseconds(3000)));
    // The leader ends; the two others are voters with their disks.
    fleet.control[0].isReachable = false;
    fleet.run(Milliseconds(600));
    for (std::size_t i : { 1, 2 })
        core.loseLeader(i);
    BOOST_TEST(servesFor(fleet, Milliseconds(5000)));
    // Only one is left: this VM is out of touch.
    fleet.control[1].isReachable = false;
    BOOST_TEST(servesFor(fleet, Milliseconds(5000)));
}

// Guards against entry VMs that refuse everything while the control VMs are of the landing
// before and report nothing.
BOOST_AUTO_TEST_CASE(EntryVmServesBesideControlVmsThatReportNoVersions)
{
    FleetNetwork fleet(3, 170, 1, 20);
    for (auto& vm : fleet.control)
        vm.server->setRoutes(5, std::make_shared<const std::string>("version 5"));
    BOOST_TEST(servesFor(fleet, Milliseconds(5000)));
    BOOST_TEST(fleet.entry[0].version == 5U);
}
