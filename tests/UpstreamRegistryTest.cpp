#include "include/fleet/UpstreamRegistry.h"
#include "include/base/Clock.h"
#include "include/base/Compression.h"
#include "include/base/Random.h"
#include "include/fleet/FleetPollServer.h"
#include "include/fleet/HeartbeatMonitor.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::fleet;

static UpstreamRecord makeRecord(const std::string& id, std::int64_t startedAt, std::uint64_t sequence, std::uint32_t ip = 1)
{
    UpstreamRecord result;
    result.id = id;
    result.startedAtMilliseconds = startedAt;
    result.sequence = sequence;
    result.service = "scriba";
    result.ip = ip;
    result.port = 80;
    return result;
}

static UpstreamState stateOf(const UpstreamRegistry& registry, const std::string& id) { return registry.find(id)->state; }

// Guards against a late heartbeat that makes a draining or gone upstream ready again.
BOOST_AUTO_TEST_CASE(LateHeartbeatDoesNotReactivateUpstream)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    registry.applyHeartbeat(makeRecord("a", 100, 5), "c1", clock.now());
    auto leaving = makeRecord("a", 100, 7);
    leaving.state = UpstreamState::Draining;
    BOOST_TEST(registry.applyHeartbeat(leaving, "c1", clock.now()));
    BOOST_TEST(!registry.applyHeartbeat(makeRecord("a", 100, 6), "c2", clock.now()));
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Draining));
    registry.applyHeartbeat(makeRecord("a", 100, 8), "c2", clock.now());
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Draining));
    registry.deregister("a", 100, "c1", clock.now());
    registry.applyHeartbeat(makeRecord("a", 100, 20), "c2", clock.now());
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Gone));
    // A new incarnation may use the same id.
    BOOST_TEST(registry.applyHeartbeat(makeRecord("a", 200, 1), "c2", clock.now()));
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Ready));
}

// Guards against a departure that a VM drops because it knows a later heartbeat than the VM
// that took the departure (review/4, DRAIN).
BOOST_AUTO_TEST_CASE(DepartureIsFinalWhateverNumberItHolds)
{
    base::VirtualClock clock;
    UpstreamRegistry first;
    UpstreamRegistry second;
    UpstreamRegistry entry;
    first.applyHeartbeat(makeRecord("a", 100, 2), "c1", clock.now());
    second.apply(*first.find("a"), clock.now());
    first.applyHeartbeat(makeRecord("a", 100, 50), "c1", clock.now());
    entry.apply(*first.find("a"), clock.now());
    second.deregister("a", 100, "c2", clock.now());
    for (auto* registry : { &first, &entry }) {
        BOOST_TEST(registry->apply(*second.find("a"), clock.now()));
        BOOST_TEST((stateOf(*registry, "a") == UpstreamState::Gone));
        BOOST_TEST(!registry->apply(makeRecord("a", 100, 51), clock.now()));
        BOOST_TEST((stateOf(*registry, "a") == UpstreamState::Gone));
    }
    // A departure of a former process says nothing of a later one.
    entry.apply(makeRecord("a", 200, 1), clock.now());
    BOOST_TEST(!entry.apply(*second.find("a"), clock.now()));
    BOOST_TEST((stateOf(entry, "a") == UpstreamState::Ready));
}

// Guards against a drain that a VM drops because it knows a later number.
BOOST_AUTO_TEST_CASE(DrainIsFinalWhateverNumberItHolds)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    registry.applyHeartbeat(makeRecord("a", 100, 50), "c1", clock.now());
    auto leaving = makeRecord("a", 100, 3);
    leaving.state = UpstreamState::Draining;
    BOOST_TEST(registry.apply(leaving, clock.now()));
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Draining));
    registry.applyHeartbeat(makeRecord("a", 100, 51), "c1", clock.now());
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Draining));
}

