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

Result<std::unique_ptr<ReplicaNode>> ReplicaNode::Make(const base::Clock& clock, base::Timeline& timeline, const Options& options, SendMessage send, OnRound onRound)
{
    std::unique_ptr<ReplicaNode> node(new ReplicaNode(clock, timeline, options, std::move(send), std::move(onRound)));
    base::Random random(options.randomSeed);
    BOOST_OUTCOME_TRY(storage, ReplicaStorage::Make(options.folder, random.next()));
    node->storage_ = std::move(storage);
    node->isBlank_ = node->storage_->isBlank();
    return node;
}

ReplicaNode::ReplicaNode(const base::Clock& clock, base::Timeline& timeline, const Options& options, SendMessage send, OnRound onRound)
    : clock_(clock)
    , timeline_(timeline)
    , options_(options)
    , send_(std::move(send))
    , onRound_(std::move(onRound))
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
    wake_.notify_all();
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
    BOOST_OUTCOME_TRY(core, consensus::ReplicaCore::Make(settings, std::move(durable), base::Random(options_.randomSeed + 1), clock_.now()));
    core_.emplace(std::move(core));
    thread_ = std::thread([this] { run(); });
    return base::outcome::success();
}

// A failed write or sync leaves unknown content on the disk; only a restart,
// which reads it again, can determine what is there.
void ReplicaNode::exitOnStorageFailure(const Error& error)
{
    logger.error("The storage failed; the process ends.", { { "reason", error.detail } });
    std::_Exit(1);
}

void ReplicaNode::post(LoopInput input)
{
    {
        RankedLock lock(mutex_);
        inputs_.push_back(std::move(input));
    }
    wake_.notify_all();
}

void ReplicaNode::receive(consensus::Message message) { post(std::move(message)); }

void ReplicaNode::propose(std::string command, base::TimePoint deadline, OutcomeDone done) { post(ProposeInput { std::move(command), deadline, std::move(done) }); }

void ReplicaNode::changeConfiguration(consensus::ChangeKind kind, consensus::ReplicaKey replica, base::TimePoint deadline, ChangeDone done) { post(ChangeInput { kind, replica, deadline, std::move(done) }); }

void ReplicaNode::read(base::TimePoint deadline, ReadDone done) { post(ReadInput { deadline, std::move(done) }); }

ReplicaStatus ReplicaNode::status() const
{
    RankedLock lock(mutex_);
    return status_;
}

std::deque<ReplicaNode::LoopInput> ReplicaNode::takeInputs()
{
    RankedLock lock(mutex_);
    // The wait is relative, because the node's clock may count suspended time.
    auto wait = std::min<std::chrono::nanoseconds>(core_->nextDeadline() - clock_.now(), options_.longestWait);
    wake_.wait_for(lock, wait, [this] { return isStopping_ || !inputs_.empty(); });
    return std::exchange(inputs_, {});
}

void ReplicaNode::run()
{
    for (;;) {
        auto inputs = takeInputs();
        {
            RankedLock lock(mutex_);
            if (isStopping_)
                return;
        }
        handleInputs(std::move(inputs));
        step(consensus::Tick {});
        flushWrites();
        confirmLeadership();
        expireWaiting();
        takeSnapshotIfDue();
        publishStatus();
        onRound_(status(), *machine_);
    }
}

void ReplicaNode::handleInputs(std::deque<LoopInput> inputs)
{
    // Proposals of one round share messages and one sync.
    std::vector<consensus::Proposal> proposals;
    for (auto& input : inputs)
        std::visit([&](auto& content) { handleInput(std::move(content), proposals); }, input);
    if (!proposals.empty())
        step(consensus::Propose { std::move(proposals) });
}

void ReplicaNode::handleInput(consensus::Message message, std::vector<consensus::Proposal>&)
{
    step(consensus::Receive { std::move(message) });
}

void ReplicaNode::handleInput(ProposeInput input, std::vector<consensus::Proposal>& proposals)
{
    if (isFull_) {
        input.done(makeError(ErrorKind::StorageFull, "the disk of this replica is full"));
        return;
    }
    auto ticket = nextTicket_++;
    waiting_.emplace(ticket, Waiting { input.deadline, std::move(input.done), false });
    proposals.push_back({ ticket, std::move(input.command) });
}

void ReplicaNode::handleInput(ChangeInput input, std::vector<consensus::Proposal>&)
{
    auto ticket = nextTicket_++;
    waiting_.emplace(ticket, Waiting { input.deadline, std::move(input.done), false });
    step(consensus::ChangeConfiguration { ticket, input.kind, input.replica });
}

