#include "tests/ReplicaFleet.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::consensus;

// The bound on the acknowledgement of a change while the core is stable.
static constexpr std::chrono::seconds acknowledgementBound(4);
static constexpr Milliseconds resendInterval(300);

// Sends a command to the leader again and again, as operators do, until one is confirmed.
// Returns how long that took, or `limit`.
static std::chrono::nanoseconds timeToCommit(ReplicaFleet& fleet, std::chrono::nanoseconds limit)
{
    Cluster& cluster = fleet.cluster;
    const auto sentAt = cluster.now;
    std::vector<RequestId> requests;
    auto nextSendAt = cluster.now;
    auto isConfirmed = [&] {
        const std::size_t leader = cluster.leader();
        const bool maySend = leader < cluster.nodes.size() && cluster.now >= cluster.nodes[leader].fullUntil;
        if (maySend && cluster.now >= nextSendAt) {
            requests.push_back(cluster.propose(leader));
            nextSendAt = cluster.now + resendInterval;
        }
        return std::any_of(requests.begin(), requests.end(), [&](RequestId request) { return cluster.proposalStatuses[request] == ProposalStatus::Committed; });
    };
    return fleet.runUntil(isConfirmed, limit) ? cluster.now - sentAt : limit;
}

// Which replica's disk is full next.
enum class Victim {
    Leader,
    Follower,
    InTurn,
};

static std::size_t pick(ReplicaFleet& fleet, Victim victim, std::size_t round)
{
    if (victim == Victim::InTurn)
        return round % ReplicaFleet::targetVoterCount;
    const std::size_t leader = fleet.cluster.awaitLeader();
    return victim == Victim::Leader ? leader : (leader + 1 + round) % ReplicaFleet::targetVoterCount;
}

// Guards against changes that nobody can make while, or long after, one disk is full.
BOOST_AUTO_TEST_CASE(ChangesAreConfirmedWhileDisksAreFullOneAfterAnother)
{
    constexpr std::size_t rounds = 6;
    constexpr Milliseconds gap(700);
    std::uint64_t seed = 0;
    for (auto victim : { Victim::Leader, Victim::Follower, Victim::InTurn }) {
        for (auto span : { Milliseconds(300), Milliseconds(900), Milliseconds(3000), Milliseconds(9000) }) {
            ReplicaFleet fleet(++seed, 1);
            for (std::size_t round = 0; round < rounds; ++round) {
                const std::size_t full = pick(fleet, victim, round);
                fleet.cluster.fillDisk(full, span);
                // A write that was on its way finds the disk full.
                if (fleet.cluster.isLeading(full))
                    fleet.cluster.propose(full);
                const auto end = fleet.cluster.now + span;
                while (fleet.cluster.now < end)
                    BOOST_TEST((timeToCommit(fleet, 2 * acknowledgementBound) < acknowledgementBound), "span " << span.count() << " ms, seed " << seed);
                fleet.run(gap);
            }
            BOOST_TEST((timeToCommit(fleet, acknowledgementBound) < std::chrono::seconds(1)));
            BOOST_TEST(fleet.configuration().voters.size() == ReplicaFleet::targetVoterCount);
            fleet.cluster.healAndConverge();
        }
    }
}

BOOST_AUTO_TEST_CASE(LeaderWithAFullDiskStaysIfTheOthersCannotElectOne)
{
    ReplicaFleet fleet(7, 0);
    const std::size_t leader = fleet.cluster.awaitLeader();
    fleet.end((leader + 1) % ReplicaFleet::targetVoterCount, ReplicaFleet::End::Silence);
    fleet.run(std::chrono::seconds(1));
    fleet.cluster.fillDisk(leader, std::chrono::seconds(3));
    fleet.cluster.propose(leader);
    fleet.run(std::chrono::seconds(2));
    BOOST_TEST(fleet.cluster.leader() == leader);
    fleet.run(std::chrono::seconds(2));
    BOOST_TEST((timeToCommit(fleet, acknowledgementBound) < std::chrono::seconds(1)));
}
