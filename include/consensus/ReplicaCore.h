#pragma once

#include "include/base/Random.h"
#include "include/base/Time.h"
#include "include/consensus/Quorum.h"
#include "include/consensus/ReplicaLog.h"
#include "include/consensus/VoterContacts.h"

#include <deque>
#include <map>
#include <set>

namespace arbutus::consensus {

// Timing and size limits of one replica.
struct ReplicaSettings {
    ReplicaKey self;
    std::chrono::nanoseconds heartbeatInterval = std::chrono::milliseconds(100);
    std::chrono::nanoseconds electionTimeoutMin = std::chrono::milliseconds(600);
    std::chrono::nanoseconds electionTimeoutMax = std::chrono::milliseconds(1200);
    // A replica that has received nothing from a voter for this long is apart from it. Longer
    // than a partition that heals by itself usually lasts, and shorter than the time within
    // which service must return after a loss.
    std::chrono::nanoseconds separationTimeout = std::chrono::seconds(8);
    // Names the run of the clock that `now` is read from, which outlasts a process. Empty if
    // unknown: then a process knows nothing of the contacts of an earlier one.
    std::string boot = {};
    // Limits the entries in one append request and the data in one snapshot chunk.
    std::size_t maxBatchBytes = std::size_t { 1 } << 20;
    std::size_t maxBatchEntries = 1024;
    std::size_t maxEntryBytes = std::size_t { 512 } << 10;
    // Limits the unacknowledged append requests to one follower.
    std::size_t maxInflightBatches = 8;
    // The leader rejects proposals that would exceed this size of uncommitted entries.
    std::size_t maxUncommittedBytes = std::size_t { 16 } << 20;
    // Entries retained before a snapshot's index, so that a slightly lagging follower can
    // catch up without a snapshot transfer.
    Index trailingEntries = 1024;
    std::size_t maxSnapshotBytes = std::size_t { 256 } << 20;
};

// The state that a replica recovers from its disk. On an uninitialized disk,
// `bootstrap` is empty or holds the initial configuration of a new deployment.
struct DurableState {
    HardState hardState;
    Configuration bootstrap;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> entries;
};

// Chosen by the caller to match a result to its request. Unique among its pending
// requests.
using RequestId = std::uint64_t;

// Inputs of ReplicaCore::step().

// Time has passed; see ReplicaCore::nextDeadline().
struct Tick { };
struct Receive {
    Message message;
};
struct Proposal {
    RequestId requestId = 0;
    std::string data;
};
// Proposals in one input share append requests and one write.
struct Propose {
    std::vector<Proposal> proposals;
};
// All writes up to and including the output with this write number are synced.
struct Persisted {
    std::uint64_t writeNumber = 0;
};
// Whether the disk takes writes. A leader without a writable disk steps down if the other
// voters can elect one of them, and no replica campaigns without one.
struct DiskChanged {
    bool isWritable = true;
};
// The caller has synced a snapshot whose metadata came from describeSnapshot(). A
// snapshot larger than maxSnapshotBytes is ignored, because no follower would accept it.
struct SnapshotTaken {
    Snapshot snapshot;
};
enum class ChangeKind {
    AddLearner,
    Promote,
    Remove,
};
struct ChangeConfiguration {
    RequestId requestId = 0;
    ChangeKind kind = ChangeKind::AddLearner;
    ReplicaKey replica;
};
// A linearizable read, served under the leader lease.
struct Read {
    RequestId requestId = 0;
};
using Input = std::variant<Tick, Receive, Propose, Persisted, DiskChanged, SnapshotTaken, ChangeConfiguration, Read>;

enum class ProposalStatus {
    // Appended by this leader at `index` and `term`. One of the next three statuses
    // follows unless the process exits.
    Accepted,
    Committed,
    // A different entry was committed at this index, so the proposal never will be.
    Superseded,
    // A received snapshot covers the index, so the outcome is not known here.
    Unknown,
    // The remaining statuses are rejections: nothing was appended.
    NotLeader,
    NoQuorum,
    TooLarge,
    Overloaded,
    ChangeInProgress,
    NotCaughtUp,
    InvalidChange,
};

// The result of a proposal or of a configuration change.
struct ProposalResult {
    RequestId requestId = 0;
    ProposalStatus status = ProposalStatus::Accepted;
    Index index = 0;
    Term term = 0;
};

enum class ReadStatus {
    Granted,
    NotLeader,
    NoQuorum,
};

struct ReadResult {
    RequestId requestId = 0;
    ReadStatus status = ReadStatus::Granted;
    // Granted: the state machine contains every entry up to `index` once the committed
    // entries of the same output are applied. The read must happen before `validUntil`.
    Index index = 0;
    base::TimePoint validUntil;
};

// The effects of one step. The caller writes the hard state, the snapshot, the
// truncation and the appends in this order, and reports Persisted once they are
// synced. Writes of several outputs stay in order and may share a sync. Messages may
// be sent immediately: the core defers a message that depends on a write (a vote, a
// vote request, the acknowledgement of entries or of a snapshot) until that write is
// reported as persisted.
struct Output {
    // Zero if there is nothing to write, otherwise one more than the previous write number.
    std::uint64_t writeNumber = 0;
    std::optional<HardState> hardState;
    // Store it, discard the log up to its index (the whole log if `discardsLog` is set)
    // and restore the state machine from it before applying `committed`.
    std::optional<Snapshot> snapshot;
    bool discardsLog = false;
    // Remove all entries from this index on.
    std::optional<Index> truncateFrom;
    std::vector<Entry> appends;
    // Entries up to this index are no longer needed on disk. Zero means no change.
    Index compactTo = 0;

