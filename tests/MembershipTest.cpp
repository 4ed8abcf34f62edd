#include "include/membership/Freshness.h"
#include "tests/MembershipFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <tuple>

using namespace arbutus;
using namespace arbutus::membership;
using namespace std::chrono_literals;

using Content = std::map<MemberKey, std::tuple<std::uint64_t, std::uint64_t, std::vector<MemberKey>, std::uint64_t>>;

static Content contentOf(const MemberTable& table)
{
    Content content;
    table.forEach([&](const MemberEntry& entry, bool) { content[entry.key] = { entry.incarnation, entry.version, entry.suspectedBy, entry.descriptorDigest }; });
    return content;
}

static MemberEntry randomEntry(base::Random& random)
{
    // Includes suspicions without a descriptor, and two descriptors under one version.
    MemberDescriptor descriptor = random.below(3) ? makeUpstream(random.below(6)) : makeEntryVm(random.below(6));
    descriptor.incarnation = random.below(3);
    descriptor.version = random.below(3);
    descriptor.capacity = static_cast<std::uint32_t>(random.below(2));
    descriptor.isLeaving = random.below(2);
    MemberEntry entry = makeEntry(descriptor);
    for (std::uint64_t left = random.below(4); left; --left)
        entry.suspectedBy.push_back(memberKey("entry-" + std::to_string(random.below(12))));
    std::sort(entry.suspectedBy.begin(), entry.suspectedBy.end());
    entry.suspectedBy.erase(std::unique(entry.suspectedBy.begin(), entry.suspectedBy.end()), entry.suspectedBy.end());
    if (!random.below(4)) {
        entry.descriptor = nullptr;
        entry.descriptorDigest = 0;
    }
    return entry;
}

// Guards against tables that differ after the same entries were merged in a different order
// or grouping, or more than once.
BOOST_AUTO_TEST_CASE(MergeIsCommutativeAssociativeAndIdempotent)
{
    base::VirtualClock clock;
    base::Random random(11);
    for (int round = 0; round < 300; ++round) {
        std::vector<MemberEntry> updates;
        updates.reserve(30);
        for (int index = 0; index < 30; ++index)
            updates.push_back(randomEntry(random));
        const auto mergeAll = [&](MemberTable& table, std::size_t begin, std::size_t end) {
            for (std::size_t index = begin; index < end; ++index)
                table.merge(updates[index], clock.now());
        };
        MemberTable forward(makeEntryVm(99), clock.now());
        mergeAll(forward, 0, updates.size());
        const Content expected = contentOf(forward);
        mergeAll(forward, 0, updates.size());
        BOOST_TEST((contentOf(forward) == expected), "idempotent, round " << round);

        // Merges the second half into a table of its own, then merges that table into the first.
        MemberTable left(makeEntryVm(99), clock.now());
        MemberTable right(makeEntryVm(99), clock.now());
        mergeAll(left, 0, 15);
        mergeAll(right, 15, 30);
        right.forEach([&](const MemberEntry& entry, bool) { left.merge(entry, clock.now()); });
        BOOST_TEST((contentOf(left) == expected), "associative, round " << round);

        for (std::size_t index = updates.size(); index > 1; --index)
            std::swap(updates[index - 1], updates[random.below(index)]);
        MemberTable shuffled(makeEntryVm(99), clock.now());
        mergeAll(shuffled, 0, updates.size());
        BOOST_TEST((contentOf(shuffled) == expected), "commutative, round " << round);
        shuffled.refresh(clock.now());
        forward.refresh(clock.now());
        BOOST_TEST(shuffled.digest() == forward.digest(), "digest, round " << round);
    }
}

// Guards against an incrementally updated digest that diverges from the table's content.
BOOST_AUTO_TEST_CASE(IncrementalDigestMatchesContent)
{
    base::VirtualClock clock;
    base::Random random(12);
    MemberTable table(makeEntryVm(99), clock.now());
    for (int index = 0; index < 3'000; ++index) {
        table.merge(randomEntry(random), clock.now());
        clock.advance(200ms);
        table.refresh(clock.now());
        std::uint64_t digest = 0;
        table.forEach([&](const MemberEntry& entry, bool isFailed) { digest ^= isFailed ? 0 : MemberTable::entryHash(entry); });
        BOOST_REQUIRE_EQUAL(table.digest(), digest);
    }
}

