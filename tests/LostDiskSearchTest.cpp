#include "tests/ConsensusHarness.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>

using namespace arbutus;
using namespace arbutus::consensus;

// Voters that lose their disks, in a cluster whose harness fails on two leaders in a term, on a
// leader that lacks a committed entry, on different entries at one index and on overlapping
// leases. Any number of disks may go: then a set may have no quorum, but must not go wrong.
class LostDiskSearch {
public:
    enum class Separation {
        // As long as the product takes it to be.
        Usual,
        // Short, with clocks that differ as much as the rule allows.
        Short,
    };

    LostDiskSearch(std::uint64_t seed, std::size_t voterCount, Separation separation = Separation::Usual)
        : cluster_(seed * 6271 + voterCount, voterCount, spareCount)
        , random_(cluster_.random)
        , separation_(separation)
    {
        cluster_.checksSyncedMajority = false;
        cluster_.maxDelay = Milliseconds(1 + random_.below(30));
        cluster_.duplicateProbability = 0.02;
        if (separation == Separation::Short) {
            cluster_.settings.separationTimeout = Milliseconds(700 + random_.below(2500));
            for (auto& node : cluster_.nodes)
                node.clockRate = random_.between(0.96, 1.04);
        }
        cluster_.startAll();
    }

    // The number of terms led by a half that was apart.
    std::size_t separateHalfCount() const { return separateHalfTerms_.size(); }

    // Returns the number of leaders that were elected.
    std::size_t play()
    {
        using Action = void (LostDiskSearch::*)();
        static constexpr std::array<Action, 16> actions { &LostDiskSearch::propose, &LostDiskSearch::propose, &LostDiskSearch::propose, &LostDiskSearch::change, &LostDiskSearch::change, &LostDiskSearch::change, &LostDiskSearch::change, &LostDiskSearch::stop, &LostDiskSearch::wipe, &LostDiskSearch::restart, &LostDiskSearch::restart, &LostDiskSearch::cut, &LostDiskSearch::split, &LostDiskSearch::heal, &LostDiskSearch::cutPairs, &LostDiskSearch::cutPairs };
        const std::size_t actionCount = separation_ == Separation::Short ? actions.size() : actions.size() - 2;
        for (int step = 0; step < 150; ++step) {
            cluster_.run(Milliseconds(random_.below(3) ? random_.below(30) : random_.below(900)));
            (this->*actions[random_.below(actionCount)])();
            recordSeparateHalves();
        }
        return cluster_.leaderByTerm.size();
    }

private:
    static constexpr std::size_t spareCount = 2;

    std::size_t pick() { return random_.below(cluster_.nodes.size()); }

    void recordSeparateHalves()
    {
        for (const auto& node : cluster_.nodes) {
            if (node.core && node.core->leadsSeparateHalf())
                separateHalfTerms_.insert(node.core->term());
        }
    }

    void propose()
    {
        if (auto leader = cluster_.leader(); leader < cluster_.nodes.size()) {
            cluster_.propose(leader);
            cluster_.read(leader);
        }
    }

    // Adds, promotes or removes any replica, or removes a disk that is lost.
    void change()
    {
        const auto leader = cluster_.leader();
        if (leader == cluster_.nodes.size())
            return;
        ReplicaKey key = cluster_.nodes[pick()].key;
        if (key.disk > 1 && !random_.below(3))
            --key.disk;
        cluster_.change(leader, static_cast<ChangeKind>(random_.below(3)), key);
    }

    void stop() { cluster_.crash(pick()); }
    // Most often the only lost disk of a while, so that the set goes on.
    void wipe()
    {
        if (cluster_.now < nextWipeAt_)
            return;
        nextWipeAt_ = cluster_.now + Milliseconds(random_.below(6000));
        cluster_.wipe(pick());
    }
    void restart() { cluster_.startAll(); }
    void cut() { cluster_.isolate(pick(), random_.below(4), random_.below(4)); }
    void heal() { cluster_.blockedLinks.clear(); }

    void split()
    {
        const auto sides = random_.next();
        for (std::size_t from = 0; from < cluster_.nodes.size(); ++from) {
            for (std::size_t to = 0; to < cluster_.nodes.size(); ++to) {
                if ((sides >> from & 1) != (sides >> to & 1))
                    cluster_.blockedLinks.insert({ from, to });
            }
        }
    }

    // A partition in which some replicas reach both sides.
    void cutPairs()
    {
        for (std::size_t first = 0; first < cluster_.nodes.size(); ++first) {
            for (std::size_t second = 0; second < first; ++second) {
                if (!random_.below(2))
                    cluster_.blockedLinks.insert({ { first, second }, { second, first } });
            }
        }
    }

