#include "include/fleet/ConfigurationProof.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using fleet::ConfigurationProof;
using fleet::ReportedVoter;
using fleet::VersionReport;
using Milliseconds = std::chrono::milliseconds;

static constexpr Milliseconds applyTime(2000);
static const base::TimePoint startTime(std::chrono::hours(1));

static base::TimePoint at(int milliseconds) { return startTime + Milliseconds(milliseconds); }

static ReportedVoter voter(std::uint64_t replica, std::uint64_t disk = 1) { return { replica, disk }; }

static VersionReport current(std::uint64_t version, std::uint32_t age) { return { true, version, age, {}, 0, 0, {} }; }

static VersionReport leaderless(ReportedVoter self, std::uint64_t version, std::uint64_t setIndex, std::vector<std::vector<ReportedVoter>> sets)
{
    return { false, version, 0, self, 1, setIndex, std::move(sets) };
}

static const std::vector<ReportedVoter> three { voter(1), voter(2), voter(3) };

BOOST_AUTO_TEST_CASE(CurrentControlVmProvesAsOfItsContactWithTheLeader)
{
    ConfigurationProof proof(applyTime);
    BOOST_TEST(!proof.provenAt(5));
    proof.record(1, current(5, 300), at(1000));
    BOOST_TEST((proof.provenAt(5) == at(700)));
    BOOST_TEST(!proof.provenAt(4));
    // An answer that comes later may be of an older moment.
    proof.record(2, current(5, 900), at(1200));
    BOOST_TEST((proof.provenAt(5) == at(700)));
}

// Guards against a version that is never proved while others follow it in quick succession.
BOOST_AUTO_TEST_CASE(ReplacedVersionStaysProvedUpToItsReplacement)
{
    ConfigurationProof proof(applyTime);
    std::uint64_t version = 5;
    for (int milliseconds : { 0, 200, 400, 600, 800, 1000, 1200, 1400, 1600, 1800 })
        proof.record(1, current(version++, 0), at(milliseconds));
    BOOST_TEST((proof.provenAt(5) == at(0)));
    BOOST_TEST((proof.provenAt(13) == at(1600)));
    BOOST_TEST((proof.provenAt(20) == at(1800)));
    // Nothing is kept for longer than it can count.
    proof.record(1, current(20, 0), at(9000));
    BOOST_TEST(!proof.provenAt(14));
}

// Guards against entry VMs that refuse everything during an election.
BOOST_AUTO_TEST_CASE(MajorityOfVotersProvesWithoutALeader)
{
    ConfigurationProof proof(applyTime);
    proof.record(1, leaderless(voter(1), 5, 3, { three }), at(100));
    BOOST_TEST(!proof.provenAt(5));
    proof.record(2, leaderless(voter(2), 5, 3, { three }), at(400));
    BOOST_TEST((proof.provenAt(5) == at(100)));
    proof.record(3, leaderless(voter(3), 5, 3, { three }), at(900));
    BOOST_TEST((proof.provenAt(5) == at(400)));
}

// Guards against a control VM that missed a change and one that has lost its disk, which are a
// majority of those that run (review/15).
BOOST_AUTO_TEST_CASE(StaleVoterAndLostDiskProveNothing)
{
    ConfigurationProof proof(applyTime);
    proof.record(1, leaderless(voter(1), 5, 3, { three }), at(100));
    proof.record(2, leaderless(voter(2, 7), 0, 0, {}), at(100));
    BOOST_TEST(!proof.provenAt(5));
    // As a learner, the new disk knows the set that it is no voter of.
    proof.record(2, leaderless(voter(2, 7), 5, 3, { three }), at(200));
    BOOST_TEST(!proof.provenAt(5));
}

// Guards against a majority of voters one of which has stored a later version that it does not
// know to be committed.
BOOST_AUTO_TEST_CASE(StoredLaterVersionIsNoProofOfTheOneBefore)
{
    ConfigurationProof proof(applyTime);
    proof.record(1, leaderless(voter(1), 9, 3, { three }), at(100));
    proof.record(2, leaderless(voter(2), 5, 3, { three }), at(100));
    BOOST_TEST(!proof.provenAt(5));
    BOOST_TEST((proof.provenAt(9) == at(100)));
}

// Guards against voters of a set that was replaced, and against a change of the set that may
// not be committed.
BOOST_AUTO_TEST_CASE(NewestSetsOfVotersDecide)
{
    const std::vector<ReportedVoter> next { voter(2), voter(3), voter(4) };
    ConfigurationProof proof(applyTime);
    proof.record(1, leaderless(voter(1), 5, 3, { three }), at(100));
    proof.record(2, leaderless(voter(2), 5, 8, { next }), at(100));
    BOOST_TEST(!proof.provenAt(5));
    proof.record(4, leaderless(voter(4), 5, 8, { next, three }), at(300));
    BOOST_TEST((proof.provenAt(5) == at(100)));

    ConfigurationProof beforeCommit(applyTime);
    beforeCommit.record(2, leaderless(voter(2), 5, 8, { next, three }), at(100));
    beforeCommit.record(4, leaderless(voter(4), 5, 8, { next, three }), at(100));
    BOOST_TEST(!beforeCommit.provenAt(5));
    beforeCommit.record(1, leaderless(voter(1), 5, 3, { three }), at(200));
    BOOST_TEST((beforeCommit.provenAt(5) == at(100)));
}
