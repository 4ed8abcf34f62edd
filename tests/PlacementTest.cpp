#include "include/placement/ControllerLease.h"
#include "include/placement/PlacementPlanner.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>

using namespace arbutus;
using namespace arbutus::placement;
using namespace std::chrono_literals;

static sheet::Sheet sheetWith(const std::string& version, const std::string& upstreams = "large")
{
    auto sheet = sheet::Sheet::Make("kind,team,model,version,adapter,priority,weight,max_running,max_rate,upstreams,service,repeatable,layers\n"
                                    "model,fiere,scriba,"
        + version + ",,6,4,48,40," + upstreams + ",,,48\n");
    BOOST_REQUIRE(sheet);
    return sheet.value();
}

// Simulates engines that execute a command after a fixed time, and a planner that runs
// once a second.
struct Fleet {
    struct Engine {
        EngineView view;
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        // Whether its loads fail.
        bool isFailing = false;
    };
    struct Running {
        PlacementCommand command;
        base::TimePoint completesAt;
    };

    PlacementPlanner::Options options;
    PlacementPlanner planner;
    base::TimePoint now { 1h };
    std::map<std::string, Engine> engines;
    std::vector<Running> running;
    std::size_t maxConcurrentDownloads = 0;
    std::vector<PlacementCommand> sentCommands;

    explicit Fleet(PlacementPlanner::Options given)
        : options(given)
        , planner(given)
    {
    }

    void add(const std::string& id, std::uint32_t first, std::uint32_t last, const std::vector<std::string>& versions)
    {
        engines[id] = { { id, "large", 1, true, {} }, first, last, false };
        for (const auto& version : versions)
            apply(engines[id], PlacementAction::Load, version);
    }

    static void apply(Engine& engine, PlacementAction action, const std::string& version)
    {
        auto& holdings = engine.view.holdings;
        holdings.erase(std::remove_if(holdings.begin(), holdings.end(), [&](const auto& holding) { return holding.version == version; }), holdings.end());
        if (action == PlacementAction::Load)
            holdings.push_back({ "scriba", version, engine.first, engine.last });
    }

    void step(const sheet::Sheet& sheet)
    {
        now += 1s;
        for (auto it = running.begin(); it != running.end();) {
            if (it->completesAt > now) {
                ++it;
                continue;
            }
            auto& engine = engines[it->command.engine];
            bool hasSucceeded = !(engine.isFailing && it->command.action == PlacementAction::Load) && engine.view.incarnation == it->command.engineIncarnation;
            if (hasSucceeded)
                apply(engine, it->command.action, it->command.version);
            planner.finish(it->command.id, hasSucceeded, "simulated failure", now);
            it = running.erase(it);
        }
        std::vector<EngineView> views;
        for (const auto& [id, engine] : engines)
            views.push_back(engine.view);
        for (const auto& command : planner.plan(sheet, views, 7, now)) {
            sentCommands.push_back(command);
            running.push_back({ command, now + (command.action == PlacementAction::Load ? 3s : 1s) });
        }
        maxConcurrentDownloads = std::max(maxConcurrentDownloads, static_cast<std::size_t>(std::count_if(running.begin(), running.end(), [](const auto& entry) { return entry.command.action == PlacementAction::Load; })));
    }

    // Steps until all engines whose loads do not fail hold exactly `version`. Calls `check`
    // after each step. Returns the number of seconds, or -1 after `limit` seconds.
    int converge(
        const sheet::Sheet& sheet, const std::string& version, int limit, const std::function<void()>& check = [] {})
    {
        for (int second = 0; second < limit; ++second) {
            step(sheet);
            check();
            bool isDone = std::all_of(engines.begin(), engines.end(), [&](const auto& entry) {
                const auto& holdings = entry.second.view.holdings;
                return entry.second.isFailing || (holdings.size() == 1 && holdings[0].version == version);
            });
            if (isDone && running.empty())
                return second;
        }
        return -1;
    }

    // Returns the number of engines in the range that hold any version and are not busy.
    std::size_t availableCount(std::uint32_t first) const
    {
        return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [&](const auto& entry) {
            bool isBusy = std::any_of(running.begin(), running.end(), [&](const auto& change) { return change.command.engine == entry.first; });
            return entry.second.first == first && !entry.second.view.holdings.empty() && !isBusy;
        }));
    }

    bool holds(const std::string& id, const std::string& version) const
    {
        const auto& holdings = engines.at(id).view.holdings;
        return std::any_of(holdings.begin(), holdings.end(), [&](const auto& holding) { return holding.version == version; });
    }
};

