#include "include/consensus/ReplicaCore.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace arbutus::consensus {

static base::Result<void> checkSettings(const ReplicaSettings& settings)
{
    // The message envelope and the configuration in a snapshot chunk fit in this overhead.
    constexpr std::size_t messageOverheadBytes = std::size_t { 256 } << 10;
    const bool areTimesValid = settings.heartbeatInterval.count() > 0 && settings.electionTimeoutMin >= 3 * settings.heartbeatInterval
        && settings.electionTimeoutMax > settings.electionTimeoutMin;
    if (!areTimesValid)
        return base::makeError(base::ErrorKind::InvalidSetting, "consensus: electionTimeoutMin must be at least three heartbeat intervals and below electionTimeoutMax");
    const bool areLimitsValid = settings.maxEntryBytes + 64 <= settings.maxBatchBytes && settings.maxBatchBytes + messageOverheadBytes <= maxDecodedBytes
        && settings.maxBatchEntries > 0 && settings.maxBatchEntries <= maxDecodedArrayLength && settings.maxInflightBatches > 0;
    if (!areLimitsValid)
        return base::makeError(base::ErrorKind::InvalidSetting, "consensus: an entry must fit in a batch and a batch in a message");
    return base::outcome::success();
}

base::Result<ReplicaCore> ReplicaCore::Make(const ReplicaSettings& settings, DurableState state, base::Random random, base::TimePoint now)
{
    if (auto checked = checkSettings(settings); checked.has_error())
        return checked.error();
    const SnapshotMeta start = state.snapshot ? state.snapshot->meta : SnapshotMeta { 0, 0, state.bootstrap };
    auto corrupt = [](std::string_view reason) { return base::makeError(base::ErrorKind::StorageCorrupt, fmt::format("consensus: {}", reason)); };
    if (state.snapshot && !state.snapshot->data)
        return corrupt("the snapshot has no data");
    if (!state.entries.empty() && state.entries.front().index > start.index + 1)
        return corrupt("the log has a gap after the snapshot");
    Term previousTerm = 0;
    for (std::size_t i = 0; i < state.entries.size(); ++i) {
        const Entry& entry = state.entries[i];
        if (entry.index != state.entries.front().index + i || entry.term < previousTerm || entry.term > state.hardState.term)
            return corrupt(fmt::format("log entry {} is out of order", entry.index));
        if (entry.kind == EntryKind::Configuration && decode<Configuration>(entry.data).has_error())
            return corrupt(fmt::format("configuration entry {} cannot be decoded", entry.index));
        previousTerm = entry.term;
    }
    // A crash between storing a received snapshot and discarding the log leaves a log
    // that conflicts with the snapshot. The snapshot then supersedes the whole log.
    auto& entries = state.entries;
    const bool reachesSnapshot = !entries.empty() && entries.back().index >= start.index;
    const bool isConsistentWithSnapshot = reachesSnapshot && (entries.front().index > start.index || entries[start.index - entries.front().index].term == start.term);
    if (isConsistentWithSnapshot)
        entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(start.index + 1 - entries.front().index));
    else
        entries.clear();
    return ReplicaCore(settings, std::move(state), random, now);
}

ReplicaCore::ReplicaCore(const ReplicaSettings& settings, DurableState state, base::Random random, base::TimePoint now)
    : settings_(settings)
    , random_(random)
    , now_(now)
    , term_(state.hardState.term)
    , vote_(state.hardState.vote)
    , committedConfiguration_(state.hardState.committedConfiguration)
    , log_(state.snapshot ? state.snapshot->meta : SnapshotMeta { 0, 0, std::move(state.bootstrap) })
    , snapshot_(std::move(state.snapshot))
    , persistedHardState_(state.hardState)
    // The promise not to vote while a leader is alive is not persisted, so a restarted
    // replica behaves as if it had just heard from a leader.
    , lastLeaderContact_(now)
    , contacts_(settings.self, settings.separationTimeout, now)
{
    for (Entry& entry : state.entries)
        log_.append(std::move(entry));
    persistedIndex_ = log_.lastIndex();
    commitIndex_ = appliedIndex_ = log_.compactedIndex();
    electionDeadline_ = now + randomBetween(settings_.electionTimeoutMin, settings_.electionTimeoutMax);
    if (!settings_.boot.empty() && state.hardState.boot == settings_.boot) {
        storedContacts_ = state.hardState.contacts;
        contacts_.load(storedContacts_, now);
    }
}

