#include "include/base/Clock.h"
#include "include/base/Random.h"
#include "include/membership/Freshness.h"
#include "tests/RelayNodes.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::membership;
using namespace std::chrono_literals;

// Guards against cycles, unreachable nodes, overloaded parents and a tree so deep that
// configurations become stale.
BOOST_AUTO_TEST_CASE(RelayTreeIsBoundedAndReachesEveryNode)
{
    for (std::size_t size : { 7U, 9U, 100U, 400U, 1'500U }) {
        RelayNodes nodes(size);
        const std::size_t refusals = nodes.assignParents();
        std::map<std::size_t, std::size_t> depths;
        for (MemberKey key : nodes.keys)
            ++depths[nodes.depthOf(key)];
        std::string text;
        for (const auto& [depth, count] : depths)
            text += " " + std::to_string(count);
        BOOST_TEST_MESSAGE(size << " nodes: nodes by depth" << text << "; refusals " << refusals);
        BOOST_TEST(!depths.count(0));
        BOOST_TEST(depths.rbegin()->first <= (size <= 100 ? 1U : size <= 400 ? 3U
                                                                             : 5U));
        for (const auto& [parent, children] : nodes.childCounts)
            BOOST_TEST(children <= (parent == RelayNodes::root ? maxLeaderChildren : maxRelayChildren));
    }
}

// Guards against the loss of a node that changes the parent of nodes other than its children.
BOOST_AUTO_TEST_CASE(NodeLossMovesOnlyItsChildren)
{
    for (std::size_t size : { 9U, 100U, 400U, 1'500U }) {
        RelayNodes nodes(size);
        nodes.assignParents();
        std::size_t moved = 0;
        for (std::size_t loss = 0; loss < 5; ++loss) {
            nodes.now += 11s;
            MemberKey lost = nodes.keys[loss];
            for (MemberKey key : nodes.keys)
                lost = nodes.childCounts[key] > nodes.childCounts[lost] ? key : lost;
            const auto before = nodes.parents;
            nodes.removeNode(lost);
            nodes.assignParents();
            for (MemberKey key : nodes.keys) {
                const bool wasChild = before.at(key) == lost;
                moved += wasChild;
                BOOST_TEST((nodes.parents.at(key) != before.at(key)) == wasChild);
                BOOST_TEST(nodes.depthOf(key) > 0U);
            }
        }
        BOOST_TEST_MESSAGE(size << " nodes, 5 losses: " << moved << " children moved");
        BOOST_TEST(moved <= 5 * maxRelayChildren);
    }
}

static bool isOnCycle(const RelayNodes& nodes, MemberKey key)
{
    MemberKey at = key;
    for (std::size_t hops = 0; hops <= nodes.keys.size(); ++hops) {
        const auto found = nodes.parents.find(at);
        if (found == nodes.parents.end())
            return false;
        at = found->second;
    }
    return true;
}

// Guards against cycles between nodes that know different members and so have different level plans.
BOOST_AUTO_TEST_CASE(DifferingViewsCreateNoCycles)
{
    // A third of the 1,500 nodes knows only `memberCount` of them.
    for (std::size_t memberCount : { 300U, 700U, 1'100U, 1'400U }) {
        RelayNodes nodes(1'500);
        for (std::size_t index = 0; index < nodes.keys.size(); index += 3)
            nodes.trees.at(nodes.keys[index])->setNodes({ nodes.keys.begin(), nodes.keys.begin() + static_cast<std::ptrdiff_t>(memberCount) });
        nodes.assignParents();
        BOOST_TEST_MESSAGE("a third of 1,500 nodes knows " << memberCount << ": nodes that found no parent " << nodes.keys.size() - nodes.parents.size());
        for (MemberKey key : nodes.keys)
            BOOST_TEST(!isOnCycle(nodes, key));
        if (memberCount >= 1'100)
            BOOST_TEST(nodes.parents.size() == nodes.keys.size());
    }
}

// Guards against rebuilding the tree with each restart in a fleet whose size is near a boundary.
BOOST_AUTO_TEST_CASE(LevelPlanDoesNotFlapAtABoundary)
{
    LevelPlan plan;
    plan.update(100);
    BOOST_TEST(plan.levelCount() == 1U);
    plan.update(101);
    const unsigned levels = plan.levelCount();
    BOOST_TEST(levels > 1U);
    plan.update(97);
    BOOST_TEST(plan.levelCount() == levels);
    plan.update(80);
    BOOST_TEST(plan.levelCount() == 1U);
}

// Guards against a child that waits for a dead, full or stale parent until its own
// configuration is stale.
BOOST_AUTO_TEST_CASE(ChildReplacesSilentStaleOrFullParent)
{
    RelayNodes nodes(400);
    const MemberKey child = *std::find_if(nodes.keys.begin(), nodes.keys.end(), [&](MemberKey key) { return nodes.trees.at(key)->level() == 3; });
    RelayTree& tree = *nodes.trees.at(child);
    const MemberKey first = *tree.parent(nodes.now);
    tree.onPollSent(nodes.now);
    BOOST_TEST(!tree.tick(nodes.now + parentTimeout - 1ms));
    BOOST_TEST(*tree.parent(nodes.now) == first);
    BOOST_TEST(tree.tick(nodes.now + parentTimeout));
    const MemberKey second = *tree.parent(nodes.now + parentTimeout);
    BOOST_TEST(second != first);
    tree.onAnswered(100ms, nodes.now);
    BOOST_TEST(*tree.parent(nodes.now) == second);
    tree.onAnswered(2'600ms, nodes.now);
    const MemberKey third = *tree.parent(nodes.now);
    BOOST_TEST(third != second);
    tree.onRefused(nodes.now);
    BOOST_TEST(*tree.parent(nodes.now) != third);
    // The first choice is tried again after the suspension.
    tree.onRefused(nodes.now);
    BOOST_TEST(*tree.parent(nodes.now + 2 * parentSuspension) == first);
}

static FeedAnswer answerOf(std::uint64_t revision, std::chrono::microseconds held, std::optional<std::uint32_t> age)
{
    return { false, revision, static_cast<std::uint32_t>(held.count()), age };
}

// Guards against freshness that is counted from receipt, ignores the parent's age or moves
// backwards.
BOOST_AUTO_TEST_CASE(FreshnessCountsFromSendTime)
{
    base::VirtualClock clock;
    Freshness freshness;
    BOOST_TEST(!freshness.isFresh(clock.now()));
    const base::TimePoint sent = clock.now();
    BOOST_TEST(freshness.onAnswer(answerOf(4, 500ms, 1'200'000), sent, sent + 900ms));
    const base::TimePoint asOf = sent + 500ms - 1'200ms;
    BOOST_TEST((*freshness.currentAsOf() == asOf));
    BOOST_TEST(freshness.isFresh(asOf + freshnessLimit));
    BOOST_TEST(!freshness.isFresh(asOf + freshnessLimit + 1ns));
    // An older timestamp, a lower revision, a refusal and an answer without age change nothing.
    BOOST_TEST(!freshness.onAnswer(answerOf(4, 0ms, 3'000'000), sent, sent + 1s));
    BOOST_TEST(!freshness.onAnswer(answerOf(3, 500ms, 0), sent + 1s, sent + 2s));
    BOOST_TEST(!freshness.onAnswer({ true, 9, 0, 0 }, sent + 1s, sent + 2s));
    BOOST_TEST(!freshness.onAnswer(answerOf(4, 500ms, std::nullopt), sent + 1s, sent + 2s));
    BOOST_TEST((*freshness.currentAsOf() == asOf));
    BOOST_TEST(freshness.revision() == 4U);
    // A reported hold time longer than the round trip does not prove a future state.
    freshness.onAnswer(answerOf(5, 60s, 0), sent + 1s, sent + 2s);
    BOOST_TEST((*freshness.currentAsOf() == sent + 2s));
}

// Guards against new requests on a VM that receives no gossip and so cannot know which
// members are leaving.
BOOST_AUTO_TEST_CASE(GossipSilenceEndsFreshness)
{
    base::VirtualClock clock;
    Freshness freshness;
    freshness.onAnswer(answerOf(1, 0ms, 0), clock.now(), clock.now());
    freshness.onGossip(true, std::nullopt);
    BOOST_TEST(!freshness.isFresh(clock.now()));
    freshness.onGossip(true, clock.now() - 2s);
    BOOST_TEST(freshness.isFresh(clock.now() + 1s));
    BOOST_TEST(!freshness.isFresh(clock.now() + 1'001ms));
    BOOST_TEST(freshness.isConfigurationFresh(clock.now() + 1'001ms));
    freshness.onGossip(false, std::nullopt);
    BOOST_TEST(freshness.isFresh(clock.now() + 1'001ms));
}

// Guards against a parent that answers late or twice, or accepts more children than its limit.
BOOST_AUTO_TEST_CASE(ParentHoldsPollsAndBoundsChildren)
{
    base::VirtualClock clock;
    FeedParent parent(2);
    BOOST_TEST((parent.onPoll({ 1, 3, false }, 4, clock.now() - 10ms, clock.now())->ageMicroseconds == 10'000U));
    BOOST_TEST(!parent.onPoll({ 1, 4, false }, 4, clock.now(), clock.now()));
    BOOST_TEST(parent.onPoll({ 2, 4, true }, 4, clock.now(), clock.now()).has_value());
    BOOST_TEST(parent.onPoll({ 3, 4, false }, 4, clock.now(), clock.now())->isRefused);
    clock.advance(499ms);
    BOOST_TEST(parent.tick(4, clock.now(), clock.now()).empty());
    clock.advance(1ms);
    const auto answers = parent.tick(4, std::nullopt, clock.now());
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST(answers[0].answer.heldMicroseconds == 500'000U);
    BOOST_TEST(!answers[0].answer.ageMicroseconds.has_value());
    BOOST_TEST(parent.tick(4, clock.now(), clock.now()).empty());
    // A new revision ends the hold immediately.
    parent.onPoll({ 1, 4, false }, 4, clock.now(), clock.now());
    BOOST_TEST(parent.tick(5, clock.now(), clock.now()).size() == 1U);
    // A child that no longer polls frees its slot.
    clock.advance(3s);
    BOOST_TEST(!parent.onPoll({ 3, 5, false }, 5, clock.now(), clock.now()));
    BOOST_TEST(parent.childCount() == 1U);
}

struct ChainResult {
    std::chrono::nanoseconds oldest { 0 };
    std::chrono::nanoseconds slowest { 0 };
    bool wasStale = false;
};

// Simulates polling for one minute along a chain of the leader and four levels, with a
// fixed delay per hop and random phases.
static ChainResult runChain(std::chrono::milliseconds delay, std::uint64_t seed)
{
    struct Link {
        Freshness freshness;
        FeedParent parent { maxRelayChildren };
        base::TimePoint sentAt;
        base::TimePoint arrivesAt;
        std::optional<FeedAnswer> answer;
        bool isPolling = false;
        bool isInFlight = false;
    };
    base::VirtualClock clock;
    base::Random random(seed);
    std::vector<Link> links(4);
    for (Link& link : links)
        link.sentAt = clock.now() + std::chrono::milliseconds(10 * random.below(60));
    FeedParent leader(maxLeaderChildren);
    ChainResult result;
    std::uint64_t revision = 1;
    base::TimePoint acceptedAt = clock.now();
    for (int step = 0; step < 6'000; ++step) {
        clock.advance(10ms);
        // Each new revision aligns the phases, so the first half has none.
        if (step >= 3'000 && step % 700 == 0) {
            ++revision;
            acceptedAt = clock.now();
        }
        for (std::size_t level = 0; level < links.size(); ++level) {
            Link& link = links[level];
            const std::uint64_t parentRevision = level ? links[level - 1].freshness.revision() : revision;
            const std::optional<base::TimePoint> parentAsOf = level ? links[level - 1].freshness.currentAsOf() : clock.now();
            FeedParent& parent = level ? links[level - 1].parent : leader;
            const auto send = [&](const FeedAnswer& answer) {
                link.answer = answer;
                link.arrivesAt = clock.now() + delay;
            };
            if (link.answer && clock.now() >= link.arrivesAt) {
                if (link.freshness.onAnswer(*link.answer, link.sentAt, clock.now()) && level == 3 && step >= 3'000)
                    result.slowest = std::max(result.slowest, clock.now() - acceptedAt);
                link.answer.reset();
                link.isPolling = false;
                link.sentAt = clock.now();
            }
            if (!link.isPolling && clock.now() >= link.sentAt) {
                link.sentAt = clock.now();
                link.isPolling = true;
                link.isInFlight = true;
            } else if (link.isInFlight && clock.now() >= link.sentAt + delay) {
                link.isInFlight = false;
                if (auto answer = parent.onPoll({ level, link.freshness.revision(), false }, parentRevision, parentAsOf, clock.now()))
                    send(*answer);
            }
            for (const FeedParent::Outgoing& outgoing : parent.tick(parentRevision, parentAsOf, clock.now()))
                send(outgoing.answer);
        }
        if (step > 1'000) {
            result.oldest = std::max(result.oldest, clock.now() - *links[3].freshness.currentAsOf());
            result.wasStale = result.wasStale || !links[3].freshness.isFresh(clock.now());
        }
    }
    return result;
}

// Guards against a chain of four levels whose last node is stale or updated late although
// all links work.
BOOST_AUTO_TEST_CASE(FourRelayLevelsStayFresh)
{
    ChainResult worst;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const ChainResult result = runChain(40ms, seed);
        worst.oldest = std::max(worst.oldest, result.oldest);
        worst.slowest = std::max(worst.slowest, result.slowest);
        worst.wasStale = worst.wasStale || result.wasStale;
    }
    BOOST_TEST_MESSAGE("4 levels, 40 ms per hop, seeds 1 to 50: oldest configuration " << worst.oldest / 1ms << " ms, slowest acceptance to last level " << worst.slowest / 1ms << " ms");
    BOOST_TEST(!worst.wasStale);
    BOOST_TEST((worst.slowest < 1s));
}