// Guards against a delayed heartbeat of a crashed upstream whose address another upstream
// uses by now.
BOOST_AUTO_TEST_CASE(NewestUpstreamOwnsItsAddress)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    registry.applyHeartbeat(makeRecord("old", 100, 5), "c1", clock.now());
    registry.applyHeartbeat(makeRecord("new", 200, 1), "c1", clock.now());
    BOOST_TEST((stateOf(registry, "old") == UpstreamState::Gone));
    registry.applyHeartbeat(makeRecord("old", 100, 6), "c2", clock.now());
    registry.applyHeartbeat(makeRecord("older", 50, 9), "c2", clock.now());
    BOOST_TEST((stateOf(registry, "old") == UpstreamState::Gone));
    BOOST_TEST((stateOf(registry, "older") == UpstreamState::Gone));
    BOOST_TEST((stateOf(registry, "new") == UpstreamState::Ready));
}

// Guards against control VMs whose registries diverge. The result of a merge must not depend
// on the order in which records arrive, or on duplicates.
BOOST_AUTO_TEST_CASE(MergeIsIdempotentAndCommutative)
{
    base::VirtualClock clock;
    auto ready = makeRecord("a", 100, 1);
    auto leaving = makeRecord("a", 100, 2);
    leaving.state = UpstreamState::Draining;
    auto successor = makeRecord("b", 300, 1);
    const std::vector<UpstreamRecord> records { ready, leaving, successor };
    std::vector<std::size_t> order { 0, 1, 2 };
    do {
        UpstreamRegistry registry;
        for (auto index : order) {
            registry.apply(records[index], clock.now());
            registry.apply(records[index], clock.now());
        }
        BOOST_TEST((stateOf(registry, "a") == UpstreamState::Gone));
        BOOST_TEST((stateOf(registry, "b") == UpstreamState::Ready));
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against upstreams that are marked unresponsive by a VM that does not receive their
// heartbeats, or that itself stalled.
BOOST_AUTO_TEST_CASE(OnlyTheAuthorityMarksUpstreamsUnresponsive)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    registry.applyHeartbeat(makeRecord("mine", 100, 1, 1), "c1", clock.now());
    registry.applyHeartbeat(makeRecord("other", 100, 1, 2), "c2", clock.now());
    auto isMine = [](const UpstreamRecord& upstream) { return upstream.registrar == "c1"; };
    clock.advance(std::chrono::seconds(10));
    registry.restartTimeouts(clock.now());
    registry.markUnresponsive(clock.now() - std::chrono::seconds(4), isMine, clock.now());
    BOOST_TEST((stateOf(registry, "mine") == UpstreamState::Ready));
    clock.advance(std::chrono::seconds(10));
    registry.markUnresponsive(clock.now() - std::chrono::seconds(4), isMine, clock.now());
    BOOST_TEST((stateOf(registry, "mine") == UpstreamState::Unresponsive));
    BOOST_TEST((stateOf(registry, "other") == UpstreamState::Ready));
    registry.applyHeartbeat(makeRecord("mine", 100, 2, 1), "c2", clock.now());
    BOOST_TEST((stateOf(registry, "mine") == UpstreamState::Ready));
}

// The registry and the heartbeat monitor of one control VM.
struct ControlVm {
    std::string name;
    UpstreamRegistry registry;
    HeartbeatMonitor monitor { name, std::chrono::milliseconds(1200) };
    std::uint64_t publishedRevision = 0;

    // Sends the changes since the last call, like the answer to the receiver's next poll.
    void publishTo(UpstreamRegistry& receiver, base::TimePoint now)
    {
        for (const auto& change : registry.changesSince(publishedRevision))
            receiver.apply(change, now);
        publishedRevision = registry.revision();
    }
};

// Guards against a control VM that is partitioned from the others and marks all their
// upstreams as unresponsive, although these send heartbeats to the other side.
BOOST_AUTO_TEST_CASE(VmWithoutLeaderMarksNothingUnresponsive)
{
    base::VirtualClock clock;
    ControlVm cutOff { "10.0.0.3", {} };
    auto hasHeardFromNobody = [](std::uint32_t, base::TimePoint) { return false; };
    cutOff.registry.applyHeartbeat(makeRecord("mine", 100, 5, 1), "10.0.0.3", clock.now());
    cutOff.registry.applyHeartbeat(makeRecord("theirs", 100, 5, 2), "10.0.0.1", clock.now());
    for (int i = 0; i < 80; ++i) {
        clock.advance(std::chrono::milliseconds(100));
        cutOff.monitor.tick(cutOff.registry, false, hasHeardFromNobody, clock.now());
    }
    BOOST_TEST((stateOf(cutOff.registry, "mine") == UpstreamState::Ready));
    BOOST_TEST((stateOf(cutOff.registry, "theirs") == UpstreamState::Ready));
    // Once there is a leader again, each upstream has the full heartbeat timeout.
    for (int i = 0; i < 30; ++i) {
        clock.advance(std::chrono::milliseconds(100));
        cutOff.monitor.tick(cutOff.registry, true, hasHeardFromNobody, clock.now());
    }
    BOOST_TEST((stateOf(cutOff.registry, "mine") == UpstreamState::Ready));
    for (int i = 0; i < 20; ++i) {
        clock.advance(std::chrono::milliseconds(100));
        cutOff.monitor.tick(cutOff.registry, true, hasHeardFromNobody, clock.now());
    }
    BOOST_TEST((stateOf(cutOff.registry, "mine") == UpstreamState::Unresponsive));
}

// Guards against an entry VM that considers an upstream unresponsive forever, because its
// later heartbeats contained no changes and were not published.
BOOST_AUTO_TEST_CASE(WrongUnresponsiveStateIsCorrected)
{
    base::VirtualClock clock;
    ControlVm registrar { "10.0.0.1", {} };
    ControlVm mistaken { "10.0.0.3", {} };
    UpstreamRegistry entry;
    registrar.registry.applyHeartbeat(makeRecord("a", 100, 5), "10.0.0.1", clock.now());
    registrar.publishTo(entry, clock.now());
    for (const auto& change : registrar.registry.changesSince(0))
        mistaken.registry.apply(change, clock.now());
    clock.advance(std::chrono::seconds(10));
    registrar.registry.applyHeartbeat(makeRecord("a", 100, 13), "10.0.0.1", clock.now());
    mistaken.registry.markUnresponsive(
        clock.now() - std::chrono::seconds(4), [](const UpstreamRecord&) { return true; }, clock.now());
    mistaken.publishTo(entry, clock.now());
    BOOST_TEST((stateOf(entry, "a") == UpstreamState::Unresponsive));
    mistaken.publishedRevision = 0;
    mistaken.publishTo(registrar.registry, clock.now());
    registrar.publishTo(entry, clock.now());
    BOOST_TEST((stateOf(entry, "a") == UpstreamState::Ready));
    // The correction is published once and causes no further updates.
    BOOST_TEST(registrar.registry.changesSince(registrar.publishedRevision).empty());
}

// Guards against a measured slowdown that the next heartbeat discards, and against polls that
// are answered for an insignificant change.
BOOST_AUTO_TEST_CASE(MeasuredSlowdownSurvivesHeartbeat)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    registry.applyHeartbeat(makeRecord("a", 100, 1), "c1", clock.now());
    BOOST_TEST(!registry.applyStatus("a", 100, 1.1, {}, clock.now()));
    BOOST_TEST(registry.applyStatus("a", 100, 3.0, {}, clock.now()));
    BOOST_TEST(!registry.applyHeartbeat(makeRecord("a", 100, 2), "c1", clock.now()));
    BOOST_TEST(registry.find("a")->slowdownFactor == 3.0);
    BOOST_TEST(!registry.applyStatus("a", 99, 1.0, {}, clock.now()));
}