    std::vector<Message> messages;
    // Newly committed entries in order. Each index appears at most once in the core's lifetime.
    std::vector<Entry> committed;
    std::vector<ProposalResult> proposalResults;
    std::vector<ReadResult> readResults;
};

enum class Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

// The Raft state machine of one replica: leader election with pre-vote, log
// replication, leader lease, snapshots and single-server membership changes. It
// performs no I/O and reads no clock; step() maps an input and a time to an output.
// Not thread-safe.
class ReplicaCore {
public:
    // Fails with InvalidSetting for contradictory settings and with StorageCorrupt for a
    // log that has a gap or cannot be decoded. Entries superseded by the snapshot are
    // ignored: if log().lastIndex() is below the last stored entry, the caller must
    // discard its stored log before the first write.
    static base::Result<ReplicaCore> Make(const ReplicaSettings&, DurableState, base::Random, base::TimePoint now);

    // `now` is the monotonic time of this process. Messages that are malformed, stale or
    // addressed to another disk do not change the state.
    Output step(const Input&, base::TimePoint now);

    // Returns when the next Tick is due if no other input arrives.
    base::TimePoint nextDeadline() const;

    // Returns the metadata of a snapshot at `index`. Fails with InvalidRequest unless the
    // entry has been output as committed and is still in the log.
    base::Result<SnapshotMeta> describeSnapshot(Index) const;

    Role role() const { return role_; }
    Term term() const { return term_; }
    const ReplicaKey& self() const { return settings_.self; }
    const std::optional<ReplicaKey>& leader() const { return leader_; }
    Index commitIndex() const { return commitIndex_; }
    Index appliedIndex() const { return appliedIndex_; }
    const ReplicaLog& log() const { return log_; }
    const Configuration& configuration() const { return log_.configuration(); }
    // Returns the configurations whose quorums are needed.
    std::vector<const Configuration*> configurationsInForce() const { return log_.configurationsInForce(committedConfiguration_); }
    // Returns when the newest heartbeat was sent that a majority has confirmed; nullopt
    // without one, or in any role but that of the leader.
    std::optional<base::TimePoint> leadershipConfirmedAt() const { return role_ == Role::Leader ? leaseStart_ : std::nullopt; }
    // Returns when the leader's lease ends; a time in the past in any other role.
    base::TimePoint leaseEnd() const;
    // Returns how long a lease lasts from the sending of the heartbeat that grants it.
    std::chrono::nanoseconds leaseDuration() const;
    // Returns the peers that have responded to this leader within an election timeout;
    // empty in any other role.
    std::vector<ReplicaKey> activePeers() const;
    // Whether the applied state contains all that the leader had committed when it was last
    // heard from. False while this replica knows no leader.
    bool isCurrent() const;
    // Returns a time after which the leader is known to have been there. A heartbeat alone
    // proves nothing: it may have waited while this process stood still.
    base::TimePoint leaderContactAt() const { return role_ == Role::Leader ? leaseStart_.value_or(base::TimePoint()) : leaderAnsweredAt_; }
    // Returns the voters whose disk this replica has found to be lost since its start.
    const LostVoters& lostVoters() const { return lostVoters_; }
    // Whether this replica leads with half of an even set that is apart from the other half.
    bool leadsSeparateHalf() const { return role_ == Role::Leader && quorumOfTerm().hasSeparateHalf(); }
    // The number of messages dropped because they violate the protocol.
    std::uint64_t rejectedMessageCount() const { return rejectedMessageCount_; }

private:
    enum class PeerMode {
        // The match index is unknown: sends one append request at a time.
        Probe,
        // Pipelines append requests.
        Replicate,
        // Transfers a snapshot.
        Snapshot,
    };
    // The leader's replication progress for one follower or learner.
    struct Peer {
        PeerMode mode = PeerMode::Probe;
        // The follower's log is known to match and to be synced up to this index.
        Index matchIndex = 0;
        Index nextIndex = 1;
        bool isProbeSent = false;
        // The last index of each unacknowledged append request.
        std::deque<Index> inflight;
        std::uint64_t ackedRound = 0;
        // HeartbeatResponse::time of the newest response.
        std::optional<std::int64_t> responseTime;
        base::TimePoint lastResponseAt;
        // The heartbeat round before the last append request or snapshot chunk.
        std::uint64_t roundBeforeSend = 0;
        // When a heartbeat sent after it was first acknowledged. As messages between two
        // replicas stay in order, it has arrived by then or is lost.
        std::optional<base::TimePoint> passedAt;
        Snapshot snapshot;
        std::uint64_t snapshotOffset = 0;
    };
    struct PendingWrite {
        std::uint64_t number = 0;
        Index lastIndex = 0;
        HardState hardState;
    };
    struct DeferredMessage {
        // The write to wait for; assigned at the end of the step.
        std::optional<std::uint64_t> writeNumber;
        Message message;
    };
    struct PendingProposal {
        RequestId requestId = 0;
        Term term = 0;
    };
    struct IncomingSnapshot {
        SnapshotMeta meta;
        std::uint64_t totalSize = 0;
        std::string data;
    };