Output ReplicaCore::step(const Input& input, base::TimePoint now)
{
    now_ = std::max(now_, now);
    output_ = Output();
    if (role_ == Role::Leader && now_ >= std::max(leaseEnd(), leaderSince_ + leaseDuration()))
        becomeFollower(term_, std::nullopt);
    std::visit([this](const auto& content) { onInput(content); }, input);
    emitCommitted();
    completeReads();
    recordCommittedConfiguration();
    assignWriteNumber();
    return std::move(output_);
}

base::TimePoint ReplicaCore::nextDeadline() const
{
    if (role_ == Role::Leader)
        return std::min(heartbeatDue_, std::max(leaseEnd(), leaderSince_ + leaseDuration()));
    return electionDeadline_;
}

base::Result<SnapshotMeta> ReplicaCore::describeSnapshot(Index index) const
{
    const auto term = log_.termAt(index);
    if (!term || index > appliedIndex_)
        return base::makeError(base::ErrorKind::InvalidRequest, fmt::format("consensus: cannot take a snapshot at index {}", index));
    return SnapshotMeta { index, *term, log_.configurationAt(index) };
}

void ReplicaCore::onInput(const Tick&)
{
    if (role_ == Role::Leader) {
        if (now_ >= heartbeatDue_) {
            sendHeartbeats();
            resendUnacknowledged();
        }
        return;
    }
    if (now_ < electionDeadline_)
        return;
    // Until its removal is committed, this replica may be the only one whose log is
    // up to date enough to win an election, so it still campaigns.
    if (isDiskWritable_ && log_.hasVoterSince(commitIndex_, settings_.self)) {
        startPreVote();
        return;
    }
    leader_.reset();
    electionDeadline_ = now_ + settings_.electionTimeoutMax;
}

void ReplicaCore::onInput(const Receive& input)
{
    const Message& message = input.message;
    if (message.to.replica == settings_.self.replica && message.to.disk != settings_.self.disk)
        answerForLostDisk(message);
    if (message.to != settings_.self || message.from == settings_.self)
        return;
    recordMessageFrom(message.from);
    std::visit([this, &message](const auto& body) { onMessage(message, body); }, message.body);
}

void ReplicaCore::onInput(const Persisted& input)
{
    while (!pendingWrites_.empty() && pendingWrites_.front().number <= input.writeNumber) {
        const PendingWrite& write = pendingWrites_.front();
        persistedIndex_ = std::max(persistedIndex_, write.lastIndex);
        persistedHardState_ = write.hardState;
        persistedWriteNumber_ = write.number;
        pendingWrites_.pop_front();
    }
    releaseDeferredMessages();
    if (role_ == Role::Candidate)
        countVotes();
    else if (role_ == Role::Leader)
        advanceCommit();
    else if (leader_ && matchedIndex_ > 0)
        acknowledgeAppend();
}

void ReplicaCore::onInput(const DiskChanged& input)
{
    isDiskWritable_ = input.isWritable;
    if (isDiskWritable_ || role_ != Role::Leader)
        return;
    // The others must elect one of them without the vote of this replica.
    if (quorumOfTerm().isReachedBy([this](const ReplicaKey& voter) { return voter != settings_.self && isSelfOrActive(voter); }))
        becomeFollower(term_, std::nullopt);
}

void ReplicaCore::onInput(const SnapshotTaken& input)
{
    const Snapshot& snapshot = input.snapshot;
    const Index index = snapshot.meta.index;
    const bool isNewer = !snapshot_ || index > snapshot_->meta.index;
    if (!snapshot.data || snapshot.data->size() > settings_.maxSnapshotBytes || !isNewer || index > appliedIndex_ || index < log_.compactedIndex())
        return;
    assert(log_.termAt(index) == snapshot.meta.term);
    snapshot_ = snapshot;
    if (index <= log_.compactedIndex() + settings_.trailingEntries)
        return;
    log_.compactTo(index - settings_.trailingEntries);
    output_.compactTo = log_.compactedIndex();
}

// Followers

bool ReplicaCore::acceptLeader(const Message& message)
{
    if (message.term < term_) {
        // Sends the newer term to a stale leader. Round 0 acknowledges no heartbeat.
        send(message.from, HeartbeatResponse { 0, std::nullopt });
        return false;
    }
    if (role_ == Role::Leader && message.term == term_) {
        ++rejectedMessageCount_;
        return false;
    }
    becomeFollower(message.term, message.from);
    lastLeaderContact_ = now_;
    return true;
}