// Guards against an engine that appears to have no layers and is commanded to load them
// again, because its status was requested just before its heartbeat reported them.
BOOST_AUTO_TEST_CASE(StaleEngineStatusDoesNotRemoveLayers)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    auto loaded = makeRecord("a", 100, 1);
    loaded.layers = { 0, 20 };
    registry.applyHeartbeat(loaded, "c1", clock.now());
    clock.advance(std::chrono::milliseconds(200));
    BOOST_TEST(!registry.applyStatus("a", 100, 1, {}, clock.now()));
    BOOST_TEST(registry.find("a")->layers.count() == 20);
    // The loss of layers in a crash is detected before the next heartbeat.
    clock.advance(std::chrono::milliseconds(500));
    BOOST_TEST(registry.applyStatus("a", 100, 1, { 0, 10 }, clock.now()));
    BOOST_TEST(registry.find("a")->layers.count() == 10);
    // A status answer does not count as a heartbeat.
    clock.advance(std::chrono::milliseconds(100));
    BOOST_TEST(registry.applyStatus("a", 100, 1, { 0, 20 }, clock.now()));
}

// Guards against entry VMs that learn of a change late, and against answers that omit
// changes which the sender of the poll lacks.
BOOST_AUTO_TEST_CASE(PendingPollIsAnsweredOnChange)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    CrashReportRegistry crashReports;
    FleetPollServer pollServer(registry, crashReports, 77, 1e6);
    std::vector<FleetAnswer> answers;
    auto reply = [&answers](const std::string& bytes) { answers.push_back(decode<FleetAnswer>(bytes).value()); };
    FleetPoll poll;
    poll.sender = "entry-1";
    poll.isEntry = true;
    poll.wantsPeerLoad = true;
    poll.maxWaitMilliseconds = 400;
    poll.load = { { "a", 3, 100 } };
    pollServer.setCurrent(true, clock.now());
    pollServer.poll(poll, reply, clock.now());
    BOOST_REQUIRE(answers.size() == 1);
    poll.epoch = 77;
    poll.revision = answers[0].revision;
    pollServer.poll(poll, reply, clock.now());
    BOOST_TEST(answers.size() == 1);
    registry.applyHeartbeat(makeRecord("a", 100, 1), "c1", clock.now());
    pollServer.answerPendingPolls(clock.now());
    BOOST_REQUIRE(answers.size() == 2);
    BOOST_TEST(answers[1].upstreams.size() == 1);

    poll.revision = answers[1].revision;
    poll.wantsRoutes = true;
    pollServer.setCurrent(false, clock.now());
    pollServer.poll(poll, reply, clock.now());
    pollServer.setRoutes(4, std::make_shared<const std::string>("document"));
    pollServer.answerPendingPolls(clock.now());
    // Without a leader, a stored configuration may have been replaced.
    BOOST_TEST(answers.size() == 2);
    pollServer.setCurrent(true, clock.now());
    pollServer.answerPendingPolls(clock.now());
    BOOST_REQUIRE(answers.size() == 3);
    BOOST_TEST(base::decompressDelta({}, answers[2].packedRoutes, 100).value() == "document");

    // The peer load excludes the load of the sender.
    BOOST_TEST(answers[2].peerLoad.empty());
    FleetPoll other;
    other.sender = "entry-2";
    other.isEntry = true;
    other.wantsPeerLoad = true;
    pollServer.poll(other, reply, clock.now());
    BOOST_REQUIRE(answers.back().peerLoad.size() == 1);
    BOOST_TEST(answers.back().peerLoad[0].running == 3U);
    BOOST_TEST(answers.back().entryVmCount == 2U);
}