    ReplicaCore(const ReplicaSettings&, DurableState, base::Random, base::TimePoint now);

    void onInput(const Tick&);
    void onInput(const Receive&);
    void onInput(const Propose&);
    void onInput(const Persisted&);
    void onInput(const DiskChanged&);
    void onInput(const SnapshotTaken&);
    void onInput(const ChangeConfiguration&);
    void onInput(const Read&);

    void onMessage(const Message&, const VoteRequest&);
    void onMessage(const Message&, const VoteResponse&);
    void onMessage(const Message&, const AppendRequest&);
    void onMessage(const Message&, const AppendResponse&);
    void onMessage(const Message&, const Heartbeat&);
    void onMessage(const Message&, const HeartbeatResponse&);
    void onMessage(const Message&, const SnapshotChunk&);
    void onMessage(const Message&, const SnapshotResponse&);

    // Elections.
    std::chrono::nanoseconds randomBetween(std::chrono::nanoseconds low, std::chrono::nanoseconds high);
    bool hasRecentLeader() const;
    void startPreVote();
    void startElection();
    void requestVotes(bool isPreVote);
    // Tells the sender that the disk to which its request is addressed is lost.
    void answerForLostDisk(const Message&);
    void recordLostDisk(const ReplicaKey& responder, const VoteResponse&);
    // See VoterContacts. Stores the contacts from time to time while the set of voters is even.
    void recordContact(const ReplicaKey& voter, base::TimePoint sentAt);
    bool isApartFrom(const ReplicaKey& voter) const { return contacts_.isApartFrom(voter, now_); }
    bool isApartFromAll(const std::vector<ReplicaKey>&) const;
    // Ends a separate half whose other half is heard from.
    void recordMessageFrom(const ReplicaKey&);
    // Returns the voters that this replica is apart from if the others may be half of an even
    // set with its tie-breaker.
    std::vector<ReplicaKey> otherHalf() const;
    // Call when an election, or an inquiry before one, begins.
    void beginSeparateHalf();
    // Returns the last entry that a candidate needs for the vote of this replica.
    Index lastGuardedIndex() const;
    void countVotes();
    void becomeFollower(Term, std::optional<ReplicaKey> leader);
    void becomeLeader();
    void setTerm(Term, std::optional<ReplicaKey> vote);
    // Returns whether the sender is the leader of the current term, and follows it if so.
    // A stale leader is sent the newer term.
    bool acceptLeader(const Message&);
    void recordContact(const Heartbeat&);

    // Follower.
    bool areEntriesValid(const Message&, const AppendRequest&) const;
    void storeEntries(const AppendRequest&);
    void rejectAppend(const AppendRequest&);
    void acknowledgeAppend();
    void installSnapshot();
    void truncateFrom(Index);
    // Marks entries after the index as not persisted, also in pending writes.
    void capPersistedIndex(Index);

