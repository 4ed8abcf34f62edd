#include "include/consensus/ReplicaCore.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace arbutus;
using namespace arbutus::consensus;

static const base::TimePoint startTime(std::chrono::hours(1));
static const ReplicaKey self { 0, 1 };
static const ReplicaKey peer { 1, 1 };

static ReplicaCore makeCore(HardState hardState, std::vector<Entry> entries)
{
    ReplicaSettings settings;
    settings.self = self;
    DurableState state;
    state.hardState = hardState;
    state.bootstrap.voters = { self, peer, { 2, 1 } };
    state.entries = std::move(entries);
    return ReplicaCore::Make(settings, state, base::Random(1), startTime).value();
}

static Output receive(ReplicaCore& core, Term term, MessageBody body, base::TimePoint now)
{
    return core.step(Receive { { peer, self, term, std::move(body) } }, now);
}

// Makes the core the leader of the next term. Returns the time of the election.
static base::TimePoint electLeader(ReplicaCore& core)
{
    auto now = startTime + std::chrono::seconds(2);
    const Term term = core.term() + 1;
    core.step(Tick {}, now);
    Output output = receive(core, term - 1, VoteResponse { true, true, term, std::nullopt }, now);
    core.step(Persisted { output.writeNumber }, now);
    receive(core, term, VoteResponse { false, true, term, std::nullopt }, now);
    BOOST_REQUIRE((core.role() == Role::Leader));
    return now;
}

// Guards against a learner that sends operators to a leader that is gone, and takes reports
// of upstreams as if it were in contact.
BOOST_AUTO_TEST_CASE(LearnerForgetsALeaderThatIsSilent)
{
    ReplicaSettings settings;
    settings.self = self;
    DurableState state;
    state.hardState = { 1, std::nullopt };
    state.bootstrap = { { peer, { 2, 1 } }, { self } };
    ReplicaCore core = ReplicaCore::Make(settings, state, base::Random(1), startTime).value();
    receive(core, 1, Heartbeat { 1, 0, 0, std::nullopt }, startTime);
    BOOST_REQUIRE(core.leader().has_value());
    core.step(Tick {}, startTime + settings.electionTimeoutMax);
    BOOST_TEST(!core.leader().has_value());
    BOOST_TEST((core.role() == Role::Follower));
    receive(core, 1, Heartbeat { 2, 0, 0, std::nullopt }, startTime + 2 * settings.electionTimeoutMax);
    BOOST_TEST(core.leader().has_value());
}

// Guards against committing an entry of an earlier term by counting its copies: a later
// leader may still overwrite it. Also guards against counting the leader's unsynced log.
BOOST_AUTO_TEST_CASE(CommitRequiresSyncedMajorityInCurrentTerm)
{
    ReplicaCore core = makeCore({ 2, std::nullopt }, { { 1, 1, EntryKind::Command, "a" }, { 2, 2, EntryKind::Command, "b" } });
    const auto now = electLeader(core);
    receive(core, 3, AppendResponse { true, 2, 0, 0 }, now);
    BOOST_TEST(core.commitIndex() == 0U, "an entry of an earlier term was committed by counting copies");
    receive(core, 3, AppendResponse { true, 3, 0, 0 }, now);
    BOOST_TEST(core.commitIndex() == 0U, "the leader's unsynced log was counted");
    Output output = core.step(Receive { { { 2, 1 }, self, 3, AppendResponse { true, 3, 0, 0 } } }, now);
    BOOST_TEST(core.commitIndex() == 3U);
    BOOST_TEST(output.committed.size() == 2U, "an unsynced entry was applied");
    BOOST_TEST(core.step(Persisted { 2 }, now).committed.size() == 1U);
}

// Guards against a vote that is sent before it is synced and is lost in a crash, so that
// the replica votes twice in a term. Also guards against a vote for a candidate whose log
// is behind, which may happen if it fell behind after the pre-vote.
BOOST_AUTO_TEST_CASE(VoteIsSentOnlyAfterSync)
{
    ReplicaCore core = makeCore({}, {});
    const auto now = startTime + std::chrono::milliseconds(601);
    Output output = receive(core, 1, VoteRequest { false, 0, 0 }, now);
    BOOST_TEST(output.messages.empty());
    BOOST_TEST((output.hardState == HardState { 1, peer, 0 }));
    output = core.step(Persisted { output.writeNumber }, now);
    BOOST_REQUIRE(output.messages.size() == 1U);
    BOOST_TEST(std::get<VoteResponse>(output.messages[0].body).isGranted);
    ReplicaCore ahead = makeCore({ 1, std::nullopt }, { { 1, 1, EntryKind::Command, "a" } });
    output = receive(ahead, 2, VoteRequest { false, 0, 0 }, now);
    BOOST_TEST(!std::get<VoteResponse>(output.messages.at(0).body).isGranted);
}