BOOST_AUTO_TEST_CASE(PeerLoadSumMatchesReportsOfLiveEntryVms)
{
    base::Random random(3);
    PeerLoadTable table;
    std::map<std::string, std::vector<UpstreamInFlightLoad>> reports;
    for (int round = 0; round < 2000; ++round) {
        auto now = base::TimePoint(std::chrono::milliseconds(round));
        auto name = "entry-" + std::to_string(random.below(8));
        std::vector<UpstreamInFlightLoad> load;
        for (auto count = random.below(5); count > 0; --count)
            load.push_back({ "engine-" + std::to_string(random.below(6)), static_cast<std::uint32_t>(random.below(3)), random.between(0, 1000) });
        reports[name] = load;
        table.recordPoll(name, now);
        table.record({ name, 1, static_cast<std::uint64_t>(round), 0, load });
        std::map<std::string, std::pair<std::uint32_t, double>> expected;
        for (const auto& [other, loads] : reports) {
            for (const auto& part : loads) {
                if (other != "entry-0") {
                    expected[part.upstream].first += part.running;
                    expected[part.upstream].second += part.cacheTokenLayers;
                }
            }
        }
        auto sums = table.loadExcluding("entry-0");
        BOOST_REQUIRE(sums.size() == expected.size());
        for (const auto& sum : sums) {
            BOOST_REQUIRE(sum.running == expected.at(sum.upstream).first);
            BOOST_REQUIRE(std::abs(sum.cacheTokenLayers - expected.at(sum.upstream).second) < 0.001);
        }
    }
    table.expire(base::TimePoint(std::chrono::seconds(10)));
    BOOST_TEST(table.loadExcluding("entry-0").empty());
    BOOST_TEST(table.entryVmCount() == 0U);
}