void ReplicaCore::recordContact(const Heartbeat& heartbeat)
{
    const bool isOfEarlierBuild = !heartbeat.currentIndex;
    currentIndex_ = std::max(currentIndex_.value_or(0), heartbeat.currentIndex.value_or(heartbeat.commitIndex));
    base::TimePoint answeredAt;
    if (isOfEarlierBuild)
        answeredAt = now_;
    else if (heartbeat.answeredTime)
        answeredAt = base::TimePoint(std::chrono::nanoseconds(*heartbeat.answeredTime));
    // A time in the future is one of before this machine was restarted.
    if (answeredAt > now_)
        return;
    leaderAnsweredAt_ = std::max(leaderAnsweredAt_, answeredAt);
    const bool hasStoredAll = currentIndex_ && std::min(matchedIndex_, persistedIndex_) >= *currentIndex_;
    if (!isOfEarlierBuild && hasStoredAll)
        recordContact(*leader_, answeredAt);
}

bool ReplicaCore::isCurrent() const
{
    if (role_ == Role::Leader)
        return appliedIndex_ >= termStartIndex_ && now_ < leaseEnd();
    return role_ == Role::Follower && leader_ && currentIndex_ && appliedIndex_ >= *currentIndex_;
}

void ReplicaCore::onMessage(const Message& message, const Heartbeat& heartbeat)
{
    if (!acceptLeader(message))
        return;
    recordContact(heartbeat);
    commitIndex_ = std::max(commitIndex_, std::min(heartbeat.commitIndex, log_.lastIndex()));
    send(message.from, HeartbeatResponse { heartbeat.round, now_.time_since_epoch().count() });
}

bool ReplicaCore::areEntriesValid(const Message& message, const AppendRequest& request) const
{
    Index index = request.previousIndex;
    Term term = request.previousTerm;
    for (const Entry& entry : request.entries) {
        if (entry.index != ++index || entry.term < term || entry.term > message.term)
            return false;
        if (entry.kind == EntryKind::Configuration && decode<Configuration>(entry.data).has_error())
            return false;
        term = entry.term;
    }
    return true;
}

void ReplicaCore::onMessage(const Message& message, const AppendRequest& request)
{
    if (!areEntriesValid(message, request)) {
        ++rejectedMessageCount_;
        return;
    }
    if (!acceptLeader(message))
        return;
    // Committed entries always match the leader's and need no check.
    const bool isBeforeCommit = request.previousIndex < commitIndex_;
    if (!isBeforeCommit && log_.termAt(request.previousIndex) != request.previousTerm) {
        rejectAppend(request);
        return;
    }
    storeEntries(request);
    if (matchedIndex_ <= persistedIndex_)
        acknowledgeAppend();
}

void ReplicaCore::storeEntries(const AppendRequest& request)
{
    for (const Entry& entry : request.entries) {
        if (entry.index <= commitIndex_)
            continue;
        if (entry.index <= log_.lastIndex()) {
            if (log_.termAt(entry.index) == entry.term)
                continue;
            truncateFrom(entry.index);
        }
        if (entry.term < log_.lastTerm()) {
            ++rejectedMessageCount_;
            return;
        }
        log_.append(entry);
        output_.appends.push_back(entry);
    }
    matchedIndex_ = std::max({ matchedIndex_, commitIndex_, request.previousIndex + request.entries.size() });
    commitIndex_ = std::max(commitIndex_, std::min(request.commitIndex, matchedIndex_));
}

void ReplicaCore::rejectAppend(const AppendRequest& request)
{
    AppendResponse response;
    response.index = request.previousIndex;
    response.hintIndex = log_.lastIndexWithTermAtMost(request.previousIndex, request.previousTerm);
    response.hintTerm = *log_.termAt(response.hintIndex);
    send(*leader_, response);
}

void ReplicaCore::acknowledgeAppend()
{
    AppendResponse response;
    response.isAccepted = true;
    response.index = std::min(matchedIndex_, persistedIndex_);
    send(*leader_, response);
}

void ReplicaCore::truncateFrom(Index index)
{
    assert(index > commitIndex_);
    log_.truncateFrom(index);
    output_.truncateFrom = index;
    capPersistedIndex(index - 1);
}

void ReplicaCore::capPersistedIndex(Index index)
{
    persistedIndex_ = std::min(persistedIndex_, index);
    for (PendingWrite& write : pendingWrites_)
        write.lastIndex = std::min(write.lastIndex, index);
}