static Fleet makeFleet(const std::vector<std::string>& versions, std::size_t minServing = 1, std::size_t maxDownloads = 2)
{
    PlacementPlanner::Options options;
    options.unloadGrace = 10s;
    options.minServing = minServing;
    options.maxDownloads = maxDownloads;
    Fleet fleet(options);
    for (int i = 0; i < 9; ++i) {
        auto first = static_cast<std::uint32_t>(i % 3 * 16);
        fleet.add("engine-" + std::to_string(i), first, first + 15, versions);
    }
    return fleet;
}

// Guards against a roll-out with fewer available engines in a layer range than the
// minimum, even when many concurrent downloads are allowed.
BOOST_AUTO_TEST_CASE(RollOutKeepsMinimumServingPerLayerRange)
{
    for (std::size_t downloads : { 1, 2, 9 }) {
        auto fleet = makeFleet({ "1" }, 2, downloads);
        int elapsedSeconds = fleet.converge(sheetWith("2"), "2", 300, [&] {
            for (std::uint32_t first : { 0, 16, 32 })
                BOOST_REQUIRE_GE(fleet.availableCount(first), 2);
        });
        BOOST_TEST(elapsedSeconds >= 0);
    }
}

// Guards against unloading the old version before every range can serve the new one, and
// against aborting streams of the old version within the grace time.
BOOST_AUTO_TEST_CASE(KeepsOldVersionUntilEveryRangeHasNewOneAndGraceEnds)
{
    auto fleet = makeFleet({ "1" });
    for (auto& [id, engine] : fleet.engines)
        engine.isFailing = engine.first == 32;
    for (int second = 0; second < 60; ++second)
        fleet.step(sheetWith("2"));
    BOOST_TEST(std::none_of(fleet.sentCommands.begin(), fleet.sentCommands.end(), [](const auto& command) { return command.action == PlacementAction::Unload; }));
    for (auto& [id, engine] : fleet.engines)
        engine.isFailing = false;
    std::optional<base::TimePoint> readyAt;
    int elapsedSeconds = fleet.converge(sheetWith("2"), "2", 300, [&] {
        bool isReady = fleet.holds("engine-2", "2") || fleet.holds("engine-5", "2") || fleet.holds("engine-8", "2");
        if (isReady && !readyAt)
            readyAt = fleet.now;
        bool unloads = std::any_of(fleet.running.begin(), fleet.running.end(), [](const auto& entry) { return entry.command.action == PlacementAction::Unload; });
        BOOST_REQUIRE(!unloads || (readyAt && fleet.now >= *readyAt + 10s));
    });
    BOOST_TEST(elapsedSeconds >= 0);
}

// Guards against a roll-out that completes one layer range while another has no engine
// with the new version, so that no pipeline can serve the version.
BOOST_AUTO_TEST_CASE(LoadsNewVersionInEveryRangeFirst)
{
    PlacementPlanner::Options options;
    options.maxDownloads = 1;
    Fleet fleet(options);
    for (const char* id : { "a0", "a1", "a2" })
        fleet.add(id, 0, 15, { "1" });
    for (const char* id : { "b0", "b1" })
        fleet.add(id, 16, 31, { "1" });
    while (fleet.sentCommands.size() < 2)
        fleet.step(sheetWith("2"));
    BOOST_TEST(fleet.sentCommands[0].engine == "a0");
    BOOST_TEST(fleet.sentCommands[1].engine == "b0");
}

// Guards against overloading the rate-limited weight store.
BOOST_AUTO_TEST_CASE(LimitsConcurrentDownloads)
{
    auto fleet = makeFleet({}, 1, 3);
    BOOST_TEST(fleet.converge(sheetWith("1"), "1", 100) >= 0);
    BOOST_TEST(fleet.maxConcurrentDownloads == 3);
}

