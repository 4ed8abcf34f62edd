#include "include/fleet/DepartureTable.h"
#include "include/base/Clock.h"
#include "include/fleet/UpstreamRegistry.h"
#include "include/state/Commands.h"
#include "include/state/StateMachine.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::fleet;
using Names = DepartureTable::Names;

static const UpstreamProcess left { "a", 100 };

static UpstreamRecord makeRecord(std::int64_t startedAtMilliseconds, std::uint64_t sequence)
{
    UpstreamRecord record;
    record.id = "a";
    record.startedAtMilliseconds = startedAtMilliseconds;
    record.sequence = sequence;
    record.ip = 1;
    record.port = 80;
    return record;
}

static std::shared_ptr<const Names> namesOf(const std::vector<UpstreamProcess>& processes)
{
    Names names;
    for (const auto& process : processes)
        names.insert(departureName(process));
    return std::make_shared<const Names>(std::move(names));
}

// Guards against a late heartbeat that makes an upstream ready again after all VMs, which
// remembered its departure, were restarted (review/10).
BOOST_AUTO_TEST_CASE(LateHeartbeatAfterARestartOfAllVmsMakesNoUpstreamReady)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    registry.setDepartures(namesOf({ left }), clock.now());
    registry.applyHeartbeat(makeRecord(100, 7), "c", clock.now());
    BOOST_TEST((registry.find("a")->state == UpstreamState::Draining));
    BOOST_TEST(registry.find("a")->isLeaving);
    registry.applyHeartbeat(makeRecord(100, 8), "c", clock.now());
    BOOST_TEST((registry.find("a")->state == UpstreamState::Draining));
    // It may start again under its id at once.
    registry.applyHeartbeat(makeRecord(101, 1), "c", clock.now());
    BOOST_TEST((registry.find("a")->state == UpstreamState::Ready));
    registry.setDepartures(namesOf({}), clock.now());
    BOOST_TEST((registry.find("a")->state == UpstreamState::Ready));
}

// Guards against a control VM that took such a heartbeat before it had applied the departure.
BOOST_AUTO_TEST_CASE(DepartureIsAppliedToAKnownUpstream)
{
    base::VirtualClock clock;
    UpstreamRegistry registry;
    registry.applyHeartbeat(makeRecord(100, 7), "c", clock.now());
    auto revision = registry.revision();
    registry.setDepartures(namesOf({ left, { "b", 5 } }), clock.now());
    BOOST_TEST((registry.find("a")->state == UpstreamState::Draining));
    BOOST_TEST(registry.revision() > revision, "pollers are not told");
}

// Guards against an id that the replicated state refuses, and against two processes that share
// a name.
BOOST_AUTO_TEST_CASE(EveryDepartureIsACommandThatTheStateTakes)
{
    state::StateMachine machine;
    std::set<std::string> names;
    std::uint64_t index = 0;
    for (const auto& id : { std::string("i-7f3a91c2"), std::string(44, 'x'), std::string(45, 'x'), std::string(256, 'x'), std::string("~!@/%") }) {
        for (std::int64_t start : { std::int64_t { 1 }, std::int64_t { 253'402'300'799'000 } }) {
            auto name = departureName({ id, start });
            BOOST_TEST(names.insert(name).second);
            auto command = state::encodeCommand({ base::WallTime(std::chrono::hours(1)), state::SetDrain { "control", name, true } });
            BOOST_TEST(std::holds_alternative<state::Accepted>(machine.apply(++index, command)));
        }
    }
    BOOST_TEST((machine.configuration().drainedUpstreams == names));
    auto restored = state::StateMachine::MakeFromSnapshot(machine.encodeSnapshot());
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST((restored.value()->configuration().drainedUpstreams == names));
}

// Guards against a set that grows for ever, and against a departure that a new leader forgets
// before a late heartbeat can have arrived.
BOOST_AUTO_TEST_CASE(DeparturesAreForgottenAfterTheRetention)
{
    base::VirtualClock clock;
    DepartureTable table;
    table.setNames(namesOf({ left }));
    BOOST_TEST(table.takeExpired(clock.now()).empty());
    clock.advance(DepartureTable::retention - std::chrono::seconds(1));
    table.beginLeadership();
    BOOST_TEST(table.takeExpired(clock.now()).empty());
    clock.advance(std::chrono::seconds(2));
    BOOST_TEST(table.takeExpired(clock.now()).empty());
    clock.advance(DepartureTable::retention);
    BOOST_TEST(table.takeExpired(clock.now()).size() == 1U);
    BOOST_TEST(table.takeExpired(clock.now()).empty(), "asked for twice at once");
    std::vector<UpstreamProcess> many;
    many.reserve(1000);
    for (int i = 0; i < 1000; ++i)
        many.push_back({ "u" + std::to_string(i), 1 });
    table.setNames(namesOf(many));
    table.takeExpired(clock.now());
    clock.advance(DepartureTable::retention);
    BOOST_TEST(table.takeExpired(clock.now()).size() < 100U);
}
