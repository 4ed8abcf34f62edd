#pragma once

#include "include/base/Clock.h"
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
#include <string>
#include <thread>
#include <vector>

namespace arbutus::replica {

// What others may see of a replica, copied after each round of its loop.
struct ReplicaStatus {
    consensus::ReplicaKey self;
    consensus::Role role = consensus::Role::Follower;
    consensus::Term term = 0;
    std::optional<consensus::ReplicaKey> leader;
    consensus::Index commitIndex = 0;
    consensus::Index appliedIndex = 0;
    consensus::Index lastIndex = 0;
    consensus::Configuration configuration;
    std::uint64_t syncCount = 0;
    std::uint64_t snapshotCount = 0;
    bool isDiskFull = false;
    // The replicas that have answered this leader recently; empty at any other role.
    std::vector<consensus::ReplicaKey> activePeers;
    std::uint64_t feedRevision = 0;
    std::uint64_t sheetRevision = 0;
    // Digest of the last audit record; replicas with equal applied indexes have equal digests.
    state::RawDigest auditHead {};
    // The last time at which this replica proved that it leads.
    std::optional<base::TimePoint> leadershipConfirmedAt;
};

// One replica: a single thread that drives the replication core, its storage and
// the state machine. Every public function may be called from any thread.
class ReplicaNode {
public:
    using SendMessage = std::function<void(const consensus::Message&)>;
    using OutcomeCallback = std::function<void(base::Result<state::Outcome>)>;
    using ChangeCallback = std::function<void(base::Result<void>)>;
    using ReadCallback = std::function<void(base::Result<const state::StateMachine*>)>;
    // Called on the loop's thread after each round.
    using IterationCallback = std::function<void(const ReplicaStatus&, const state::StateMachine&)>;

    struct Options {
        std::uint64_t replica = 0;
        std::string folder;
        std::uint64_t randomSeed = 0;
        // A snapshot is taken after this many applied entries, or this many bytes of them.
        std::uint64_t snapshotIntervalEntries = 4096;
        std::uint64_t snapshotIntervalBytes = std::uint64_t { 64 } << 20;
        // The longest time between two checks of the deadlines of waiting requests.
        std::chrono::milliseconds deadlineCheckInterval { 20 };
        // The identity is set by the node.
        consensus::ReplicaSettings core;
    };

    static base::Result<std::unique_ptr<ReplicaNode>> Make(const base::Clock&, base::Timeline&, const Options&, SendMessage, IterationCallback);
    ~ReplicaNode();

    std::uint64_t diskNumber() const { return storage_->diskNumber(); }
    bool isBlank() const { return isBlank_; }

    // Starts the loop. `bootstrap` is the first configuration of a new
    // deployment; empty for a folder that has state or waits to be added.
    base::Result<void> start(const consensus::Configuration& bootstrap);

    void receive(consensus::Message);

    // Proposes an encoded command. `done` is called once, on the loop's thread:
    // with the outcome, with an error that means it certainly has no effect
    // (NotLeader, NoQuorum, StorageFull, Overloaded), or with CommandUnconfirmed.
    void propose(std::string command, base::TimePoint deadline, OutcomeCallback callback);
    void changeConfiguration(consensus::ChangeKind, consensus::ReplicaKey, base::TimePoint deadline, ChangeCallback callback);
    // Calls `done` with the state machine once it holds everything committed
    // before the call, as proved by this replica's lease.
    void read(base::TimePoint deadline, ReadCallback callback);

    ReplicaStatus status() const;

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

    // A proposal or read whose result is awaited.
    struct PendingRequest {
        base::TimePoint deadline;
        std::variant<OutcomeCallback, ChangeCallback, ReadCallback> callback;
        // The core has appended it, so it may still be committed.
        bool isAppended = false;
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
    std::uint64_t writeOutputs();
    void flushWrites();
    void expirePendingRequests();
    void takeSnapshotIfDue();
    void confirmLeadership();
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
    // Outputs that are not yet written, oldest first.
    std::deque<consensus::Output> unwrittenOutputs_;
    bool isDiskFull_ = false;
    base::TimePoint writeRetryAt_;
    std::map<consensus::RequestId, PendingRequest> pendingRequests_;
    // Outcomes of entries applied in the current output, by index.
    std::map<consensus::Index, state::Outcome> outcomes_;
    consensus::RequestId nextRequestId_ = 1;
    consensus::RequestId leadershipReadId_ = 0;
    std::optional<base::TimePoint> leadershipConfirmedAt_;
    consensus::Index snapshotIndex_ = 0;
    std::uint64_t snapshotCount_ = 0;
    // Bytes of the entries applied since the last snapshot.
    std::uint64_t appliedBytes_ = 0;
    consensus::Role lastRole_ = consensus::Role::Follower;

    mutable base::RankedMutex mutex_;
    std::condition_variable_any eventsAvailable_;
    std::deque<LoopEvent> events_;
    ReplicaStatus status_;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace arbutus::replica