// Guards against a restarted replica that votes while the lease it acknowledged before
// the restart is still valid, and against a vote on behalf of a wiped disk, of which it only
// says that it is lost.
BOOST_AUTO_TEST_CASE(RestartedReplicaRefusesVotesForOneElectionTimeout)
{
    ReplicaCore core = makeCore({}, {});
    for (bool isPreVote : { true, false }) {
        Output output = receive(core, 9, VoteRequest { isPreVote, 9, 9 }, startTime + std::chrono::milliseconds(599));
        BOOST_TEST(!std::get<VoteResponse>(output.messages.at(0).body).isGranted);
        BOOST_TEST(output.writeNumber == 0U);
    }
    Output output = core.step(Receive { { peer, { self.replica, 9 }, 9, VoteRequest { false, 9, 9 } } }, startTime + std::chrono::seconds(1));
    BOOST_REQUIRE(output.messages.size() == 1U);
    const auto& response = std::get<VoteResponse>(output.messages[0].body);
    BOOST_TEST(!response.isGranted);
    BOOST_TEST(response.lostDisk.value() == 9U);
    BOOST_TEST(output.writeNumber == 0U);
}

// Guards against a lease that starts when the heartbeat response arrives instead of when
// the heartbeat was sent. Such a lease could overlap with that of the next leader.
BOOST_AUTO_TEST_CASE(LeaseStartsAtHeartbeatSendTime)
{
    ReplicaCore core = makeCore({}, {});
    const auto sentAt = electLeader(core);
    BOOST_TEST((core.step(Propose { { { 1, "early" } } }, sentAt).proposalResults[0].status == ProposalStatus::NoQuorum));
    receive(core, 1, HeartbeatResponse { 1, std::nullopt }, sentAt + std::chrono::milliseconds(90));
    BOOST_TEST((core.leaseEnd() == sentAt + std::chrono::milliseconds(540)));
    // Until the leader commits an entry of its term, a configuration change of its
    // predecessor may still be uncommitted.
    BOOST_TEST((core.step(ChangeConfiguration { 3, ChangeKind::AddLearner, { 8, 1 } }, sentAt).proposalResults[0].status == ProposalStatus::ChangeInProgress));
    BOOST_TEST((core.step(Propose { { { 2, "late" } } }, core.leaseEnd()).proposalResults[0].status == ProposalStatus::NoQuorum));
    BOOST_TEST((core.role() == Role::Follower));
}

// Guards against a leader that lost its majority and goes on to prove its leadership.
BOOST_AUTO_TEST_CASE(LeadershipIsConfirmedByTheMajorityOnly)
{
    ReplicaCore core = makeCore({}, {});
    const auto sentAt = electLeader(core);
    BOOST_TEST(!core.leadershipConfirmedAt().has_value());
    receive(core, 1, HeartbeatResponse { 1, std::nullopt }, sentAt + std::chrono::milliseconds(90));
    core.step(Tick {}, sentAt + std::chrono::milliseconds(500));
    BOOST_TEST((core.leadershipConfirmedAt() == sentAt));
    core.step(Tick {}, core.leaseEnd());
    BOOST_TEST(!core.leadershipConfirmedAt().has_value());
}

// Guards against unbounded memory growth on a leader whose followers stop responding.
BOOST_AUTO_TEST_CASE(LeaderRejectsOversizedAndExcessProposals)
{
    ReplicaCore core = makeCore({}, {});
    const auto now = electLeader(core);
    receive(core, 1, HeartbeatResponse { 1, std::nullopt }, now);
    BOOST_TEST((core.step(Propose { { { 1, std::string((512 << 10) + 1, 'x') } } }, now).proposalResults[0].status == ProposalStatus::TooLarge));
    Propose many { std::vector<Proposal>(40, { 2, std::string(512 << 10, 'x') }) };
    Output output = core.step(many, now);
    BOOST_TEST((output.proposalResults.back().status == ProposalStatus::Overloaded));
    BOOST_TEST(output.appends.size() < 33U);
}

// Guards against a follower that commits beyond the entries known to match the leader's
// and applies a conflicting entry.
BOOST_AUTO_TEST_CASE(FollowerCommitsOnlyMatchedEntries)
{
    ReplicaCore core = makeCore({ 2, std::nullopt }, { { 1, 1, EntryKind::Command, "a" }, { 1, 2, EntryKind::Command, "old" } });
    BOOST_TEST(receive(core, 2, AppendRequest { 1, 1, 2, {} }, startTime).committed.size() == 1U);
}