// Guards against a second process that takes over a member's id, and against unbounded
// growth of the table.
BOOST_AUTO_TEST_CASE(RejectsConflictingIdsAndFullTable)
{
    base::VirtualClock clock;
    TableLimits limits;
    limits.members = 3;
    MemberTable table(makeEntryVm(0), clock.now(), limits);
    Registrar registrar(table);
    BOOST_TEST(registrar.onAnnouncement(makeUpstream(1, 5), clock.now()).refusal.empty());
    MemberDescriptor other = makeUpstream(1, 4);
    other.address = "10.9.9.9";
    BOOST_TEST(!registrar.onAnnouncement(other, clock.now()).refusal.empty());
    BOOST_TEST((table.merge(makeEntry(other), clock.now()) == MergeOutcome::AddressConflict));
    other.incarnation = 5;
    other.version = 7;
    BOOST_TEST(!registrar.onAnnouncement(other, clock.now()).refusal.empty());
    BOOST_TEST(table.find(memberKey("runner-1"))->descriptor->address == "10.1.0.1");
    other.incarnation = 6;
    BOOST_TEST(registrar.onAnnouncement(other, clock.now()).refusal.empty());
    BOOST_TEST(registrar.onAnnouncement(makeUpstream(2), clock.now()).refusal.empty());
    BOOST_TEST(!registrar.onAnnouncement(makeUpstream(3), clock.now()).refusal.empty());
    MemberDescriptor impostor = makeEntryVm(0, 9);
    impostor.address = "10.9.9.9";
    BOOST_TEST((table.merge(makeEntry(impostor), clock.now()) == MergeOutcome::AddressConflict));
    BOOST_TEST(table.refusedCount() == 5U);
}

// Guards against tombstones that exhaust memory or never expire.
BOOST_AUTO_TEST_CASE(TombstonesAreBoundedAndExpire)
{
    base::VirtualClock clock;
    TableLimits limits;
    limits.tombstones = 10;
    MemberTable table(makeEntryVm(0), clock.now(), limits);
    for (std::size_t index = 0; index < 40; ++index) {
        table.merge(makeEntry(makeUpstream(index)), clock.now());
        table.recordSuspicion(memberKey(makeUpstream(index).id), table.self(), clock.now());
    }
    BOOST_TEST(table.isFailed(memberKey("runner-7")));
    clock.advance(limits.failedRetention + 1s);
    table.refresh(clock.now());
    BOOST_TEST(table.tombstoneCount() == 10U);
    // A stale entry does not revive a failed member; a higher incarnation does.
    MemberKey failedMember = 0;
    table.forEach([&](const MemberEntry& entry, bool isFailed) { failedMember = isFailed ? entry.key : failedMember; });
    for (std::size_t index = 0; index < 40; ++index) {
        if (memberKey(makeUpstream(index).id) != failedMember)
            continue;
        table.merge(makeEntry(makeUpstream(index)), clock.now());
        BOOST_TEST(!table.isAlive(failedMember));
        table.merge(makeEntry(makeUpstream(index, 2)), clock.now());
        BOOST_TEST(table.isAlive(failedMember));
    }
    clock.advance(limits.tombstoneRetention);
    table.refresh(clock.now());
    BOOST_TEST(table.tombstoneCount() == 0U);
}

