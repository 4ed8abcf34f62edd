#pragma once

#include "include/base/Random.h"
#include "include/base/Time.h"
#include "include/consensus/ReplicaLog.h"

#include <deque>
#include <map>
#include <set>

namespace arbutus::consensus {

struct ReplicaSettings {
    ReplicaKey self;
    std::chrono::nanoseconds heartbeatInterval = std::chrono::milliseconds(100);
    std::chrono::nanoseconds electionTimeoutMin = std::chrono::milliseconds(600);
    std::chrono::nanoseconds electionTimeoutMax = std::chrono::milliseconds(1200);
    // Bound of the entries in one append message and of the data in one snapshot chunk.
    std::size_t maxBatchBytes = std::size_t { 1 } << 20;
    std::size_t maxBatchEntries = 1024;
    std::size_t maxEntryBytes = std::size_t { 512 } << 10;
    // Append messages sent to one follower and not yet answered.
    std::size_t maxInflightBatches = 8;
    // A leader refuses proposals while this much is accepted and not committed.
    std::size_t maxUncommittedBytes = std::size_t { 16 } << 20;
    // Entries kept behind a snapshot, so that a slightly lagging follower needs no snapshot.
    Index trailingEntries = 1024;
    std::size_t maxSnapshotBytes = std::size_t { 256 } << 20;
};

// What a replica finds on its disk. An uninitialised disk has an empty
// configuration, or the first configuration of a new deployment.
struct DurableState {
    HardState hardState;
    Configuration bootstrap;
    std::optional<Snapshot> snapshot;
    std::vector<Entry> entries;
};

// Chosen by the caller to recognise the result. Unique among its open requests.
using RequestId = std::uint64_t;

struct Tick { };
struct Receive {
    Message message;
};
struct Proposal {
    RequestId requestId = 0;
    std::string data;
};
// Proposals handed over together share messages and one write.
struct Propose {
    std::vector<Proposal> proposals;
};
// Everything up to and including the output with this write number is synced.
struct Persisted {
    std::uint64_t writeNumber = 0;
};
// The caller has synced a snapshot whose meta it got from describeSnapshot(). A
// snapshot above maxSnapshotBytes is ignored, because no follower would accept it.
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
struct Read {
    RequestId requestId = 0;
};
using Input = std::variant<Tick, Receive, Propose, Persisted, SnapshotTaken, ChangeConfiguration, Read>;

enum class ProposalStatus {
    // Appended by this leader at `index` and `term`; one of the next three follows
    // unless the process ends.
    Accepted,
    Committed,
    // Another entry was committed at its index, so this one never will be.
    Superseded,
    // A snapshot replaced the index, so this replica cannot tell.
    Unknown,
    // All following kinds are refusals: nothing was appended.
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
    // Granted: the state machine has every entry up to `index` once the committed
    // entries of the same output are applied; the read must happen before `validUntil`.
    Index index = 0;
    base::TimePoint validUntil;
};

// The caller writes in this order: hard state, snapshot, truncation, appends, and
// reports Persisted once they are synced; writes of several outputs keep their
// order and may share a sync. Every message may be sent at once: the core holds a
// message that depends on a write (a vote, a vote request, the confirmation of
// entries or of a snapshot) until that write is reported as persisted.
struct Output {
    // Zero if there is nothing to write, else one more than that of the last write.
    std::uint64_t writeNumber = 0;
    std::optional<HardState> hardState;
    // Store it, drop the log up to its index (all of it if `discardsLog`) and reset
    // the state machine to it before applying `committed`.
    std::optional<Snapshot> snapshot;
    bool discardsLog = false;
    // Remove the entries from this index on.
    std::optional<Index> truncateFrom;
    std::vector<Entry> appends;
    // Entries up to this index are no longer needed on disk; zero for no change.
    Index compactTo = 0;

    std::vector<Message> messages;
    // In order, each index once for the lifetime of the core.
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

// One replica of the replicated log, as a pure transition over inputs and time.
// Not safe to use from several threads.
class ReplicaCore {
public:
    // Fails with InvalidSetting for contradictory limits and with StorageCorrupt
    // for a log that has a gap or cannot be decoded. Entries that the snapshot
    // supersedes are ignored: if log().lastIndex() is below the last stored entry,
    // the caller must discard its stored log before the first write.
    static base::Result<ReplicaCore> Make(const ReplicaSettings&, DurableState, base::Random, base::TimePoint now);

    // `now` is monotonic time of this process. Messages that are malformed, for
    // another disk or out of date change nothing.
    Output step(const Input&, base::TimePoint now);

    // A tick is due at this time if no other input arrives.
    base::TimePoint nextDeadline() const;

    // Fails with InvalidRequest unless `index` has been handed out as committed
    // and is still in the log.
    base::Result<SnapshotMeta> describeSnapshot(Index) const;