// Guards against probing a long conflicting log one entry at a time.
BOOST_AUTO_TEST_CASE(BacktrackingSkipsWholeTerms)
{
    std::vector<Entry> entries;
    for (Index index = 1; index <= 100; ++index)
        entries.push_back({ index <= 10 ? Term { 1 } : Term { 4 }, index, EntryKind::Command, "x" });
    ReplicaCore core = makeCore({ 4, std::nullopt }, entries);
    const auto now = electLeader(core);
    // The follower's log has term 1 up to index 10 and term 3 from 11 to 100.
    Output output = receive(core, 5, AppendResponse { false, 100, 100, 3 }, now);
    BOOST_REQUIRE(output.messages.size() == 1U);
    BOOST_TEST(std::get<AppendRequest>(output.messages[0].body).previousIndex == 10U);
}

// Guards against starting from a log that has a gap, and against using entries that were
// superseded by a snapshot received just before a crash.
BOOST_AUTO_TEST_CASE(ValidatesStoredLogAtStart)
{
    DurableState state;
    state.hardState.term = 3;
    state.entries = { { 1, 1, EntryKind::Command, "" }, { 1, 3, EntryKind::Command, "" } };
    auto core = ReplicaCore::Make({}, state, base::Random(1), startTime);
    BOOST_TEST((core.has_error() && core.error().kind == base::ErrorKind::StorageCorrupt));
    state.entries[1].index = 2;
    state.snapshot = Snapshot { { 1, 3, {} }, std::make_shared<const std::string>() };
    BOOST_TEST(ReplicaCore::Make({}, state, base::Random(1), startTime).value().log().lastIndex() == 1U);
}

static std::vector<MessageBody> sampleBodies()
{
    const Configuration members { { self, peer }, { { 3, 7 } } };
    const std::vector<Entry> entries { { 2, 4, EntryKind::Command, "order" }, { 3, 5, EntryKind::Configuration, encode(members) } };
    return { VoteRequest { true, 4, 2, { peer } }, VoteResponse { false, true, 3, 77, true }, AppendRequest { 3, 1, 3, entries }, AppendResponse { false, 9, 4, 2 }, Heartbeat { 8, 3, 5, 17 }, HeartbeatResponse { 8, 17 }, SnapshotChunk { { 6, 2, members }, 10, 0, "0123456789" }, SnapshotResponse { 6, 10 } };
}

// Guards against a crash on corrupt bytes, both in the decoder and in the core, which
// receives every message that still decodes. Undecodable bytes must be reported as
// MalformedFrame.
BOOST_AUTO_TEST_CASE(CorruptMessagesDoNotCrash)
{
    base::Random random(77);
    std::size_t decoded = 0;
    for (int round = 0; round < 40; ++round) {
        ReplicaCore core = makeCore({ 1, std::nullopt }, { { 1, 1, EntryKind::Command, "a" } });
        auto now = round % 2 ? electLeader(core) : startTime;
        for (int i = 0; i < 2500; ++i) {
            auto bodies = sampleBodies();
            std::string bytes = encode(Message { peer, self, random.below(5), bodies[random.below(bodies.size())] });
            if (random.below(4) == 0) {
                bytes.resize(random.below(64));
                std::generate(bytes.begin(), bytes.end(), [&random] { return static_cast<char>(random.below(256)); });
            } else {
                for (auto flips = random.below(4); flips > 0; --flips) {
                    char& byte = bytes[random.below(bytes.size())];
                    byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << random.below(8)));
                }
            }
            now += std::chrono::milliseconds(random.below(40));
            auto message = decode<Message>(bytes);
            if (message.has_error()) {
                BOOST_REQUIRE((message.error().kind == base::ErrorKind::MalformedFrame));
                continue;
            }
            ++decoded;
            Output output = core.step(Receive { std::move(message).value() }, now);
            core.step(Persisted { output.writeNumber }, now);
        }
    }
    BOOST_TEST(decoded > 10000U);
}

// Guards against a field that is not encoded, and against accepting truncated messages or
// trailing bytes.
BOOST_AUTO_TEST_CASE(MessagesRoundTripThroughCodec)
{
    BOOST_TEST(decode<Entry>(encode(Entry { 1, 1, static_cast<EntryKind>(7), {} })).has_error());
    for (const MessageBody& body : sampleBodies()) {
        const std::string bytes = encode(Message { peer, self, 5, body });
        auto message = decode<Message>(bytes);
        BOOST_REQUIRE(message.has_value());
        BOOST_TEST(message.value().body.index() == body.index());
        BOOST_TEST(encode(message.value()) == bytes);
        BOOST_TEST(decode<Message>(bytes + "x").has_error());
        for (std::size_t length = 0; length < bytes.size(); ++length)
            BOOST_TEST(decode<Message>(std::string_view(bytes).substr(0, length)).has_error());
    }
}