void ReplicaCore::onMessage(const Message& message, const SnapshotChunk& chunk)
{
    const std::uint64_t end = chunk.offset + chunk.data.size();
    const bool isValid = chunk.totalSize <= settings_.maxSnapshotBytes && chunk.offset <= chunk.totalSize && end <= chunk.totalSize && chunk.meta.term <= message.term;
    if (!isValid) {
        ++rejectedMessageCount_;
        return;
    }
    if (!acceptLeader(message))
        return;
    if (chunk.meta.index <= commitIndex_) {
        incomingSnapshot_.reset();
        matchedIndex_ = std::max(matchedIndex_, commitIndex_);
        acknowledgeAppend();
        return;
    }
    const bool isContinuation = incomingSnapshot_ && incomingSnapshot_->meta.index == chunk.meta.index && incomingSnapshot_->meta.term == chunk.meta.term && incomingSnapshot_->totalSize == chunk.totalSize;
    if (!isContinuation)
        incomingSnapshot_ = IncomingSnapshot { chunk.meta, chunk.totalSize, {} };
    if (chunk.offset == incomingSnapshot_->data.size())
        incomingSnapshot_->data += chunk.data;
    const std::uint64_t received = incomingSnapshot_->data.size();
    if (received == chunk.totalSize)
        installSnapshot();
    send(message.from, SnapshotResponse { chunk.meta.index, received });
}

void ReplicaCore::installSnapshot()
{
    Snapshot snapshot { std::move(incomingSnapshot_->meta), std::make_shared<const std::string>(std::move(incomingSnapshot_->data)) };
    incomingSnapshot_.reset();
    const Index index = snapshot.meta.index;
    if (log_.termAt(index) == snapshot.meta.term) {
        log_.compactTo(index);
    } else {
        log_.reset(snapshot.meta);
        capPersistedIndex(commitIndex_);
        output_.discardsLog = true;
    }
    matchedIndex_ = std::max(matchedIndex_, index);
    commitIndex_ = appliedIndex_ = index;
    for (auto it = pendingProposals_.begin(); it != pendingProposals_.end() && it->first <= index; it = pendingProposals_.erase(it))
        output_.proposalResults.push_back({ it->second.requestId, ProposalStatus::Unknown, it->first, it->second.term });
    output_.snapshot = snapshot;
    snapshot_ = std::move(snapshot);
}

// Output

void ReplicaCore::send(const ReplicaKey& to, MessageBody body)
{
    const auto* request = std::get_if<VoteRequest>(&body);
    const Term term = request && request->isPreVote ? term_ + 1 : term_;
    output_.messages.push_back({ settings_.self, to, term, std::move(body) });
}

void ReplicaCore::sendWhenPersisted(const ReplicaKey& to, MessageBody body)
{
    deferredMessages_.push_back({ std::nullopt, { settings_.self, to, term_, std::move(body) } });
}

void ReplicaCore::emitCommitted()
{
    // Outputs synced entries only, so that the state machine never gets ahead of the log
    // that a restart recovers from this disk.
    const Index end = std::min(commitIndex_, persistedIndex_);
    while (appliedIndex_ < end) {
        const Entry& entry = log_.at(++appliedIndex_);
        output_.committed.push_back(entry);
        auto [first, last] = pendingProposals_.equal_range(appliedIndex_);
        for (auto it = first; it != last; ++it) {
            const bool isSame = it->second.term == entry.term;
            output_.proposalResults.push_back({ it->second.requestId, isSame ? ProposalStatus::Committed : ProposalStatus::Superseded, appliedIndex_, it->second.term });
        }
        pendingProposals_.erase(first, last);
    }
}

// Without this knowledge a restarted replica would need a quorum of a configuration that was
// replaced long ago, whose voters may be gone.
void ReplicaCore::recordCommittedConfiguration()
{
    if (log_.configurationIndex() > commitIndex_ || log_.configurationIndex() <= committedConfiguration_)
        return;
    committedConfiguration_ = log_.configurationIndex();
    output_.hardState = hardState();
}

void ReplicaCore::assignWriteNumber()
{
    const bool hasWrites = output_.hardState || output_.snapshot || output_.truncateFrom || !output_.appends.empty();
    if (hasWrites) {
        output_.writeNumber = ++lastWriteNumber_;
        pendingWrites_.push_back({ lastWriteNumber_, log_.lastIndex(), hardState() });
    }
    for (DeferredMessage& deferred : deferredMessages_) {
        if (!deferred.writeNumber)
            deferred.writeNumber = lastWriteNumber_;
    }
    releaseDeferredMessages();
}

void ReplicaCore::releaseDeferredMessages()
{
    auto isWaiting = [this](const DeferredMessage& deferred) { return !deferred.writeNumber || *deferred.writeNumber > persistedWriteNumber_; };
    auto ready = std::stable_partition(deferredMessages_.begin(), deferredMessages_.end(), isWaiting);
    for (auto it = ready; it != deferredMessages_.end(); ++it) {
        if (it->message.term == term_)
            output_.messages.push_back(std::move(it->message));
    }
    deferredMessages_.erase(ready, deferredMessages_.end());
}

} // namespace arbutus::consensus
