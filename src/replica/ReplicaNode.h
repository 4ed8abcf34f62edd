#pragma once

#include "include/base/Clock.h"
#include "include/base/LatenessMeter.h"
#include "include/base/RankedMutex.h"
#include "include/base/Timeline.h"
#include "include/consensus/ReplicaCore.h"
#include "include/state/StateMachine.h"
#include "src/replica/ReplicaStorage.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace arbutus::replica {

// The status of a replica, published after each iteration of its event loop.
struct ReplicaStatus {
    consensus::ReplicaKey self;
    consensus::Role role = consensus::Role::Follower;
    consensus::Term term = 0;
    std::optional<consensus::ReplicaKey> leader;
    consensus::Index commitIndex = 0;
    consensus::Index appliedIndex = 0;
    consensus::Index lastIndex = 0;
    consensus::Configuration configuration;
    // Whether this replica knows that `configuration` is committed.
    bool isConfigurationCommitted = false;
    // See ReplicaCore.
    bool isCurrent = false;
    // See ReplicaCore.
    base::TimePoint leaderContactAt;
    std::uint64_t routesVersion = 0;
    // The newest version of the routes in the log, committed or not.
    std::uint64_t storedRoutesVersion = 0;
    // The position of the newest set of voters in the log, and the sets in force.
    consensus::Term votersTerm = 0;
    consensus::Index votersIndex = 0;
    std::vector<std::vector<consensus::ReplicaKey>> voterSets;
    // When the leader's lease ends; a time in the past in any other role.
    base::TimePoint leaseEnd;
    std::uint64_t syncCount = 0;
    std::uint64_t snapshotCount = 0;
    bool isDiskFull = false;
    // The peers that have responded to this leader within an election timeout; empty in
    // any other role.
    std::vector<consensus::ReplicaKey> activePeers;
    std::uint64_t feedRevision = 0;
    std::uint64_t sheetRevision = 0;
    // Digest of the last audit record. Replicas with the same applied index have the same
    // digest.
    state::RawDigest auditHead {};
    // When the newest heartbeat was sent that had been confirmed by a majority at the last
    // read under the lease.
    std::optional<base::TimePoint> leadershipConfirmedAt;
};

// Runs one replica: an event loop on its own thread drives the replication core, its
// storage and the state machine. All public functions are thread-safe.
class ReplicaNode {
public:
    using SendMessage = std::function<void(const consensus::Message&)>;
    using OutcomeCallback = std::function<void(base::Result<state::Outcome>)>;
    using ChangeCallback = std::function<void(base::Result<void>)>;
    using ReadCallback = std::function<void(base::Result<const state::StateMachine*>)>;
    // Called on the event loop's thread after each iteration.
    using IterationCallback = std::function<void(const ReplicaStatus&, const state::StateMachine&)>;

    struct Options {
        std::uint64_t replica = 0;
        std::string folder;
        std::uint64_t randomSeed = 0;
        // Takes a snapshot after this many applied entries or this many bytes of them.
        std::uint64_t snapshotIntervalEntries = 4096;
        std::uint64_t snapshotIntervalBytes = std::uint64_t { 64 } << 20;
        // The maximum time between two checks of the deadlines of pending requests.
        std::chrono::milliseconds deadlineCheckInterval { 20 };
        // `self` is set by the node.
        consensus::ReplicaSettings core;
    };

    static base::Result<std::unique_ptr<ReplicaNode>> Make(const base::Clock&, base::Timeline&, const Options&, SendMessage, IterationCallback);
    ~ReplicaNode();

    std::uint64_t diskNumber() const { return storage_->diskNumber(); }
    bool isBlank() const { return isBlank_; }

    // Starts the event loop. `bootstrap` is the initial configuration of a new
    // deployment. It is empty if the folder has state or if the replica joins an existing
    // cluster.
    base::Result<void> start(const consensus::Configuration& bootstrap);

    void receive(consensus::Message);

    // Proposes an encoded command. `callback` is called once, on the event loop's thread,
    // with the outcome, with an error that guarantees that the command has no effect
    // (NotLeader, NoQuorum, StorageFull, Overloaded, InvalidRequest), or with
    // CommandUnconfirmed if the command may still be committed.
    void propose(std::string command, base::TimePoint deadline, OutcomeCallback callback);
    void changeConfiguration(consensus::ChangeKind, consensus::ReplicaKey, base::TimePoint deadline, ChangeCallback callback);
    // Linearizable read: calls `callback` on the event loop's thread with the state
    // machine once it includes everything committed before the call. Requires the leader
    // lease. The state machine may be used only within the callback.
    void read(base::TimePoint deadline, ReadCallback callback);

    ReplicaStatus status() const;

    // See ReplicaCore. Unlike the status, it may be read often.
    base::TimePoint leaderContactAt() const { return leaderContactAt_; }