// Guards against an engine that stays without its model after it restarts empty, also
// when it restarts during a load.
BOOST_AUTO_TEST_CASE(ReloadsEngineThatRestartedEmpty)
{
    auto fleet = makeFleet({ "1" });
    for (int restart = 0; restart < 2; ++restart) {
        auto& view = fleet.engines["engine-4"].view;
        view.holdings.clear();
        ++view.incarnation;
        fleet.step(sheetWith("1"));
        BOOST_REQUIRE_EQUAL(fleet.sentCommands.size(), restart + 1);
        BOOST_TEST(fleet.sentCommands.back().engine == "engine-4");
        BOOST_TEST(fleet.sentCommands.back().engineIncarnation == view.incarnation);
    }
    BOOST_TEST(fleet.converge(sheetWith("1"), "1", 20) >= 0);
}

// Guards against an engine with failing loads that uses up the download limit, and
// against retries without backoff.
BOOST_AUTO_TEST_CASE(FailingEngineBacksOffWithoutBlockingOthers)
{
    auto fleet = makeFleet({ "1" }, 1, 1);
    fleet.engines["engine-0"].isFailing = true;
    BOOST_TEST(fleet.converge(sheetWith("2"), "2", 200) >= 0);
    auto failed = fleet.planner.failedCommands();
    BOOST_REQUIRE_EQUAL(failed.size(), 1);
    BOOST_TEST(failed[0].engine == "engine-0");
    BOOST_TEST(failed[0].detail == "simulated failure");
    std::size_t before = fleet.sentCommands.size();
    for (int second = 0; second < 300; ++second)
        fleet.step(sheetWith("2"));
    // One attempt per minute after the backoff has reached its maximum.
    BOOST_TEST(fleet.sentCommands.size() - before <= 6);
    BOOST_TEST(fleet.sentCommands.size() - before >= 3);
    fleet.engines["engine-0"].isFailing = false;
    BOOST_TEST(fleet.converge(sheetWith("2"), "2", 200) >= 0);
    BOOST_TEST(fleet.planner.failedCommands().empty());
}

// Guards against a roll-out that gets stuck, or ends with mixed versions, when another
// sheet arrives before it is complete.
BOOST_AUTO_TEST_CASE(ConvergesWhenSheetChangesDuringRollOut)
{
    for (int changeAt : { 1, 4, 9, 20, 25, 30 }) {
        for (const char* last : { "1", "3" }) {
            auto fleet = makeFleet({ "1" });
            for (int second = 0; second < changeAt; ++second)
                fleet.step(sheetWith("2"));
            BOOST_TEST(fleet.converge(sheetWith(last), last, 300, [&] {
                for (std::uint32_t first : { 0, 16, 32 })
                    BOOST_REQUIRE_GE(fleet.availableCount(first), 1);
            }) >= 0);
        }
    }
}

// Guards against loads on engines of a class that the sheet's row does not name.
BOOST_AUTO_TEST_CASE(DoesNotLoadEnginesOfAnotherClass)
{
    auto fleet = makeFleet({});
    fleet.engines["engine-3"].view.accelerator = "small";
    for (int second = 0; second < 60; ++second)
        fleet.step(sheetWith("1"));
    BOOST_TEST(fleet.engines["engine-3"].view.holdings.empty());
    BOOST_TEST(fleet.holds("engine-0", "1"));
    BOOST_TEST(fleet.converge(sheetWith("1", "any"), "1", 60) >= 0);
}

// Guards against lasting effects of a former controller's late commands on engines that
// ignore fencing numbers.
BOOST_AUTO_TEST_CASE(RepairsLateCommandsOfFormerController)
{
    auto fleet = makeFleet({ "2" });
    fleet.step(sheetWith("2"));
    BOOST_TEST(fleet.sentCommands.empty());
    Fleet::apply(fleet.engines["engine-1"], PlacementAction::Unload, "2");
    Fleet::apply(fleet.engines["engine-5"], PlacementAction::Load, "1");
    BOOST_TEST(fleet.converge(sheetWith("2"), "2", 30) >= 0);
    BOOST_TEST(fleet.sentCommands.size() == 2);
}

// Guards against an engine that accepts a command but never executes it.
BOOST_AUTO_TEST_CASE(ExecutedCommandWithoutEffectCountsAsFailure)
{
    PlacementPlanner planner { PlacementPlanner::Options() };
    base::TimePoint now(1h);
    std::vector<EngineView> engines { { "engine-0", "large", 1, true, {} } };
    auto commands = planner.plan(sheetWith("1"), engines, 7, now);
    BOOST_REQUIRE_EQUAL(commands.size(), 1);
    BOOST_TEST(commands[0].fencingNumber == 7);
    planner.finish(commands[0].id, true, "", now);
    BOOST_TEST(planner.plan(sheetWith("1"), engines, 7, now + 3s).empty());
    BOOST_TEST(planner.plan(sheetWith("1"), engines, 7, now + 4s).empty());
    BOOST_REQUIRE_EQUAL(planner.failedCommands().size(), 1);
    BOOST_TEST(planner.plan(sheetWith("1"), engines, 7, now + 5s).size() == 1);
}