// Guards against an upstream that has announced its leave and gets new requests because
// another VM, which has not heard of it, still reports it as ready.
BOOST_AUTO_TEST_CASE(AnnouncedLeaveIsFinalForItsProcess)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    BOOST_TEST(!registry.markLeaving({ "a", 100 }, clock.now()));
    registry.applyHeartbeat(makeRecord("a", 100, 5), "c1", clock.now());
    BOOST_TEST(!registry.markLeaving({ "a", 99 }, clock.now()));
    BOOST_TEST(!registry.markLeaving({ "a", 101 }, clock.now()));
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Ready));
    BOOST_TEST(registry.markLeaving({ "a", 100 }, clock.now()));
    BOOST_TEST(!registry.markLeaving({ "a", 100 }, clock.now()));
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Draining));
    registry.applyHeartbeat(makeRecord("a", 100, 6), "c1", clock.now());
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Draining));

    clock.advance(std::chrono::seconds(10));
    registry.markUnresponsive(
        clock.now(), [](const auto&) { return true; }, clock.now());
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Unresponsive));
    registry.applyHeartbeat(makeRecord("a", 100, 7), "c1", clock.now());
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Draining));

    registry.applyHeartbeat(makeRecord("a", 200, 1), "c1", clock.now());
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Ready));
}

BOOST_AUTO_TEST_CASE(LeaveSpreadsWithOlderAndNewerRecords)
{
    base::VirtualClock clock;
    UpstreamRegistry told;
    told.applyHeartbeat(makeRecord("a", 100, 5), "c1", clock.now());
    told.markLeaving({ "a", 100 }, clock.now());
    for (std::uint64_t knownSequence : { 4, 5, 6 }) {
        UpstreamRegistry registry;
        registry.applyHeartbeat(makeRecord("a", 100, knownSequence), "c2", clock.now());
        auto before = registry.revision();
        BOOST_TEST(registry.apply(*told.find("a"), clock.now()));
        BOOST_TEST((stateOf(registry, "a") == UpstreamState::Draining));
        BOOST_TEST(registry.revision() > before);
        BOOST_TEST(!registry.apply(*told.find("a"), clock.now()));
    }
    UpstreamRegistry unaware;
    unaware.apply(*told.find("a"), clock.now());
    unaware.applyHeartbeat(makeRecord("a", 100, 9), "c2", clock.now());
    BOOST_TEST((stateOf(unaware, "a") == UpstreamState::Draining));
    UpstreamRegistry later;
    later.applyHeartbeat(makeRecord("a", 200, 1), "c2", clock.now());
    BOOST_TEST(!later.apply(*told.find("a"), clock.now()));
    BOOST_TEST((stateOf(later, "a") == UpstreamState::Ready));
}

static UpstreamRecord makeForeignRecord(const std::string& id, std::int64_t startedAt, const std::string& service = "trial77")
{
    auto record = makeRecord(id, startedAt, 4);
    record.service = service;
    return record;
}

// Guards against heartbeats of another writer, for a service that no configuration names, that
// take an upstream out of use by its address (review/12), before it registers or after.
BOOST_AUTO_TEST_CASE(RecordOfAnUnnamedServiceOwnsNoAddress)
{
    base::VirtualClock clock;
    for (bool isForeignFirst : { false, true }) {
        UpstreamRegistry registry;
        registry.setServices({ "scriba" }, clock.now());
        if (!isForeignFirst)
            registry.applyHeartbeat(makeRecord("a", 100, 5), "c1", clock.now());
        BOOST_TEST(!registry.applyHeartbeat(makeForeignRecord("x", 300), "c1", clock.now()));
        registry.applyHeartbeat(makeRecord("a", 100, 6), "c1", clock.now());
        BOOST_TEST((stateOf(registry, "a") == UpstreamState::Ready));
        BOOST_TEST(!registry.find("x"));
        BOOST_TEST(registry.changesSince(0).size() == 1U);
        // The same as told by a control VM of the landing before.
        UpstreamRegistry entry;
        entry.setServices({ "scriba" }, clock.now());
        entry.apply(makeForeignRecord("x", 300), clock.now());
        entry.apply(*registry.find("a"), clock.now());
        BOOST_TEST((stateOf(entry, "a") == UpstreamState::Ready));
    }
}