    // Leader.
    // Returns the progress of the sender, or nullptr if this replica does not lead or the
    // response belongs to another term. Steps down on a newer term.
    Peer* peerForResponse(const Message&);
    void appendEntry(EntryKind, std::string data);
    void syncPeersWithConfiguration();
    void sendHeartbeats();
    void replicateToAll();
    void replicateTo(const ReplicaKey&, Peer&);
    // Returns the number of entries sent.
    std::size_t sendBatch(const ReplicaKey&, Peer&);
    void sendSnapshotChunk(const ReplicaKey&, Peer&);
    // Sends an append request or a snapshot chunk, which is sent again if it is lost.
    void sendReliably(const ReplicaKey&, Peer&, MessageBody);
    void resendUnacknowledged();
    bool isActive(const Peer&) const;
    void updateLease();
    void advanceCommit();
    ProposalStatus checkLeadership() const;
    bool isSelfOrActive(const ReplicaKey&) const;
    ProposalStatus checkConfigurationChange(const ChangeConfiguration&, Configuration& changed) const;
    // Returns the highest value that a quorum has reached. `own` is the value of this
    // replica.
    std::uint64_t quorumValue(std::uint64_t own, std::uint64_t Peer::*value) const;

    // The rule for votes and acknowledgements of the current term.
    QuorumRule quorumOfTerm() const { return { configurationsInForce(), lostVotersOfTerm_, separateHalf_ }; }
    HardState hardState() const { return { term_, vote_, committedConfiguration_, settings_.boot, storedContacts_ }; }
    void recordCommittedConfiguration();
    void send(const ReplicaKey& to, MessageBody);
    // Defers the message until all writes of this and earlier steps are persisted.
    void sendWhenPersisted(const ReplicaKey& to, MessageBody);
    void emitCommitted();
    void completeReads();
    void assignWriteNumber();
    void releaseDeferredMessages();

    ReplicaSettings settings_;
    base::Random random_;
    base::TimePoint now_;

    // The durable state as it will be once the pending writes are synced.
    Term term_ = 0;
    std::optional<ReplicaKey> vote_;
    Index committedConfiguration_ = 0;
    ReplicaLog log_;
    std::optional<Snapshot> snapshot_;

    std::uint64_t lastWriteNumber_ = 0;
    std::uint64_t persistedWriteNumber_ = 0;
    std::deque<PendingWrite> pendingWrites_;
    HardState persistedHardState_;
    Index persistedIndex_ = 0;
    std::vector<DeferredMessage> deferredMessages_;

    bool isDiskWritable_ = true;
    Role role_ = Role::Follower;
    std::optional<ReplicaKey> leader_;
    Index commitIndex_ = 0;
    Index appliedIndex_ = 0;
    base::TimePoint lastLeaderContact_;
    // From the last heartbeat of the current leader.
    std::optional<Index> currentIndex_;
    // When this replica sent the newest message that its leader is known to have answered.
    base::TimePoint leaderAnsweredAt_;
    base::TimePoint electionDeadline_;
    std::set<ReplicaKey> votes_;
    // Voters whose disk is known to be lost for good, and those of them that were known when
    // the current term's election began. Only the latter count with votes and
    // acknowledgements of the term, which are all later than the loss.
    LostVoters lostVoters_;
    LostVoters lostVotersOfTerm_;
    // The candidate and those that have voted for it as a half that is apart, in this election
    // or in the one that this leader has won. Empty once another voter has been heard from.
    SeparateHalf separateHalf_;
    VoterContacts contacts_;
    // Those in the hard state.
    std::vector<StoredContact> storedContacts_;
    base::TimePoint contactsStoredAt_;
    // Follower: the log matches that of the current term's leader up to this index.
    Index matchedIndex_ = 0;
    std::optional<IncomingSnapshot> incomingSnapshot_;

    std::map<ReplicaKey, Peer> peers_;
    base::TimePoint heartbeatDue_;
    std::uint64_t heartbeatRound_ = 0;
    std::deque<std::pair<std::uint64_t, base::TimePoint>> roundSendTimes_;
    // Absent until a majority has acknowledged a heartbeat round of this term.
    std::optional<base::TimePoint> leaseStart_;
    base::TimePoint leaderSince_;
    Index termStartIndex_ = 0;
    std::size_t uncommittedBytes_ = 0;
    std::multimap<Index, PendingProposal> pendingProposals_;
    // Each read waits until its read index is applied.
    std::deque<std::pair<RequestId, Index>> pendingReads_;

    std::uint64_t rejectedMessageCount_ = 0;
    Output output_;
};

} // namespace arbutus::consensus