// Guards against decoders that crash, hang or accept inconsistent input.
BOOST_AUTO_TEST_CASE(DecodersSurviveArbitraryBytes)
{
    base::Random random(13);
    GossipMessage push;
    GossipMessage page;
    page.kind = GossipKind::TableAnswer;
    GossipMessage contents;
    contents.kind = GossipKind::BucketContents;
    contents.contents = { { 3, { { 1, 2 }, { 3, 4 } } } };
    for (int index = 0; index < 4; ++index) {
        push.entries.push_back(randomEntry(random));
        page.entries.push_back(makeEntry(makeUpstream(random.below(9))));
    }
    const std::vector<std::string> samples = { encode(push), encode(page), encode(contents), encode(makeUpstream(3)), encode(Heartbeat { 1, 2, 3 }), encode(AnnounceAnswer {}), encode(FeedPoll { 1, 2, false }), encode(FeedAnswer {}) };
    BOOST_TEST(decodeGossip(samples[0]).value().entries.size() == 4U);
    BOOST_TEST((decodeGossip(samples[1]).value().entries[0].descriptorDigest == page.entries[0].descriptorDigest));
    BOOST_TEST(!decodeGossip(samples[0] + "x"));
    base::VirtualClock clock;
    MemberTable table(makeEntryVm(0), clock.now());
    Gossip gossip(table, {}, 1, clock.now());
    std::size_t accepted = 0;
    for (int round = 0; round < 60'000; ++round) {
        std::string bytes = random.below(3) ? samples[random.below(samples.size())] : std::string(random.below(60), '\0');
        const bool isNoise = bytes.find_first_not_of('\0') == std::string::npos;
        for (std::uint64_t left = isNoise ? bytes.size() : 1 + random.below(4); left && !bytes.empty(); --left)
            bytes[random.below(bytes.size())] = static_cast<char>(random.next());
        if (!random.below(4))
            bytes.resize(random.below(bytes.size() + 1));
        if (auto message = decodeGossip(bytes)) {
            ++accepted;
            gossip.onMessage(message.value(), clock.now());
        }
        if (auto descriptor = decodeDescriptor(bytes))
            BOOST_TEST(validateDescriptor(descriptor.value()).has_value());
        decodeHeartbeat(bytes).has_value();
        decodeAnnounceAnswer(bytes).has_value();
        decodeFeedPoll(bytes).has_value();
        decodeFeedAnswer(bytes).has_value();
    }
    BOOST_TEST_MESSAGE("mutated gossip messages that were still valid: " << accepted);
    BOOST_TEST(accepted > 0U);
    // The message declares 2^32 - 1 entries in a few bytes.
    BOOST_TEST(!decodeGossip(std::string("\x92\x00\xdd\xff\xff\xff\xff", 7)));
}

// Guards against a member with both registrars in one data centre, whose loss would make
// the member fail.
BOOST_AUTO_TEST_CASE(RegistrarsAreInDifferentDataCentres)
{
    Fleet fleet(9, 33, 14);
    for (const Fleet::Upstream& upstream : fleet.upstreams) {
        const std::vector<MemberKey> registrars = fleet.nodes[0].table->registrarsOf(memberKey(upstream.descriptor.id));
        BOOST_REQUIRE_EQUAL(registrars.size(), 2U);
        const MemberTable& table = *fleet.nodes[0].table;
        BOOST_TEST(table.find(registrars[0])->descriptor->dataCentre != table.find(registrars[1])->descriptor->dataCentre);
    }
}

static std::size_t countUsable(const Fleet& fleet, MemberKey key)
{
    return fleet.count([key](const MemberTable& table) { return table.isUsable(key); });
}

// Guards against a member that fails because of a bad link to only one of its registrars.
BOOST_AUTO_TEST_CASE(OneBadLinkDoesNotFailAMember)
{
    Fleet fleet(9, 33, 15);
    fleet.run(5s);
    const MemberKey upstream = memberKey(fleet.upstreams[4].descriptor.id);
    const std::size_t registrar = fleet.nodeIndex(fleet.nodes[0].table->registrarsOf(upstream)[0]);
    const std::size_t vm = registrar ? 0 : 1;
    const std::size_t vmRegistrar = fleet.nodeIndex(fleet.nodes[vm].table->registrarsOf(fleet.nodes[vm].table->self())[0]);
    fleet.isLinked = [&](std::size_t from, std::size_t to) { return !(from == fleet.nodes.size() + 4 && to == registrar) && !(from == vm && to == vmRegistrar); };
    std::size_t lowest = fleet.nodes.size();
    std::size_t lowestVm = fleet.nodes.size();
    for (int second = 0; second < 60; ++second) {
        fleet.run(1s);
        lowest = std::min(lowest, countUsable(fleet, upstream));
        lowestVm = std::min(lowestVm, countUsable(fleet, fleet.nodes[vm].table->self()));
    }
    BOOST_TEST(lowest == fleet.nodes.size());
    BOOST_TEST(lowestVm == fleet.nodes.size());
    // The registrar suspects the member, so the test exercises the rule.
    BOOST_TEST(!fleet.nodes[registrar].table->find(upstream)->suspectedBy.empty());
}