// Guards against a record that takes over the id of a working upstream.
BOOST_AUTO_TEST_CASE(RecordOfAnUnnamedServiceTakesNoId)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    registry.setServices({ "scriba" }, clock.now());
    registry.applyHeartbeat(makeRecord("a", 100, 5), "c1", clock.now());
    auto foreign = makeForeignRecord("a", 900);
    foreign.state = UpstreamState::Draining;
    registry.applyHeartbeat(foreign, "c1", clock.now());
    foreign.state = UpstreamState::Gone;
    registry.apply(foreign, clock.now());
    registry.applyHeartbeat(makeRecord("a", 100, 6), "c1", clock.now());
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Ready));
    BOOST_TEST(registry.find("a")->service == "scriba");
}

// Guards against upstreams that have to report again before a later version of the
// configuration can use them, and against ones that it brings back although they have left.
BOOST_AUTO_TEST_CASE(LaterConfigurationDecidesAgain)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    registry.applyHeartbeat(makeForeignRecord("x", 300), "c1", clock.now());
    BOOST_TEST((stateOf(registry, "x") == UpstreamState::Ready));
    registry.setServices({ "scriba" }, clock.now());
    BOOST_TEST(!registry.find("x"));
    registry.applyHeartbeat(makeRecord("a", 100, 5), "c1", clock.now());
    const auto revision = registry.revision();
    registry.setServices({ "scriba", "trial77" }, clock.now());
    BOOST_TEST((stateOf(registry, "x") == UpstreamState::Ready));
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Gone));
    BOOST_TEST(registry.changesSince(revision).size() == 2U);
    // A version that drops the service gives the address back with the next heartbeat.
    registry.setServices({ "scriba" }, clock.now());
    registry.applyHeartbeat(makeRecord("a", 100, 6), "c1", clock.now());
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Ready));
    registry.markLeaving({ "x", 300 }, clock.now());
    registry.setServices({ "trial77" }, clock.now());
    BOOST_TEST((stateOf(registry, "x") == UpstreamState::Draining));
    registry.setServices({ "scriba" }, clock.now());
    registry.deregister("x", 300, "c1", clock.now());
    registry.setServices({ "trial77" }, clock.now());
    BOOST_TEST((stateOf(registry, "x") == UpstreamState::Gone));
}

// Guards against memory without bound for what no configuration names.
BOOST_AUTO_TEST_CASE(RecordsOfUnnamedServicesAreBounded)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    registry.setServices({ "scriba" }, clock.now());
    for (int i = 0; i < 5000; ++i)
        registry.applyHeartbeat(makeForeignRecord(std::to_string(i), 300), "c1", clock.now());
    registry.setServices({ "trial77" }, clock.now());
    BOOST_TEST(registry.all().size() <= UnnamedUpstreams::capacity);
}

// Guards against an upstream that lives on but is out of use for good, because another writer
// has named its address for a service that is in force.
BOOST_AUTO_TEST_CASE(DisplacedUpstreamThatLivesOnReturns)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    UpstreamRegistry entry;
    const auto spread = [&] {
        for (const auto& record : registry.changesSince(0))
            entry.apply(record, clock.now());
    };
    registry.applyHeartbeat(makeRecord("a", 100, 5), "c1", clock.now());
    registry.applyHeartbeat(makeRecord("b", 300, 1), "c1", clock.now());
    spread();
    std::uint64_t sequence = 5;
    for (; sequence < 20; ++sequence)
        registry.applyHeartbeat(makeRecord("a", 100, sequence), "c1", clock.now());
    spread();
    for (const auto* vm : { &registry, &entry }) {
        BOOST_TEST((stateOf(*vm, "a") == UpstreamState::Gone));
        BOOST_TEST((stateOf(*vm, "b") == UpstreamState::Ready));
    }
    clock.advance(std::chrono::seconds(4));
    registry.markUnresponsive(
        clock.now(), [](const auto& record) { return record.id == "b"; }, clock.now());
    registry.applyHeartbeat(makeRecord("a", 100, sequence), "c1", clock.now());
    spread();
    for (const auto* vm : { &registry, &entry })
        BOOST_TEST((stateOf(*vm, "a") == UpstreamState::Ready));
    // The later one owns the address whenever it reports.
    registry.applyHeartbeat(makeRecord("b", 300, 2), "c1", clock.now());
    spread();
    for (const auto* vm : { &registry, &entry })
        BOOST_TEST((stateOf(*vm, "a") == UpstreamState::Gone));
}