    Cluster cluster_;
    base::Random& random_;
    const Separation separation_;
    std::chrono::nanoseconds nextWipeAt_ {};
    std::set<Term> separateHalfTerms_;
};

// The runs played for each size. More are played by hand with ARBUTUS_LOST_DISK_RUNS.
static std::uint64_t runCount()
{
    static constexpr std::uint64_t usualRunCount = 250;
    const char* text = std::getenv("ARBUTUS_LOST_DISK_RUNS");
    return text ? std::strtoull(text, nullptr, 10) : usualRunCount;
}

// Guards against a set of even size whose half, beside a lost disk, elects a leader that lacks
// an acknowledged entry or is the second one of its term.
BOOST_AUTO_TEST_CASE(HalfOfTheVotersBesideALostDiskNeverGoesWrong)
{
    for (std::size_t voterCount : { 2, 3, 4, 5, 6 }) {
        std::size_t leaders = 0;
        for (std::uint64_t seed = 1; seed <= runCount(); ++seed)
            leaders += LostDiskSearch(seed, voterCount).play();
        BOOST_TEST(leaders > 2 * runCount(), voterCount << " voters elected only " << leaders << " leaders");
    }
}

// Guards against two halves of a set that both act, one apart from the other and the other one
// beside a lost disk, or each apart from the other.
BOOST_AUTO_TEST_CASE(HalfThatIsApartNeverGoesWrong)
{
    std::size_t separateHalves = 0;
    for (std::size_t voterCount : { 2, 3, 4, 5, 6 }) {
        for (std::uint64_t seed = 1; seed <= runCount(); ++seed) {
            LostDiskSearch search(seed, voterCount, LostDiskSearch::Separation::Short);
            search.play();
            separateHalves += search.separateHalfCount();
        }
    }
    BOOST_TEST(separateHalves > runCount() / 10, "only " << separateHalves << " halves led");
}

// Elects a leader among `voterCount` replicas, the others being spares, and commits one entry.
static Cluster makeCluster(std::uint64_t seed, std::size_t voterCount)
{
    Cluster cluster(seed, voterCount, 4 - voterCount);
    cluster.checksSyncedMajority = false;
    cluster.startAll();
    cluster.propose(cluster.awaitLeader());
    cluster.run(Milliseconds(300));
    return cluster;
}

// Guards against a split into halves that gives two leaders or none for good: only the half of
// the tie-breaker goes on, and it commits nothing but changes of the set before the set is odd.
BOOST_AUTO_TEST_CASE(OneHalfOfASplitGoesOn)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Cluster cluster = makeCluster(seed, 4);
        const std::size_t tieBreaker = 3;
        const std::size_t partner = seed % 3;
        auto isOnItsSide = [&](std::size_t i) { return i == tieBreaker || i == partner; };
        for (std::size_t from = 0; from < 4; ++from) {
            for (std::size_t to = 0; to < 4; ++to) {
                if (isOnItsSide(from) != isOnItsSide(to))
                    cluster.blockedLinks.insert({ from, to });
            }
        }
        cluster.run(std::chrono::seconds(7));
        BOOST_TEST(cluster.leader() == 4U, "a half led before the separation timeout");
        BOOST_REQUIRE(cluster.runUntil([&] { return cluster.leader() < 4; }, std::chrono::seconds(5)));
        const std::size_t leader = cluster.leader();
        BOOST_TEST(isOnItsSide(leader));
        cluster.run(Milliseconds(200));
        const auto refused = cluster.propose(leader);
        BOOST_TEST((cluster.proposalStatuses[refused] == ProposalStatus::NoQuorum));
        cluster.read(leader);
        BOOST_TEST(cluster.grantedReads == 1U);
        const auto removal = cluster.change(leader, ChangeKind::Remove, cluster.nodes[(partner + 1) % 3].key);
        cluster.run(Milliseconds(300));
        BOOST_TEST((cluster.proposalStatuses[removal] == ProposalStatus::Committed));
        const auto command = cluster.propose(cluster.awaitLeader());
        cluster.run(Milliseconds(300));
        BOOST_TEST((cluster.proposalStatuses[command] == ProposalStatus::Committed));
        // The tie-breaker's disk is lost while its partner is dark: the others lack the command.
        cluster.crash(partner);
        cluster.blockedLinks.clear();
        cluster.wipe(tieBreaker);
        cluster.start(tieBreaker);
        cluster.run(std::chrono::seconds(15));
        BOOST_TEST(cluster.leader() == 4U);
        cluster.start(partner);
        BOOST_TEST(cluster.runUntil([&] { return cluster.leader() < 4; }, std::chrono::seconds(5)));
    }
}