// Guards against a dead member that is never detected, and against healthy members considered
// failed, when both its registrars die at the same time.
BOOST_AUTO_TEST_CASE(DetectsFailureWhenBothRegistrarsFailToo)
{
    std::chrono::milliseconds longest { 0 };
    // With the last three seeds, upstreams were considered failed because they reported to
    // new registrars only one second after learning of them.
    for (std::uint64_t seed : { 16U, 17U, 18U, 12'016U, 14'016U, 16'016U }) {
        Fleet fleet(9, 33, seed);
        fleet.run(5s);
        const MemberKey dead = memberKey(fleet.upstreams[7].descriptor.id);
        std::size_t registrarCount = 0;
        for (MemberKey registrar : fleet.nodes[0].table->registrarsOf(dead)) {
            fleet.nodes[fleet.nodeIndex(registrar)].isUp = false;
            ++registrarCount;
        }
        fleet.upstreams[7].isUp = false;
        std::size_t falseFailures = 0;
        const auto isDone = [&] {
            for (const Fleet::Upstream& upstream : fleet.upstreams)
                falseFailures += upstream.isUp && countUsable(fleet, memberKey(upstream.descriptor.id)) != fleet.nodes.size() - registrarCount;
            const std::size_t known = fleet.count([&](const MemberTable& table) { return table.isFailed(dead) && table.failedPeers().size() == registrarCount; });
            return known == fleet.nodes.size() - registrarCount;
        };
        const auto passed = fleet.runUntil(isDone, 20s);
        longest = std::max(longest, passed);
        BOOST_TEST(falseFailures == 0U);
    }
    BOOST_TEST_MESSAGE("two registrars and their member failed in all tables after " << longest.count() << " ms (longest of 6 seeds)");
    BOOST_TEST((longest < 12s));
}

// Guards against stale entries that overwrite a restarted member or make it fail.
BOOST_AUTO_TEST_CASE(RestartSupersedesStaleEntries)
{
    Fleet fleet(9, 33, 17);
    fleet.run(5s);
    const MemberKey upstream = memberKey(fleet.upstreams[3].descriptor.id);
    MemberEntry staleEntry = *fleet.nodes[0].table->find(upstream);
    staleEntry.suspectedBy = fleet.nodes[0].table->registrarsOf(upstream);
    std::sort(staleEntry.suspectedBy.begin(), staleEntry.suspectedBy.end());
    fleet.upstreams[3].descriptor.incarnation = 2;
    fleet.upstreams[3].mustAnnounce = true;
    for (int round = 0; round < 40; ++round) {
        fleet.run(100ms);
        fleet.nodes[static_cast<std::size_t>(round) % 9].table->merge(staleEntry, fleet.now());
    }
    fleet.run(3s);
    const std::size_t current = fleet.count([&](const MemberTable& table) { return table.isUsable(upstream) && table.find(upstream)->incarnation == 2; });
    BOOST_TEST(current == fleet.nodes.size());
}

// Guards against a slow member that is considered failed, and a dead member that is not detected.
BOOST_AUTO_TEST_CASE(SlowMemberStaysAliveAndDeadMemberFails)
{
    Fleet fleet(9, 33, 18);
    fleet.run(5s);
    fleet.upstreams[1].interval = 2'800ms;
    fleet.upstreams[2].isUp = false;
    const MemberKey slow = memberKey(fleet.upstreams[1].descriptor.id);
    const MemberKey dead = memberKey(fleet.upstreams[2].descriptor.id);
    std::size_t slowFailureCount = 0;
    const auto passed = fleet.runUntil([&] {
        slowFailureCount += countUsable(fleet, slow) != fleet.nodes.size();
        return !countUsable(fleet, dead);
    },
        20s);
    BOOST_TEST_MESSAGE("dead member failed in all tables after " << passed.count() << " ms");
    BOOST_TEST((passed < 6s));
    fleet.run(30s);
    BOOST_TEST(slowFailureCount == 0U);
    BOOST_TEST(countUsable(fleet, slow) == fleet.nodes.size());
}

// Guards against a VM that suspects all its members because its own link is down.
BOOST_AUTO_TEST_CASE(IsolatedRegistrarSuspectsNobody)
{
    Fleet fleet(9, 33, 19);
    fleet.run(5s);
    fleet.isLinked = [](std::size_t from, std::size_t to) { return to != 5 || from == 5; };
    fleet.run(20s);
    std::size_t observed = 0;
    fleet.nodes[0].table->forEach([&](const MemberEntry& entry, bool) { observed += std::count(entry.suspectedBy.begin(), entry.suspectedBy.end(), fleet.nodes[5].table->self()); });
    BOOST_TEST(observed == 0U);
    BOOST_TEST(fleet.nodes[5].gossip->isSilent(fleet.now()));
}