// Guards against late heartbeats of a crashed upstream that bring it back once the next one at
// its address has ended as well, and against one that says itself that it is gone.
BOOST_AUTO_TEST_CASE(DisplacedUpstreamDoesNotReturnByALateHeartbeat)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    registry.applyHeartbeat(makeRecord("a", 100, 5), "c1", clock.now());
    registry.applyHeartbeat(makeRecord("b", 300, 1), "c1", clock.now());
    registry.deregister("b", 300, "c1", clock.now());
    for (std::uint64_t sequence : { 6, 6, 6, 7 })
        registry.applyHeartbeat(makeRecord("a", 100, sequence), "c1", clock.now());
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Gone));
    registry.deregister("a", 100, "c1", clock.now());
    for (std::uint64_t sequence = 8; sequence < 20; ++sequence)
        registry.applyHeartbeat(makeRecord("a", 100, sequence), "c1", clock.now());
    BOOST_TEST((stateOf(registry, "a") == UpstreamState::Gone));
}

static std::shared_ptr<const DepartureTable::Names> departures(const std::vector<UpstreamProcess>& processes)
{
    DepartureTable::Names names;
    for (const auto& process : processes)
        names.insert(departureName(process));
    return std::make_shared<const DepartureTable::Names>(std::move(names));
}

// Guards against a departure of an earlier process, held up on its way, that removes the one that
// has started since under the same id (review/13).
BOOST_AUTO_TEST_CASE(LateDepartureWithoutAStartRemovesNoLaterProcess)
{
    base::VirtualClock clock;
    const std::string longId(60, 'x');
    for (const auto& id : { std::string("a"), longId }) {
        UpstreamRegistry registry;
        BOOST_TEST(registry.departingStart(id).value() == 0);
        registry.applyHeartbeat(makeRecord(id, 1000, 5), "c1", clock.now());
        BOOST_TEST(registry.departingStart(id).value() == 1000);
        registry.setDepartures(departures({ { id, 900 }, { id, 1000 }, { id + "b", 5000 } }), clock.now());
        BOOST_TEST(registry.departingStart(id).value() == 1000);
        registry.applyHeartbeat(makeRecord(id, 2000, 1), "c1", clock.now());
        BOOST_TEST(!registry.departingStart(id));
        // The next one announces its leave as well, before its own departure.
        auto leaving = makeRecord(id, 2000, 2);
        leaving.state = UpstreamState::Draining;
        registry.applyHeartbeat(leaving, "c1", clock.now());
        BOOST_TEST(registry.departingStart(id).value() == 2000);
    }
    // One that never announces its leave: its departure means itself.
    UpstreamRegistry registry;
    registry.applyHeartbeat(makeRecord("c", 1000, 5), "c1", clock.now());
    registry.applyHeartbeat(makeRecord("c", 2000, 5), "c1", clock.now());
    BOOST_TEST(registry.departingStart("c").value() == 2000);
}

// Guards against a departure that does not reach entry VMs because the control VM that took it had
// been restarted and knows no service of the upstream (review/7).
BOOST_AUTO_TEST_CASE(DepartureOfAnUpstreamWithoutAKnownServiceIsTaken)
{
    base::VirtualClock clock;
    UpstreamRegistry entry;
    UpstreamRegistry restarted;
    for (auto* registry : { &entry, &restarted })
        registry->setServices({ "scriba" }, clock.now());
    entry.applyHeartbeat(makeRecord("a", 100, 5), "c1", clock.now());
    restarted.learnProcess({ "a", 100 });
    restarted.deregister("a", restarted.departingStart("a").value(), "c1", clock.now());
    for (const auto& record : restarted.changesSince(0))
        entry.apply(record, clock.now());
    for (auto* registry : { &entry, &restarted }) {
        BOOST_TEST((stateOf(*registry, "a") == UpstreamState::Gone));
        registry->applyHeartbeat(makeRecord("a", 100, 6), "c1", clock.now());
        BOOST_TEST((stateOf(*registry, "a") == UpstreamState::Gone));
    }
}
