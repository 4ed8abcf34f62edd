#include "include/consensus/ReplicaPlanner.h"
#include "include/base/Clock.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::consensus;

static const ReplicaKey a { 1, 10 };
static const ReplicaKey b { 2, 20 };
static const ReplicaKey c { 3, 30 };
static const ReplicaKey wipedC { 3, 31 };
static const ReplicaKey d { 4, 40 };

struct PlannerFixture {
    base::VirtualClock clock;
    ReplicaPlanner planner { 3 };
    Configuration configuration { { a, b, c }, {} };

    // Runs the planner for `span` of virtual time. Applies every planned change and returns
    // the changes in order.
    std::vector<ReplicaChange> run(const std::vector<ReplicaKey>& active, std::chrono::milliseconds span, std::optional<ReplicaKey> joining = std::nullopt)
    {
        std::vector<ReplicaChange> changes;
        for (auto elapsed = std::chrono::milliseconds(0); elapsed < span; elapsed += std::chrono::milliseconds(100)) {
            clock.advance(std::chrono::milliseconds(100));
            if (joining)
                planner.recordJoinRequest(*joining, clock.now());
            if (auto change = planner.planNext(a, configuration, active, clock.now())) {
                changes.push_back(*change);
                apply(*change);
            }
        }
        return changes;
    }

    void apply(const ReplicaChange& change)
    {
        auto erase = [&change](std::vector<ReplicaKey>& members) { members.erase(std::remove(members.begin(), members.end(), change.replica), members.end()); };
        erase(configuration.learners);
        if (change.kind != ChangeKind::Promote)
            erase(configuration.voters);
        if (change.kind == ChangeKind::AddLearner)
            configuration.learners.push_back(change.replica);
        if (change.kind == ChangeKind::Promote)
            configuration.voters.push_back(change.replica);
    }
};

// Guards against a wiped disk that remains a voter in place of the old disk, whose votes
// it does not remember.
BOOST_AUTO_TEST_CASE(WipedDiskRejoinsAsLearner)
{
    PlannerFixture fixture;
    auto changes = fixture.run({ b, wipedC }, std::chrono::seconds(2), wipedC);
    const std::vector<ReplicaChange> expected { { ChangeKind::AddLearner, wipedC }, { ChangeKind::Remove, c }, { ChangeKind::Promote, wipedC } };
    BOOST_TEST((changes == expected));
}

// Guards against a cluster that stays at two voters after one is lost permanently.
BOOST_AUTO_TEST_CASE(NewReplicaReplacesLostVoter)
{
    PlannerFixture fixture;
    auto changes = fixture.run({ b, d }, std::chrono::seconds(4), d);
    const std::vector<ReplicaChange> expected { { ChangeKind::AddLearner, d }, { ChangeKind::Promote, d }, { ChangeKind::Remove, c } };
    BOOST_TEST((changes == expected));
    BOOST_TEST((fixture.configuration.voters == std::vector<ReplicaKey> { a, b, d }));
}

// Guards against removing a voter that is temporarily down when there is no replacement.
BOOST_AUTO_TEST_CASE(InactiveVoterStaysWithoutReplacement)
{
    PlannerFixture fixture;
    BOOST_TEST(fixture.run({ b }, std::chrono::seconds(60)).empty());
}

// Guards against an ever larger number of voters, which makes a quorum harder to reach.
BOOST_AUTO_TEST_CASE(AllowsAtMostOneVoterAboveTarget)
{
    PlannerFixture fixture;
    fixture.run({ b, c, d }, std::chrono::seconds(2), d);
    BOOST_TEST(fixture.configuration.voters.size() == 4U);
    const ReplicaKey e { 5, 50 };
    fixture.run({ b, c, d, e }, std::chrono::seconds(2), e);
    BOOST_TEST(fixture.configuration.voters.size() == 4U);
}

// Guards against six voters, of which neither half has a majority when the control VMs are
// partitioned into halves, and against a lost voter that is not replaced.
BOOST_AUTO_TEST_CASE(FiveVotersGetASixthOnlyToReplaceOne)
{
    PlannerFixture fixture;
    fixture.planner = ReplicaPlanner(5);
    const ReplicaKey e { 5, 50 };
    const ReplicaKey f { 6, 60 };
    fixture.run({ b, c, d }, std::chrono::seconds(1), d);
    fixture.run({ b, c, d, e }, std::chrono::seconds(1), e);
    fixture.run({ b, c, d, e, f }, std::chrono::seconds(5), f);
    BOOST_TEST((fixture.configuration.voters == std::vector<ReplicaKey> { a, b, c, d, e }));
    BOOST_TEST((fixture.configuration.learners == std::vector<ReplicaKey> { f }));
    const std::vector<ReplicaChange> replacement { { ChangeKind::Promote, f }, { ChangeKind::Remove, c } };
    BOOST_TEST((fixture.run({ b, d, e, f }, std::chrono::seconds(2)) == replacement));
}

BOOST_AUTO_TEST_CASE(SecondLeadershipGrantsMembersFullDelay)
{
    PlannerFixture fixture;
    fixture.configuration = { { a, b, c, d }, {} };
    BOOST_TEST(fixture.run({ b, c, d }, std::chrono::seconds(1)).empty());
    fixture.clock.advance(std::chrono::minutes(1));
    fixture.planner.beginLeadership(fixture.clock.now());
    // The fourth voter's first response takes a second.
    BOOST_TEST(fixture.run({ b, c }, std::chrono::seconds(1)).empty());
    BOOST_TEST(fixture.run({ b, c, d }, std::chrono::seconds(3)).empty());
}

// Guards against a set that waits for a voter's silence although the voter has said that it
// stops, and against a set below its target.
BOOST_AUTO_TEST_CASE(LeavingVoterIsRemovedAtOnceOnlyAboveTheTarget)
{
    PlannerFixture fixture;
    fixture.planner.recordLeaveRequest(c, fixture.clock.now());
    BOOST_TEST(fixture.run({ b, c }, std::chrono::milliseconds(500)).empty());
    fixture.configuration.voters.push_back(d);
    const std::vector<ReplicaChange> expected { { ChangeKind::Remove, c } };
    BOOST_TEST((fixture.run({ b, c, d }, std::chrono::milliseconds(100)) == expected));
}

// Guards against a successor that is promoted although its process is about to end.
BOOST_AUTO_TEST_CASE(DepartingLearnerIsNotPromoted)
{
    PlannerFixture fixture;
    fixture.configuration.learners.push_back(d);
    fixture.planner.recordProcessGone(d.replica, fixture.clock.now());
    BOOST_TEST(fixture.run({ b, c, d }, std::chrono::milliseconds(300)).empty());
    const std::vector<ReplicaChange> expected { { ChangeKind::Promote, d } };
    BOOST_TEST((fixture.run({ b, c, d }, std::chrono::seconds(1)) == expected));
}

// Guards against a voter that stays removed because its request to leave never expires.
BOOST_AUTO_TEST_CASE(LeaveRequestExpires)
{
    PlannerFixture fixture;
    fixture.planner.recordLeaveRequest(c, fixture.clock.now());
    fixture.run({ b, c }, std::chrono::seconds(2));
    fixture.configuration.voters.push_back(d);
    BOOST_TEST(fixture.run({ b, c, d }, std::chrono::seconds(5)).empty());
}