// Guards against two controllers that act at the same time: a former one that is isolated
// right after its last fencing number, and its successor. A longer lease simulates a clock
// drift between them of almost the configured maximum.
BOOST_AUTO_TEST_CASE(IsolatedControllerStopsBeforeSuccessorActs)
{
    base::TimePoint start(1h);
    ControllerLease::Options slow;
    slow.length = 5450ms;
    ControllerLease former(slow);
    ControllerLease successor;
    former.grant(1, start, start + 10ms);
    former.grant(2, start + 6s, start + 6010ms);
    BOOST_TEST(former.fencingNumberAt(start + 6010ms).value_or(0) == 2);
    successor.grant(3, start + 5900ms, start + 6020ms);
    std::uint64_t number = 4;
    bool hasActed = false;
    for (auto time = start + 6020ms; time < start + 60s; time += 10ms) {
        if (successor.needsFencingNumber(time))
            successor.grant(number++, time, time);
        BOOST_REQUIRE(!(former.fencingNumberAt(time) && successor.fencingNumberAt(time)));
        hasActed = hasActed || successor.fencingNumberAt(time);
    }
    BOOST_TEST(hasActed);
    BOOST_TEST(!former.fencingNumberAt(start + 6s + slow.length));
}

// Guards against two VMs that both consider themselves the candidate, because their member
// tables differ, and alternately act between each other's fencing numbers.
BOOST_AUTO_TEST_CASE(ContendingControllersNeverActConcurrently)
{
    base::TimePoint start(1h);
    ControllerLease first;
    ControllerLease second;
    std::uint64_t number = 0;
    bool hasSecondActed = false;
    for (auto time = start; time < start + 60s; time += 100ms) {
        // The second VM contends from 20 s to 40 s, the first VM until 30 s.
        if (time < start + 30s && first.needsFencingNumber(time))
            first.grant(++number, time, time);
        if (time == start + 30s)
            first.release();
        if (time >= start + 20s && time < start + 40s && second.needsFencingNumber(time))
            second.grant(++number, time, time);
        BOOST_REQUIRE(!(first.fencingNumberAt(time) && second.fencingNumberAt(time)));
        hasSecondActed = hasSecondActed || second.fencingNumberAt(time);
    }
    BOOST_TEST(hasSecondActed);
}

// Guards against a lease that starts when a late response is received.
BOOST_AUTO_TEST_CASE(LeaseStartsAtRequestSendTime)
{
    ControllerLease lease;
    base::TimePoint start(1h);
    lease.grant(1, start, start);
    lease.grant(2, start + 10s, start + 14s);
    BOOST_TEST(lease.fencingNumberAt(start + 14999ms).value_or(0) == 2);
    BOOST_TEST(!lease.fencingNumberAt(start + 15s));
}

// Guards against a VM that still sends commands after it stopped being the candidate.
BOOST_AUTO_TEST_CASE(ReleasedLeaseHasNoFencingNumber)
{
    ControllerLease lease;
    base::TimePoint start(1h);
    lease.grant(1, start, start);
    lease.grant(2, start + 6s, start + 6s);
    BOOST_TEST(lease.fencingNumberAt(start + 6s).value_or(0) == 2);
    lease.release();
    BOOST_TEST(!lease.fencingNumberAt(start + 6s));
}

// Guards against entry VMs that choose different candidates from the same member list, and
// against a change of the candidate when another VM leaves.
BOOST_AUTO_TEST_CASE(CandidateDependsOnlyOnSetOfVms)
{
    std::vector<std::string> vms { "entry-1", "entry-2", "entry-3", "entry-4" };
    auto candidate = controllerCandidate(vms);
    std::reverse(vms.begin(), vms.end());
    BOOST_TEST(controllerCandidate(vms) == candidate);
    vms.erase(std::find_if(vms.begin(), vms.end(), [&](const auto& vm) { return vm != candidate; }));
    BOOST_TEST(controllerCandidate(vms) == candidate);
    BOOST_TEST(controllerCandidate({}).empty());
}