// The hard state and the vote response as 5f5b488 encodes them, whose disks and replicas are
// met while the machines are replaced one after the other.
struct EarlierHardState {
    Term term = 0;
    std::optional<ReplicaKey> vote;
    MSGPACK_DEFINE(term, vote)
};

struct EarlierVoteResponse {
    bool isPreVote = false;
    bool isGranted = false;
    Term requestedTerm = 0;
    MSGPACK_DEFINE(isPreVote, isGranted, requestedTerm)
};

// Both votes as e88ac54 encodes them.
struct EarlierVoteRequest {
    bool isPreVote = false;
    Index lastIndex = 0;
    Term lastTerm = 0;
    MSGPACK_DEFINE(isPreVote, lastIndex, lastTerm)
};

struct VoteResponseOfLostDisk {
    bool isPreVote = false;
    bool isGranted = false;
    Term requestedTerm = 0;
    std::optional<std::uint64_t> lostDisk;
    MSGPACK_DEFINE(isPreVote, isGranted, requestedTerm, lostDisk)
};

template <typename To, typename From>
static To convert(const From& from)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, from);
    return msgpack::unpack(buffer.data(), buffer.size()).get().as<To>();
}

// Guards against a disk or a message that the landing before and this one do not both read.
BOOST_AUTO_TEST_CASE(StateAndVotesOfAnEarlierBuildAreReadAndReadOurs)
{
    BOOST_TEST((convert<HardState>(EarlierHardState { 7, peer }) == HardState { 7, peer, 0 }));
    const auto earlier = convert<EarlierHardState>(HardState { 7, peer, 12 });
    BOOST_TEST(earlier.term == 7U);
    BOOST_TEST((earlier.vote == peer));
    BOOST_TEST(!convert<VoteResponse>(EarlierVoteResponse { true, true, 4 }).lostDisk);
    BOOST_TEST(convert<EarlierVoteResponse>(VoteResponse { true, false, 4, 77 }).requestedTerm == 4U);
    BOOST_TEST(convert<VoteRequest>(EarlierVoteRequest { true, 4, 2 }).apartFrom.empty());
    BOOST_TEST(convert<EarlierVoteRequest>(VoteRequest { true, 4, 2, { peer } }).lastIndex == 4U);
    const auto response = convert<VoteResponse>(VoteResponseOfLostDisk { true, true, 4, 77 });
    BOOST_TEST(response.lostDisk.value() == 77U);
    BOOST_TEST(!response.isApart);
    BOOST_TEST(convert<VoteResponseOfLostDisk>(VoteResponse { true, true, 4, 77, true }).lostDisk.value() == 77U);
}

// Guards against a state that counts as current although the replica has missed entries, and
// against heartbeats that waited while the process stood still and count as contact (review/8).
BOOST_AUTO_TEST_CASE(StateIsCurrentOnlyWithAllThatTheLeaderHasCommitted)
{
    ReplicaCore core = makeCore({ 1, std::nullopt }, {});
    auto now = startTime;
    BOOST_TEST(!core.isCurrent());
    receive(core, 1, Heartbeat { 1, 0, 2, std::nullopt }, now);
    BOOST_TEST(!core.isCurrent());
    const auto append = [&](Index index) {
        Output output = receive(core, 1, AppendRequest { index - 1, index > 1 ? Term { 1 } : Term { 0 }, index, { { 1, index, EntryKind::Command, "x" } } }, now);
        core.step(Persisted { output.writeNumber }, now);
    };
    append(1);
    BOOST_TEST(!core.isCurrent());
    append(2);
    BOOST_TEST(core.isCurrent());
    BOOST_TEST((core.leaderContactAt() == base::TimePoint()));
    const auto answered = now.time_since_epoch().count();
    now += 2 * ReplicaSettings().electionTimeoutMax;
    Output output = receive(core, 1, Heartbeat { 2, 2, 2, answered }, now);
    BOOST_TEST(std::get<HeartbeatResponse>(output.messages.back().body).time.value() == now.time_since_epoch().count());
    BOOST_TEST((core.leaderContactAt() == startTime));
    receive(core, 1, Heartbeat { 2, 2, 2, answered + std::int64_t { 1000 } * 1000 * 1000 * 1000 }, now);
    BOOST_TEST((core.leaderContactAt() == startTime));
    receive(core, 1, Heartbeat { 3, 2, 9, answered }, now);
    BOOST_TEST(!core.isCurrent());
    // A leader of an earlier build says neither.
    receive(core, 2, Heartbeat { 1, 2, std::nullopt, std::nullopt }, now);
    BOOST_TEST(core.isCurrent());
    BOOST_TEST((core.leaderContactAt() == now));
    now += 2 * ReplicaSettings().electionTimeoutMax;
    core.step(Tick {}, now);
    BOOST_TEST(!core.isCurrent());
}