void ReplicaNode::handleInput(ReadInput input, std::vector<consensus::Proposal>&)
{
    auto ticket = nextTicket_++;
    waiting_.emplace(ticket, Waiting { input.deadline, std::move(input.done), false });
    step(consensus::Read { ticket });
}

void ReplicaNode::step(const consensus::Input& input)
{
    consensus::Output output = core_->step(input, clock_.now());
    for (const auto& message : output.messages)
        send_(message);
    apply(output);
    finishProposals(output);
    finishReads(output);
    if (output.writeNumber || output.compactTo)
        unwritten_.push_back(std::move(output));
}

void ReplicaNode::applySnapshot(const consensus::Snapshot& snapshot)
{
    auto machine = state::StateMachine::MakeFromSnapshot(*snapshot.data);
    if (!machine)
        exitOnStorageFailure(machine.error());
    machine_ = std::move(machine).value();
    snapshotIndex_ = snapshot.meta.index;
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

struct ProposalRefusal {
    ProposalStatus status;
    ErrorKind kind;
    const char* detail;
};

static Error refusalOf(ProposalStatus status)
{
    static constexpr std::array refusals {
        ProposalRefusal { ProposalStatus::Superseded, ErrorKind::NotLeader, "another leader took over before the command was committed" },
        ProposalRefusal { ProposalStatus::Unknown, ErrorKind::CommandUnconfirmed, "whether the command was committed is unknown" },
        ProposalRefusal { ProposalStatus::NotLeader, ErrorKind::NotLeader, "this replica does not lead" },
        ProposalRefusal { ProposalStatus::NoQuorum, ErrorKind::NoQuorum, "no quorum answers" },
        ProposalRefusal { ProposalStatus::TooLarge, ErrorKind::InvalidRequest, "the command is too large" },
        ProposalRefusal { ProposalStatus::Overloaded, ErrorKind::Overloaded, "too many commands wait to be committed" },
        ProposalRefusal { ProposalStatus::ChangeInProgress, ErrorKind::Overloaded, "another change of the replicas is in progress" },
        ProposalRefusal { ProposalStatus::NotCaughtUp, ErrorKind::Overloaded, "the learner has not caught up yet" },
        ProposalRefusal { ProposalStatus::InvalidChange, ErrorKind::InvalidRequest, "the change does not fit the present replicas" },
    };
    for (const auto& refusal : refusals) {
        if (refusal.status == status)
            return makeError(refusal.kind, refusal.detail);
    }
    return makeError(ErrorKind::Internal, "the core gave an unexpected result");
}

void ReplicaNode::fail(consensus::Ticket ticket, Error error)
{
    auto node = waiting_.extract(ticket);
    if (node)
        std::visit([&](auto& done) { done(error); }, node.mapped().done);
}

void ReplicaNode::finishProposals(const consensus::Output& output)
{
    for (const auto& result : output.proposals) {
        auto found = waiting_.find(result.ticket);
        if (found == waiting_.end())
            continue;
        if (result.status == ProposalStatus::Accepted) {
            found->second.isAppended = true;
            continue;
        }
        if (result.status != ProposalStatus::Committed) {
            fail(result.ticket, refusalOf(result.status));
            continue;
        }
        auto waiting = waiting_.extract(found);
        if (auto* done = std::get_if<OutcomeDone>(&waiting.mapped().done))
            (*done)(outcomes_.at(result.index));
        else if (auto* changed = std::get_if<ChangeDone>(&waiting.mapped().done))
            (*changed)(base::outcome::success());
    }
}

void ReplicaNode::finishReads(const consensus::Output& output)
{
    for (const auto& result : output.reads) {
        bool isGranted = result.status == consensus::ReadStatus::Granted && clock_.now() < result.validUntil;
        if (result.ticket == leadershipTicket_) {
            leadershipTicket_ = 0;
            if (isGranted)
                leadershipConfirmedAt_ = clock_.now();
            continue;
        }
        auto found = waiting_.find(result.ticket);
        if (found == waiting_.end())
            continue;
        if (!isGranted) {
            fail(result.ticket, makeError(result.status == consensus::ReadStatus::NotLeader ? ErrorKind::NotLeader : ErrorKind::NoQuorum, "this replica cannot prove that it leads"));
            continue;
        }
        auto waiting = waiting_.extract(found);
        if (auto* done = std::get_if<ReadDone>(&waiting.mapped().done))
            (*done)(machine_.get());
    }
}

// Writes what it can; returns the number of the last write.
std::uint64_t ReplicaNode::writeOutputs()
{
    std::uint64_t lastWrite = 0;
    while (!unwritten_.empty()) {
        const auto& output = unwritten_.front();
        auto result = storage_->write(output);
        if (!result && result.error().kind == ErrorKind::StorageFull) {
            if (!isFull_)
                logger.error("The disk is full; commands are refused.", { { "reason", result.error().detail } });
            isFull_ = true;
            writeRetryAt_ = clock_.now() + fullDiskRetryDelay;
            return lastWrite;
        }
        if (!result)
            exitOnStorageFailure(result.error());
        if (output.compactTo) {
            if (auto compacted = storage_->compact(output.compactTo); !compacted)
                logger.warning("Old log segments could not be removed.", { { "reason", compacted.error().detail } });
        }
        lastWrite = std::max(lastWrite, output.writeNumber);
        unwritten_.pop_front();
    }
    if (isFull_)
        logger.info("The disk has space again.");
    isFull_ = false;
    return lastWrite;
}

void ReplicaNode::flushWrites()
{
    if (isFull_ && clock_.now() < writeRetryAt_)
        return;
    while (!unwritten_.empty()) {
        std::uint64_t lastWrite = writeOutputs();
        if (!lastWrite)
            return;
        if (auto synced = storage_->sync(); !synced)
            exitOnStorageFailure(synced.error());
        step(consensus::Persisted { lastWrite });
        if (isFull_)
            return;
    }
}

void ReplicaNode::expireWaiting()
{
    auto now = clock_.now();
    std::vector<std::pair<consensus::Ticket, bool>> expired;
    for (const auto& [ticket, waiting] : waiting_) {
        if (now >= waiting.deadline)
            expired.emplace_back(ticket, waiting.isAppended);
    }
    for (const auto& [ticket, isAppended] : expired) {
        if (isAppended)
            fail(ticket, makeError(ErrorKind::CommandUnconfirmed, "the command was not committed in time"));
        else
            fail(ticket, makeError(ErrorKind::NoQuorum, "no quorum answered in time"));
    }
}

void ReplicaNode::takeSnapshotIfDue()
{
    auto applied = core_->appliedIndex();
    bool isDue = applied >= snapshotIndex_ + options_.snapshotEvery || appliedBytes_ >= options_.snapshotEveryBytes;
    if (isFull_ || !isDue || applied <= snapshotIndex_ || !unwritten_.empty())
        return;
    auto meta = core_->describeSnapshot(applied);
    if (!meta)
        return;
    consensus::Snapshot snapshot { meta.value(), std::make_shared<const std::string>(machine_->encodeSnapshot()) };
    auto saved = storage_->saveSnapshot(snapshot);
    snapshotIndex_ = applied;
    appliedBytes_ = 0;
    if (!saved) {
        if (saved.error().kind != ErrorKind::StorageFull)
            exitOnStorageFailure(saved.error());
        logger.warning("The disk is too full for a snapshot.");
        return;
    }
    ++snapshotCount_;
    timeline_.record("snapshot-taken", { { "index", std::to_string(applied) } });
    step(consensus::SnapshotTaken { snapshot });
    flushWrites();
}

// Keeps a recent proof of leadership for the configuration feed.
void ReplicaNode::confirmLeadership()
{
    if (core_->role() != consensus::Role::Leader) {
        leadershipConfirmedAt_.reset();
        leadershipTicket_ = 0;
        return;
    }
    if (leadershipTicket_)
        return;
    leadershipTicket_ = nextTicket_++;
    step(consensus::Read { leadershipTicket_ });
}

void ReplicaNode::publishStatus()
{
    if (lastRole_ != core_->role()) {
        lastRole_ = core_->role();
        static constexpr std::array<const char*, 4> names { "follower", "pre-candidate", "candidate", "leader" };
        const char* role = names[static_cast<std::size_t>(lastRole_)];
        logger.info("The role changed.", { { "role", role }, { "term", core_->term() } });
        timeline_.record("role-changed", { { "role", role }, { "term", std::to_string(core_->term()) } });
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
    status.syncCount = storage_->syncCount();
    status.snapshotCount = snapshotCount_;
    status.isFull = isFull_;
    status.activePeers = core_->activePeers();
    status.feedRevision = machine_->configuration().revision;
    status.sheetRevision = machine_->configuration().sheetRevision;
    status.auditHead = machine_->audit().head();
    status.leadershipConfirmedAt = leadershipConfirmedAt_;
    RankedLock lock(mutex_);
    status_ = std::move(status);
}

} // namespace arbutus::replica