    Role role() const { return role_; }
    Term term() const { return term_; }
    const ReplicaKey& self() const { return settings_.self; }
    const std::optional<ReplicaKey>& leader() const { return leader_; }
    Index commitIndex() const { return commitIndex_; }
    Index appliedIndex() const { return appliedIndex_; }
    const ReplicaLog& log() const { return log_; }
    const Configuration& configuration() const { return log_.configuration(); }
    // The end of the lease of a leader; in the past for any other role.
    base::TimePoint leaseEnd() const;
    // The peers that have answered this leader within an election timeout; empty at
    // any other role.
    std::vector<ReplicaKey> activePeers() const;
    // Messages dropped because they contradict the protocol.
    std::uint64_t rejectedMessageCount() const { return rejectedMessageCount_; }

private:
    enum class PeerMode {
        // The match is unknown: one append message at a time.
        Probe,
        Replicate,
        Snapshot,
    };
    struct Peer {
        PeerMode mode = PeerMode::Probe;
        // The follower's log is known to be equal and synced up to here.
        Index matchIndex = 0;
        Index nextIndex = 1;
        bool isProbeSent = false;
        std::deque<Index> inflight;
        std::uint64_t ackedRound = 0;
        base::TimePoint lastResponseAt;
        base::TimePoint lastSentAt;
        Snapshot snapshot;
        std::uint64_t snapshotOffset = 0;
    };
    struct PendingWrite {
        std::uint64_t number = 0;
        Index lastIndex = 0;
        HardState hardState;
    };
    struct DeferredMessage {
        // Absent until the step ends.
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
    void countVotes();
    void becomeFollower(Term, std::optional<ReplicaKey> leader);
    void becomeLeader();
    void setTerm(Term, std::optional<ReplicaKey> vote);
    // Returns whether the sender leads this replica's term; answers a deposed leader.
    bool acceptLeader(const Message&);

    // Followers.
    bool areEntriesValid(const Message&, const AppendRequest&) const;
    void storeEntries(const AppendRequest&);
    void rejectAppend(const AppendRequest&);
    void acknowledgeAppend();
    void installSnapshot();
    void truncateFrom(Index);
    void capPersistedIndex(Index);

    // The leader.
    Peer* peerForResponse(const Message&);
    void appendEntry(EntryKind, std::string data);
    void syncPeersWithConfiguration();
    void sendHeartbeats();
    void replicateToAll();
    void replicateTo(const ReplicaKey&, Peer&);
    // Returns the number of entries sent.
    std::size_t sendBatch(const ReplicaKey&, Peer&);
    void sendSnapshotChunk(const ReplicaKey&, Peer&);
    void resendUnacknowledged();
    bool isActive(const Peer&) const;
    void updateLease();
    void advanceCommit();
    std::chrono::nanoseconds leaseDuration() const;
    ProposalStatus checkLeadership() const;
    ProposalStatus checkConfigurationChange(const ChangeConfiguration&, Configuration& changed) const;
    bool hasActiveMajority(const Configuration&) const;
    // The value that a majority of voters has reached.
    std::uint64_t majorityValue(std::uint64_t own, std::uint64_t Peer::*value) const;

    void send(const ReplicaKey& to, MessageBody);
    void sendWhenPersisted(const ReplicaKey& to, MessageBody);
    void emitCommitted();
    void completeReads();
    void assignWriteNumber();
    void releaseDeferredMessages();

    ReplicaSettings settings_;
    base::Random random_;
    base::TimePoint now_;

    // The durable part, as it will be once the pending writes are synced.
    Term term_ = 0;
    std::optional<ReplicaKey> vote_;
    ReplicaLog log_;
    std::optional<Snapshot> snapshot_;

    std::uint64_t lastWriteNumber_ = 0;
    std::uint64_t persistedWriteNumber_ = 0;
    std::deque<PendingWrite> pendingWrites_;
    HardState persistedHardState_;
    Index persistedIndex_ = 0;
    std::vector<DeferredMessage> deferredMessages_;

    Role role_ = Role::Follower;
    std::optional<ReplicaKey> leader_;
    Index commitIndex_ = 0;
    Index appliedIndex_ = 0;
    base::TimePoint lastLeaderContact_;
    base::TimePoint electionDeadline_;
    std::set<ReplicaKey> votes_;
    // The log equals that of this term's leader up to here.
    Index matchedIndex_ = 0;
    std::optional<IncomingSnapshot> incomingSnapshot_;

    std::map<ReplicaKey, Peer> peers_;
    base::TimePoint heartbeatDue_;
    std::uint64_t heartbeatRound_ = 0;
    std::deque<std::pair<std::uint64_t, base::TimePoint>> roundSendTimes_;
    // Absent until a majority has answered a round of this term.
    std::optional<base::TimePoint> leaseStart_;
    base::TimePoint leaderSince_;
    Index termStartIndex_ = 0;
    std::size_t uncommittedBytes_ = 0;
    std::multimap<Index, PendingProposal> pendingProposals_;
    // Each waits until the entry that was committed when it arrived is applied.
    std::deque<std::pair<RequestId, Index>> pendingReads_;

    std::uint64_t rejectedMessageCount_ = 0;
    Output output_;
};

} // namespace arbutus::consensus