static void cutPair(Cluster& cluster, std::size_t first, std::size_t second)
{
    cluster.blockedLinks.insert({ { first, second }, { second, first } });
}

// Guards against a half whose candidate has been apart from the others for long, but not the
// voter that it needs: beside the candidate's lost disk the others act as well.
BOOST_AUTO_TEST_CASE(VoterThatWasInTouchMakesNoHalf)
{
    std::size_t playedCount = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Cluster cluster = makeCluster(seed, 4);
        const std::size_t tieBreaker = 3;
        const std::size_t candidate = 0;
        for (std::size_t other : { 1, 2 })
            cutPair(cluster, candidate, other);
        cluster.run(std::chrono::seconds(10));
        if (const std::size_t leader = cluster.leader(); leader != 1 && leader != 2)
            continue;
        ++playedCount;
        for (std::size_t other : { 1, 2 })
            cutPair(cluster, tieBreaker, other);
        cluster.run(std::chrono::seconds(5));
        BOOST_TEST(cluster.leader() == 4U);
        cluster.crash(tieBreaker);
        cluster.wipe(candidate);
        cluster.blockedLinks.clear();
        cluster.start(candidate);
        BOOST_TEST(cluster.runUntil([&] { return cluster.leader() < 4; }, std::chrono::seconds(2)));
    }
    BOOST_TEST(playedCount > 5U);
}

// Returns the replicas other than these two.
static std::vector<std::size_t> othersThan(std::size_t first, std::size_t second)
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < 4; ++i) {
        if (i != first && i != second)
            result.push_back(i);
    }
    return result;
}

// Guards against a leader elected by a voter that missed a change and one that has lost its
// disk, while the third one, which also holds the change, is dark (review/8).
BOOST_AUTO_TEST_CASE(StaleVoterAndLostDiskOfThreeElectNobody)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Cluster cluster = makeCluster(seed, 3);
        const std::size_t leader = cluster.leader();
        const std::size_t stale = (leader + 1) % 3;
        const std::size_t wiped = (leader + 2) % 3;
        cluster.crash(stale);
        cluster.propose(leader);
        cluster.run(Milliseconds(200));
        cluster.crash(leader);
        cluster.wipe(wiped);
        cluster.start(wiped);
        cluster.start(stale);
        cluster.run(std::chrono::seconds(5));
        BOOST_TEST(cluster.leader() == cluster.nodes.size());
    }
}

// Guards against two voters that believe in a set of four although the removal of one of them
// was committed by the others: beside a lost disk they would be half of it.
BOOST_AUTO_TEST_CASE(HalfOfAReplacedSetElectsNobody)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        Cluster cluster = makeCluster(seed, 4);
        const std::size_t leader = cluster.leader();
        const std::size_t wiped = (leader + 1 + seed % 3) % 4;
        const auto stale = othersThan(leader, wiped);
        for (auto i : stale)
            cluster.isolate(i);
        const auto request = cluster.change(leader, ChangeKind::Remove, cluster.nodes[stale[seed % 2]].key);
        cluster.run(Milliseconds(300));
        const bool isCommitted = cluster.proposalStatuses[request] == ProposalStatus::Committed;
        BOOST_TEST(!isCommitted, "two of four voters committed the removal of a third");
        cluster.crash(leader);
        cluster.wipe(wiped);
        cluster.blockedLinks.clear();
        cluster.isolate(leader);
        cluster.start(wiped);
        // Now the two hold every committed entry, and may lead.
        BOOST_TEST(cluster.runUntil([&] { return cluster.leader() < 4; }, std::chrono::seconds(8)));
    }
}

// Guards against a lost disk that proves nothing about the votes that its replica gave before:
// without an answer of the new disk, half of the voters elect nobody.
BOOST_AUTO_TEST_CASE(HalfOfFourVotersElectsNobodyWithoutTheNewDisk)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Cluster cluster = makeCluster(seed, 4);
        const std::size_t leader = cluster.leader();
        const std::size_t wiped = (leader + 1) % 4;
        cluster.crash(leader);
        cluster.wipe(wiped);
        cluster.run(std::chrono::seconds(5));
        BOOST_TEST(cluster.leader() == cluster.nodes.size());
        cluster.start(wiped);
        BOOST_TEST(cluster.runUntil([&] { return cluster.leader() < 4; }, std::chrono::seconds(3)));
    }
}
