#include "src/replica/ReplicaNode.h"

#include "include/base/LockRanks.h"
#include "include/base/Logger.h"

#include <fmt/format.h>

#include <array>
#include <cstdlib>

namespace arbutus::replica {

using base::Error;
using base::ErrorKind;
using base::makeError;
using base::RankedLock;
using base::Result;
using consensus::ProposalStatus;

static constexpr base::Logger logger("state");
static constexpr std::chrono::milliseconds fullDiskRetryDelay(500);

Result<std::unique_ptr<ReplicaNode>> ReplicaNode::Make(const base::Clock& clock, base::Timeline& timeline, const Options& options, SendMessage send, IterationCallback onIteration)
{
    std::unique_ptr<ReplicaNode> node(new ReplicaNode(clock, timeline, options, std::move(send), std::move(onIteration)));
    base::Random random(options.randomSeed);
    BOOST_OUTCOME_TRY(storage, ReplicaStorage::Make(options.folder, random.next()));
    node->storage_ = std::move(storage);
    node->isBlank_ = node->storage_->isBlank();
    return node;
}

ReplicaNode::ReplicaNode(const base::Clock& clock, base::Timeline& timeline, const Options& options, SendMessage send, IterationCallback onIteration)
    : clock_(clock)
    , timeline_(timeline)
    , options_(options)
    , send_(std::move(send))
    , onIteration_(std::move(onIteration))
    , machine_(std::make_unique<state::StateMachine>())
    , mutex_(base::lock_rank::replica)
{
}

ReplicaNode::~ReplicaNode()
{
    {
        RankedLock lock(mutex_);
        isStopping_ = true;
    }
    eventsAvailable_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

Result<void> ReplicaNode::start(const consensus::Configuration& bootstrap)
{
    if (!bootstrap.voters.empty()) {
        BOOST_OUTCOME_TRYV(storage_->saveBootstrap(bootstrap));
    }
    BOOST_OUTCOME_TRY(durable, storage_->load());
    if (durable.snapshot)
        applySnapshot(*durable.snapshot);
    consensus::ReplicaSettings settings = options_.core;
    settings.self = { options_.replica, storage_->diskNumber() };
    settings.boot = base::bootName();
    BOOST_OUTCOME_TRY(core, consensus::ReplicaCore::Make(settings, std::move(durable), base::Random(options_.randomSeed + 1), clock_.now()));
    core_.emplace(std::move(core));
    thread_ = std::thread([this] { run(); });
    return base::outcome::success();
}

// After a failed write or sync the content of the disk is unknown. Only recovery at the
// next start can determine it.
void ReplicaNode::exitOnStorageFailure(const Error& error)
{
    logger.error("Storage failed; the process exits.", { { "reason", error.detail } });
    std::_Exit(1);
}

void ReplicaNode::enqueue(LoopEvent event)
{
    {
        RankedLock lock(mutex_);
        events_.push_back(std::move(event));
    }
    eventsAvailable_.notify_all();
}

void ReplicaNode::receive(consensus::Message message) { enqueue(std::move(message)); }

void ReplicaNode::propose(std::string command, base::TimePoint deadline, OutcomeCallback callback) { enqueue(ProposeRequest { std::move(command), deadline, std::move(callback) }); }

void ReplicaNode::changeConfiguration(consensus::ChangeKind kind, consensus::ReplicaKey replica, base::TimePoint deadline, ChangeCallback callback) { enqueue(ChangeRequest { kind, replica, deadline, std::move(callback) }); }

void ReplicaNode::read(base::TimePoint deadline, ReadCallback callback) { enqueue(ReadRequest { deadline, std::move(callback) }); }

ReplicaStatus ReplicaNode::status() const
{
    RankedLock lock(mutex_);
    return status_;
}

std::deque<ReplicaNode::LoopEvent> ReplicaNode::waitForEvents()
{
    RankedLock lock(mutex_);
    // Waits for a duration, because the node's clock may include suspended time.
    auto wait = std::min<std::chrono::nanoseconds>(core_->nextDeadline() - clock_.now(), options_.deadlineCheckInterval);
    eventsAvailable_.wait_for(lock, wait, [this] { return isStopping_ || !events_.empty(); });
    return std::exchange(events_, {});
}

void ReplicaNode::run()
{
    for (;;) {
        auto events = waitForEvents();
        {
            RankedLock lock(mutex_);
            if (isStopping_)
                return;
        }
        recordTiming();
        handleEvents(std::move(events));
        step(consensus::Tick {});
        flushWrites();
        confirmLeadership();
        expirePendingRequests();
        takeSnapshotIfDue();
        publishStatus();
        onIteration_(status(), *machine_);
    }
}

void ReplicaNode::handleEvents(std::deque<LoopEvent> events)
{
    // All proposals of one iteration share append requests and one sync.
    std::vector<consensus::Proposal> proposals;
    for (auto& event : events)
        std::visit([&](auto& content) { handleEvent(std::move(content), proposals); }, event);
    if (!proposals.empty())
        step(consensus::Propose { std::move(proposals) });
}

void ReplicaNode::handleEvent(consensus::Message message, std::vector<consensus::Proposal>&)
{
    step(consensus::Receive { std::move(message) });
}

void ReplicaNode::handleEvent(ProposeRequest request, std::vector<consensus::Proposal>& proposals)
{
    if (isDiskFull_) {
        request.callback(makeError(ErrorKind::StorageFull, "the disk of this replica has no free space"));
        return;
    }
    auto requestId = nextRequestId_++;
    pendingRequests_.emplace(requestId, PendingRequest { request.deadline, std::move(request.callback), false });
    proposals.push_back({ requestId, std::move(request.command) });
}

void ReplicaNode::handleEvent(ChangeRequest request, std::vector<consensus::Proposal>&)
{
    auto requestId = nextRequestId_++;
    pendingRequests_.emplace(requestId, PendingRequest { request.deadline, std::move(request.callback), false });
    step(consensus::ChangeConfiguration { requestId, request.kind, request.replica });
}

void ReplicaNode::handleEvent(ReadRequest request, std::vector<consensus::Proposal>&)
{
    auto requestId = nextRequestId_++;
    pendingRequests_.emplace(requestId, PendingRequest { request.deadline, std::move(request.callback), false });
    step(consensus::Read { requestId });
}

void ReplicaNode::step(const consensus::Input& input)
{
    consensus::Output output = core_->step(input, clock_.now());
    for (const auto& message : output.messages)
        send_(message);
    apply(output);
    completeProposals(output);
    completeReads(output);
    if (output.writeNumber || output.compactTo)
        unwrittenOutputs_.push_back(std::move(output));
}

void ReplicaNode::applySnapshot(const consensus::Snapshot& snapshot)
{
    auto machine = state::StateMachine::MakeFromSnapshot(*snapshot.data);
    if (!machine)
        exitOnStorageFailure(machine.error());
    machine_ = std::move(machine).value();
    lastSnapshotIndex_ = snapshot.meta.index;
}

void ReplicaNode::apply(const consensus::Output& output)
{
    if (output.snapshot)
        applySnapshot(*output.snapshot);
    outcomes_.clear();
    for (const auto& entry : output.committed) {
        appliedBytes_ += entry.data.size();
        bool isCommand = entry.kind == consensus::EntryKind::Command;
        auto outcome = machine_->apply(entry.index, isCommand ? std::string_view(entry.data) : std::string_view());
        if (isCommand)
            timeline_.record("command-applied", { { "index", std::to_string(entry.index) }, { "result", std::string(state::resultName(outcome)) } });
        outcomes_[entry.index] = std::move(outcome);
    }
}

struct ProposalError {
    ProposalStatus status;
    ErrorKind kind;
    const char* detail;
};

static Error errorForStatus(ProposalStatus status)
{
    static constexpr std::array errors {
        ProposalError { ProposalStatus::Superseded, ErrorKind::NotLeader, "the command was superseded by another leader's entry" },
        ProposalError { ProposalStatus::Unknown, ErrorKind::CommandUnconfirmed, "it is unknown whether the command was committed" },
        ProposalError { ProposalStatus::NotLeader, ErrorKind::NotLeader, "this replica is not the leader" },
        ProposalError { ProposalStatus::NoQuorum, ErrorKind::NoQuorum, "no quorum of replicas responds" },
        ProposalError { ProposalStatus::TooLarge, ErrorKind::InvalidRequest, "the command is too large" },
        ProposalError { ProposalStatus::Overloaded, ErrorKind::Overloaded, "too many uncommitted commands" },
        ProposalError { ProposalStatus::ChangeInProgress, ErrorKind::Overloaded, "another configuration change is in progress" },
        ProposalError { ProposalStatus::NotCaughtUp, ErrorKind::Overloaded, "the learner has not caught up yet" },
        ProposalError { ProposalStatus::InvalidChange, ErrorKind::InvalidRequest, "the change is not valid for the current configuration" },
    };
    for (const auto& error : errors) {
        if (error.status == status)
            return makeError(error.kind, error.detail);
    }
    return makeError(ErrorKind::Internal, "the replication core returned an unexpected status");
}

void ReplicaNode::failRequest(consensus::RequestId requestId, Error error)
{
    auto node = pendingRequests_.extract(requestId);
    if (node)
        std::visit([&](auto& callback) { callback(error); }, node.mapped().callback);
}

void ReplicaNode::completeProposals(const consensus::Output& output)
{
    for (const auto& result : output.proposalResults) {
        auto found = pendingRequests_.find(result.requestId);
        if (found == pendingRequests_.end())
            continue;
        if (result.status == ProposalStatus::Accepted) {
            found->second.isAppended = true;
            continue;
        }
        if (result.status != ProposalStatus::Committed) {
            failRequest(result.requestId, errorForStatus(result.status));
            continue;
        }
        auto pending = pendingRequests_.extract(found);
        if (auto* callback = std::get_if<OutcomeCallback>(&pending.mapped().callback))
            (*callback)(outcomes_.at(result.index));
        else if (auto* changed = std::get_if<ChangeCallback>(&pending.mapped().callback))
            (*changed)(base::outcome::success());
    }
}

void ReplicaNode::completeReads(const consensus::Output& output)
{
    for (const auto& result : output.readResults) {
        bool isGranted = result.status == consensus::ReadStatus::Granted && clock_.now() < result.validUntil;
        if (result.requestId == leadershipReadId_) {
            leadershipReadId_ = 0;
            if (isGranted)
                leadershipConfirmedAt_ = core_->leadershipConfirmedAt();
            continue;
        }
        auto found = pendingRequests_.find(result.requestId);
        if (found == pendingRequests_.end())
            continue;
        if (!isGranted) {
            failRequest(result.requestId, makeError(result.status == consensus::ReadStatus::NotLeader ? ErrorKind::NotLeader : ErrorKind::NoQuorum, "this replica cannot confirm its leadership"));
            continue;
        }
        auto pending = pendingRequests_.extract(found);
        if (auto* callback = std::get_if<ReadCallback>(&pending.mapped().callback))
            (*callback)(machine_.get());
    }
}

std::uint64_t ReplicaNode::writeOutputs()
{
    std::uint64_t lastWrite = 0;
    while (!unwrittenOutputs_.empty()) {
        const auto& output = unwrittenOutputs_.front();
        auto result = storage_->write(output);
        if (!result && result.error().kind == ErrorKind::StorageFull) {
            recordFullDisk(result.error());
            return lastWrite;
        }
        if (!result)
            exitOnStorageFailure(result.error());
        if (output.compactTo) {
            if (auto compacted = storage_->compact(output.compactTo); !compacted)
                logger.warning("Failed to remove old log segments.", { { "reason", compacted.error().detail } });
        }
        lastWrite = std::max(lastWrite, output.writeNumber);
        unwrittenOutputs_.pop_front();
    }
    recordWritableDisk();
    return lastWrite;
}

// Another replica leads while this one cannot write. One failed write may pass before the
// retry, and costs less than an election.
void ReplicaNode::recordFullDisk(const Error& error)
{
    writeRetryAt_ = clock_.now() + fullDiskRetryDelay;
    if (!isDiskFull_) {
        logger.error("The disk is full; commands are rejected.", { { "reason", error.detail } });
        isDiskFull_ = true;
        return;
    }
    if (std::exchange(hasReportedFullDisk_, true))
        return;
    logger.warning("The disk is still full; this replica does not lead until it has space.", { { "term", core_->term() } });
    step(consensus::DiskChanged { false });
}

void ReplicaNode::recordWritableDisk()
{
    if (!std::exchange(isDiskFull_, false))
        return;
    logger.info("The disk has free space again.");
    if (std::exchange(hasReportedFullDisk_, false))
        step(consensus::DiskChanged { true });
}

void ReplicaNode::flushWrites()
{
    if (isDiskFull_ && clock_.now() < writeRetryAt_)
        return;
    while (!unwrittenOutputs_.empty()) {
        std::uint64_t lastWrite = writeOutputs();
        if (!lastWrite)
            return;
        if (auto synced = storage_->sync(); !synced)
            exitOnStorageFailure(synced.error());
        step(consensus::Persisted { lastWrite });
        if (isDiskFull_)
            return;
    }
}

void ReplicaNode::expirePendingRequests()
{
    auto now = clock_.now();
    std::vector<std::pair<consensus::RequestId, bool>> expired;
    for (const auto& [requestId, pending] : pendingRequests_) {
        if (now >= pending.deadline)
            expired.emplace_back(requestId, pending.isAppended);
    }
    for (const auto& [requestId, isAppended] : expired) {
        if (isAppended)
            failRequest(requestId, makeError(ErrorKind::CommandUnconfirmed, "the command was not committed before its deadline"));
        else
            failRequest(requestId, makeError(ErrorKind::NoQuorum, "no quorum responded before the deadline"));
    }
}

void ReplicaNode::takeSnapshotIfDue()
{
    auto applied = core_->appliedIndex();
    bool isDue = applied >= lastSnapshotIndex_ + options_.snapshotIntervalEntries || appliedBytes_ >= options_.snapshotIntervalBytes;
    if (isDiskFull_ || !isDue || applied <= lastSnapshotIndex_ || !unwrittenOutputs_.empty())
        return;
    auto meta = core_->describeSnapshot(applied);
    if (!meta)
        return;
    consensus::Snapshot snapshot { meta.value(), std::make_shared<const std::string>(machine_->encodeSnapshot()) };
    auto saved = storage_->saveSnapshot(snapshot);
    lastSnapshotIndex_ = applied;
    appliedBytes_ = 0;
    if (!saved) {
        if (saved.error().kind != ErrorKind::StorageFull)
            exitOnStorageFailure(saved.error());
        logger.warning("The disk has too little free space for a snapshot.");
        return;
    }
    ++snapshotCount_;
    timeline_.record("snapshot-taken", { { "index", std::to_string(applied) } });
    step(consensus::SnapshotTaken { snapshot });
    flushWrites();
}

void ReplicaNode::confirmLeadership()
{
    if (core_->role() != consensus::Role::Leader) {
        leadershipConfirmedAt_.reset();
        leadershipReadId_ = 0;
        return;
    }
    if (leadershipReadId_)
        return;
    leadershipReadId_ = nextRequestId_++;
    step(consensus::Read { leadershipReadId_ });
}

void ReplicaNode::recordTiming()
{
    auto now = clock_.now();
    lateness_.record(now - core_->nextDeadline());
    if (auto confirmedAt = core_->leadershipConfirmedAt())
        leaseAge_.record(now - *confirmedAt);
}

std::uint64_t ReplicaNode::storedRoutesVersion()
{
    const auto& log = core_->log();
    const TailPosition position { core_->appliedIndex(), log.lastIndex(), log.lastTerm() };
    const std::uint64_t applied = machine_->routes().version();
    if (position == scannedTail_)
        return std::max(applied, unappliedRoutesVersion_);
    scannedTail_ = position;
    unappliedRoutesVersion_ = 0;
    for (auto index = position.appliedIndex + 1; index <= position.lastIndex; ++index) {
        if (const auto& entry = log.at(index); entry.kind == consensus::EntryKind::Command)
            unappliedRoutesVersion_ = std::max(unappliedRoutesVersion_, state::routesVersionIn(entry.data).value_or(0));
    }
    return std::max(applied, unappliedRoutesVersion_);
}

void ReplicaNode::publishStatus()
{
    if (lastRole_ != core_->role()) {
        lastRole_ = core_->role();
        static constexpr std::array<const char*, 4> names { "follower", "pre-candidate", "candidate", "leader" };
        const char* role = names[static_cast<std::size_t>(lastRole_)];
        logger.info("The role changed.", { { "role", role }, { "term", core_->term() }, { "leads_separate_half", core_->leadsSeparateHalf() } });
        timeline_.record("role-changed", { { "role", role }, { "term", std::to_string(core_->term()) } });
    }
    for (const auto& [voter, contacts] : core_->lostVoters()) {
        if (loggedLostVoters_.insert(voter).second)
            logger.warning("The disk of a voter is lost; beside it, half of an even number of voters is a quorum.", { { "replica", voter.replica }, { "disk", fmt::format("{:x}", voter.disk) }, { "term", core_->term() } });
    }
    ReplicaStatus status;
    status.self = core_->self();
    status.role = core_->role();
    status.term = core_->term();
    status.leader = core_->leader();
    status.commitIndex = core_->commitIndex();
    status.appliedIndex = core_->appliedIndex();
    status.lastIndex = core_->log().lastIndex();
    status.configuration = core_->configuration();
    status.isConfigurationCommitted = core_->log().configurationIndex() <= core_->commitIndex();
    status.isCurrent = core_->isCurrent();
    leaderContactAt_ = core_->leaderContactAt();
    status.leaderContactAt = leaderContactAt_;
    status.routesVersion = machine_->routes().version();
    status.storedRoutesVersion = storedRoutesVersion();
    status.votersIndex = core_->log().configurationIndex();
    status.votersTerm = core_->log().termAt(status.votersIndex).value_or(0);
    for (const auto* configuration : core_->configurationsInForce())
        status.voterSets.push_back(configuration->voters);
    status.leaseEnd = core_->leaseEnd();
    status.syncCount = storage_->syncCount();
    status.snapshotCount = snapshotCount_;
    status.isDiskFull = isDiskFull_;
    status.activePeers = core_->activePeers();
    status.feedRevision = machine_->configuration().revision;
    status.sheetRevision = machine_->configuration().sheetRevision;
    status.auditHead = machine_->audit().head();
    status.leadershipConfirmedAt = leadershipConfirmedAt_;
    RankedLock lock(mutex_);
    status_ = std::move(status);
}

} // namespace arbutus::replica