    // Returns the longest delay of a due heartbeat or election since the last call.
    std::chrono::milliseconds takeLateness() { return lateness_.take(); }
    // Returns the longest age of the newest heartbeat round that a majority has
    // acknowledged to this leader since the last call. A leader steps down when it
    // reaches the lease.
    std::chrono::milliseconds takeLeaseAge() { return leaseAge_.take(); }

private:
    struct ProposeRequest {
        std::string command;
        base::TimePoint deadline;
        OutcomeCallback callback;
    };
    struct ChangeRequest {
        consensus::ChangeKind kind;
        consensus::ReplicaKey replica;
        base::TimePoint deadline;
        ChangeCallback callback;
    };
    struct ReadRequest {
        base::TimePoint deadline;
        ReadCallback callback;
    };
    using LoopEvent = std::variant<consensus::Message, ProposeRequest, ChangeRequest, ReadRequest>;

    // A proposal, configuration change or read that awaits its result.
    struct PendingRequest {
        base::TimePoint deadline;
        std::variant<OutcomeCallback, ChangeCallback, ReadCallback> callback;
        // Whether the core has appended the entry, so that it may still be committed.
        bool isAppended = false;
    };

    // The part of the log that is not applied yet.
    struct TailPosition {
        consensus::Index appliedIndex = 0;
        consensus::Index lastIndex = 0;
        consensus::Term lastTerm = 0;

        friend bool operator==(const TailPosition& left, const TailPosition& right) { return std::tie(left.appliedIndex, left.lastIndex, left.lastTerm) == std::tie(right.appliedIndex, right.lastIndex, right.lastTerm); }
    };

    ReplicaNode(const base::Clock&, base::Timeline&, const Options&, SendMessage, IterationCallback);

    void enqueue(LoopEvent);
    void run();
    std::deque<LoopEvent> waitForEvents();
    void handleEvents(std::deque<LoopEvent>);
    void step(const consensus::Input&);
    void handleEvent(consensus::Message, std::vector<consensus::Proposal>&);
    void handleEvent(ProposeRequest, std::vector<consensus::Proposal>&);
    void handleEvent(ChangeRequest, std::vector<consensus::Proposal>&);
    void handleEvent(ReadRequest, std::vector<consensus::Proposal>&);
    void apply(const consensus::Output&);
    void applySnapshot(const consensus::Snapshot&);
    void completeProposals(const consensus::Output&);
    void completeReads(const consensus::Output&);
    void failRequest(consensus::RequestId, base::Error);
    // Writes the queued outputs until one fails with StorageFull. Returns the number of
    // the last write, or zero if nothing was written.
    std::uint64_t writeOutputs();
    // Call when a write has failed because the disk is full, and when writes succeed.
    void recordFullDisk(const base::Error&);
    void recordWritableDisk();
    void flushWrites();
    void expirePendingRequests();
    void takeSnapshotIfDue();
    void recordTiming();
    // Keeps the proof of leadership recent, which the configuration feed requires.
    void confirmLeadership();
    // Returns the newest version of the routes in the log, committed or not.
    std::uint64_t storedRoutesVersion();
    void publishStatus();
    [[noreturn]] static void exitOnStorageFailure(const base::Error&);

    const base::Clock& clock_;
    base::Timeline& timeline_;
    const Options options_;
    const SendMessage send_;
    const IterationCallback onIteration_;

    std::unique_ptr<ReplicaStorage> storage_;
    bool isBlank_ = false;
    std::optional<consensus::ReplicaCore> core_;
    std::unique_ptr<state::StateMachine> machine_;
    // Outputs that are not written yet, oldest first.
    std::deque<consensus::Output> unwrittenOutputs_;
    bool isDiskFull_ = false;
    // Whether the core knows that the disk is full.
    bool hasReportedFullDisk_ = false;
    base::TimePoint writeRetryAt_;
    std::map<consensus::RequestId, PendingRequest> pendingRequests_;
    // Outcomes of the entries applied in the current step, by index.
    std::map<consensus::Index, state::Outcome> outcomes_;
    consensus::RequestId nextRequestId_ = 1;
    consensus::RequestId leadershipReadId_ = 0;
    std::optional<base::TimePoint> leadershipConfirmedAt_;
    consensus::Index lastSnapshotIndex_ = 0;
    std::uint64_t snapshotCount_ = 0;
    // Bytes of the entries applied since the last snapshot.
    std::uint64_t appliedBytes_ = 0;
    consensus::Role lastRole_ = consensus::Role::Follower;
    std::set<consensus::ReplicaKey> loggedLostVoters_;
    std::atomic<base::TimePoint> leaderContactAt_ {};
    // The tail that was searched last, and the newest version of the routes in it.
    TailPosition scannedTail_;
    std::uint64_t unappliedRoutesVersion_ = 0;
    base::LatenessMeter lateness_;
    base::LatenessMeter leaseAge_;

    mutable base::RankedMutex mutex_;
    std::condition_variable_any eventsAvailable_;
    std::deque<LoopEvent> events_;
    ReplicaStatus status_;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace arbutus::replica
