#include "include/consensus/ReplicaCore.h"

#include <algorithm>
#include <cassert>

namespace arbutus::consensus {

// The lease is shorter than the minimum election timeout by this percentage, the
// maximum drift between the clocks of two replicas during one timeout.
constexpr int maxClockDriftPercent = 10;

// Append requests and snapshot chunks are resent if they are unacknowledged this many
// heartbeat intervals after a later heartbeat was acknowledged. Covers the follower's
// disk sync.
constexpr int resendDelayHeartbeats = 1;

// Keeps an encoded configuration well below the message size limit.
constexpr std::size_t maxMembers = 64;

constexpr std::size_t maxPendingReads = 65536;

std::chrono::nanoseconds ReplicaCore::leaseDuration() const
{
    return settings_.electionTimeoutMin * (100 - maxClockDriftPercent) / 100;
}

base::TimePoint ReplicaCore::leaseEnd() const
{
    auto confirmedAt = leadershipConfirmedAt();
    return confirmedAt ? *confirmedAt + leaseDuration() : base::TimePoint();
}

void ReplicaCore::becomeLeader()
{
    role_ = Role::Leader;
    leader_ = settings_.self;
    leaderSince_ = now_;
    heartbeatRound_ = 0;
    roundSendTimes_.clear();
    leaseStart_.reset();
    uncommittedBytes_ = 0;
    matchedIndex_ = 0;
    incomingSnapshot_.reset();
    peers_.clear();
    syncPeersWithConfiguration();
    // Entries of earlier terms are committed only through an entry of the current term.
    termStartIndex_ = log_.lastIndex() + 1;
    appendEntry(EntryKind::NoOp, {});
    sendHeartbeats();
    replicateToAll();
}

void ReplicaCore::appendEntry(EntryKind kind, std::string data)
{
    Entry entry { term_, log_.lastIndex() + 1, kind, std::move(data) };
    uncommittedBytes_ += entrySize(entry);
    log_.append(entry);
    output_.appends.push_back(std::move(entry));
}

void ReplicaCore::syncPeersWithConfiguration()
{
    std::set<ReplicaKey> members;
    for (const Configuration* configuration : configurationsInForce()) {
        members.insert(configuration->voters.begin(), configuration->voters.end());
        members.insert(configuration->learners.begin(), configuration->learners.end());
    }
    members.erase(settings_.self);
    for (auto it = peers_.begin(); it != peers_.end();)
        it = members.count(it->first) ? std::next(it) : peers_.erase(it);
    for (const ReplicaKey& key : members) {
        if (auto [peer, isNew] = peers_.emplace(key, Peer()); isNew)
            peer->second.nextIndex = log_.lastIndex() + 1;
    }
}

// Client requests

ProposalStatus ReplicaCore::checkLeadership() const
{
    if (role_ != Role::Leader)
        return leader_ ? ProposalStatus::NotLeader : ProposalStatus::NoQuorum;
    return now_ < leaseEnd() ? ProposalStatus::Accepted : ProposalStatus::NoQuorum;
}

void ReplicaCore::onInput(const Propose& input)
{
    for (const Proposal& proposal : input.proposals) {
        ProposalStatus status = checkLeadership();
        // Before it has changed the set, a separate half only holds what was committed.
        if (status == ProposalStatus::Accepted && leadsSeparateHalf())
            status = ProposalStatus::NoQuorum;
        if (status == ProposalStatus::Accepted && proposal.data.size() > settings_.maxEntryBytes)
            status = ProposalStatus::TooLarge;
        if (status == ProposalStatus::Accepted && uncommittedBytes_ + proposal.data.size() > settings_.maxUncommittedBytes)
            status = ProposalStatus::Overloaded;
        if (status != ProposalStatus::Accepted) {
            output_.proposalResults.push_back({ proposal.requestId, status, 0, 0 });
            continue;
        }
        appendEntry(EntryKind::Command, proposal.data);
        pendingProposals_.insert({ log_.lastIndex(), { proposal.requestId, term_ } });
        output_.proposalResults.push_back({ proposal.requestId, status, log_.lastIndex(), term_ });
    }
    replicateToAll();
}

bool ReplicaCore::isSelfOrActive(const ReplicaKey& voter) const
{
    auto peer = peers_.find(voter);
    return voter == settings_.self || (peer != peers_.end() && isActive(peer->second));
}

std::vector<ReplicaKey> ReplicaCore::activePeers() const
{
    std::vector<ReplicaKey> active;
    for (const auto& [key, peer] : peers_) {
        if (role_ == Role::Leader && isActive(peer))
            active.push_back(key);
    }
    return active;
}

ProposalStatus ReplicaCore::checkConfigurationChange(const ChangeConfiguration& change, Configuration& changed) const
{
    if (const ProposalStatus status = checkLeadership(); status != ProposalStatus::Accepted)
        return status;
    // Allows one change at a time, and only after an entry of this term is committed: two
    // uncommitted configurations may have majorities without a common voter.
    if (log_.configurationIndex() > commitIndex_ || commitIndex_ < termStartIndex_)
        return ProposalStatus::ChangeInProgress;
    auto& [voters, learners] = changed;
    const bool isVoter = changed.isVoter(change.replica);
    const bool isLearner = changed.isLearner(change.replica);
    switch (change.kind) {
    case ChangeKind::AddLearner:
        if (isVoter || isLearner || voters.size() + learners.size() >= maxMembers)
            return ProposalStatus::InvalidChange;
        learners.push_back(change.replica);
        return ProposalStatus::Accepted;
    case ChangeKind::Promote: {
        // A replica must not have two votes, so its previous disk must be removed first.
        const bool isReplicaVoter = std::any_of(voters.begin(), voters.end(), [&change](const ReplicaKey& key) { return key.replica == change.replica.replica; });
        if (!isLearner || isReplicaVoter)
            return ProposalStatus::InvalidChange;
        // The match index covers only entries that the learner has synced.
        const Peer& peer = peers_.at(change.replica);
        if (peer.matchIndex < commitIndex_ || !isActive(peer))
            return ProposalStatus::NotCaughtUp;
        learners.erase(std::remove(learners.begin(), learners.end(), change.replica), learners.end());
        voters.push_back(change.replica);
        break;
    }
    case ChangeKind::Remove:
        if ((!isVoter && !isLearner) || (isVoter && voters.size() == 1))
            return ProposalStatus::InvalidChange;
        for (auto* members : { &voters, &learners })
            members->erase(std::remove(members->begin(), members->end(), change.replica), members->end());
        break;
    }
    const QuorumRule rule({ &configuration(), &changed }, lostVotersOfTerm_, separateHalf_);
    return rule.isReachedBy([this](const ReplicaKey& voter) { return isSelfOrActive(voter); }) ? ProposalStatus::Accepted : ProposalStatus::NoQuorum;
}

void ReplicaCore::onInput(const ChangeConfiguration& change)
{
    Configuration changed = configuration();
    const ProposalStatus status = checkConfigurationChange(change, changed);
    if (status != ProposalStatus::Accepted) {
        output_.proposalResults.push_back({ change.requestId, status, 0, 0 });
        return;
    }
    appendEntry(EntryKind::Configuration, encode(changed));
    pendingProposals_.insert({ log_.lastIndex(), { change.requestId, term_ } });
    output_.proposalResults.push_back({ change.requestId, status, log_.lastIndex(), term_ });
    syncPeersWithConfiguration();
    replicateToAll();
}

void ReplicaCore::onInput(const Read& read)
{
    // A new leader's commit index may lag until an entry of its own term is committed, so
    // the read index is at least the index of that entry.
    const ProposalStatus status = checkLeadership();
    if (status == ProposalStatus::Accepted && pendingReads_.size() < maxPendingReads)
        pendingReads_.emplace_back(read.requestId, std::max(commitIndex_, termStartIndex_));
    else
        output_.readResults.push_back({ read.requestId, status == ProposalStatus::NotLeader ? ReadStatus::NotLeader : ReadStatus::NoQuorum, 0, {} });
}

void ReplicaCore::completeReads()
{
    const bool isLeader = role_ == Role::Leader;
    while (!pendingReads_.empty()) {
        const auto [requestId, index] = pendingReads_.front();
        if (isLeader && appliedIndex_ < index)
            return;
        output_.readResults.push_back({ requestId, isLeader ? ReadStatus::Granted : ReadStatus::NotLeader, appliedIndex_, leaseEnd() });
        pendingReads_.pop_front();
    }
}

// Heartbeats and the leader lease

void ReplicaCore::sendHeartbeats()
{
    heartbeatDue_ = now_ + settings_.heartbeatInterval;
    roundSendTimes_.emplace_back(++heartbeatRound_, now_);
    while (now_ - roundSendTimes_.front().second > leaseDuration())
        roundSendTimes_.pop_front();
    for (const auto& [key, peer] : peers_)
        send(key, Heartbeat { heartbeatRound_, std::min(commitIndex_, peer.matchIndex), std::max(commitIndex_, termStartIndex_), peer.responseTime });
    updateLease();
}

ReplicaCore::Peer* ReplicaCore::peerForResponse(const Message& message)
{
    auto found = peers_.find(message.from);
    if (role_ != Role::Leader || found == peers_.end())
        return nullptr;
    if (message.term > term_)
        becomeFollower(message.term, std::nullopt);
    else if (message.term == term_) {
        found->second.lastResponseAt = now_;
        return &found->second;
    }
    return nullptr;
}

void ReplicaCore::onMessage(const Message& message, const HeartbeatResponse& response)
{
    Peer* peer = peerForResponse(message);
    if (!peer || response.round > heartbeatRound_)
        return;
    peer->responseTime = response.time;
    peer->ackedRound = std::max(peer->ackedRound, response.round);
    for (const auto& [sentRound, sentAt] : roundSendTimes_) {
        if (sentRound == response.round)
            recordContact(message.from, sentAt);
    }
    if (!peer->passedAt && response.round > peer->roundBeforeSend)
        peer->passedAt = now_;
    updateLease();
}

std::uint64_t ReplicaCore::quorumValue(std::uint64_t own, std::uint64_t Peer::*value) const
{
    return quorumOfTerm().highestReached([&](const ReplicaKey& voter) { return voter == settings_.self ? own : peers_.at(voter).*value; });
}

void ReplicaCore::updateLease()
{
    const std::uint64_t round = quorumValue(heartbeatRound_, &Peer::ackedRound);
    for (const auto& [sentRound, sentAt] : roundSendTimes_) {
        if (sentRound == round)
            leaseStart_ = std::max(leaseStart_.value_or(sentAt), sentAt);
    }
}

bool ReplicaCore::isActive(const Peer& peer) const
{
    return peer.lastResponseAt != base::TimePoint() && now_ - peer.lastResponseAt < settings_.electionTimeoutMin;
}

// Replication

void ReplicaCore::advanceCommit()
{
    const Index index = quorumValue(persistedIndex_, &Peer::matchIndex);
    if (index <= commitIndex_ || log_.termAt(index) != term_)
        return;
    const bool isChangeCommitted = log_.configurationIndex() > commitIndex_ && log_.configurationIndex() <= index;
    while (commitIndex_ < index) {
        const std::size_t size = entrySize(log_.at(++commitIndex_));
        uncommittedBytes_ -= std::min(uncommittedBytes_, size);
    }
    if (!isChangeCommitted)
        return;
    // Tells the members, also a removed one, that the change is committed.
    sendHeartbeats();
    recordCommittedConfiguration();
    syncPeersWithConfiguration();
    if (!configuration().isVoter(settings_.self))
        becomeFollower(term_, std::nullopt);
}

void ReplicaCore::replicateToAll()
{
    if (role_ != Role::Leader)
        return;
    for (auto& [key, peer] : peers_)
        replicateTo(key, peer);
}

void ReplicaCore::replicateTo(const ReplicaKey& key, Peer& peer)
{
    if (peer.mode != PeerMode::Snapshot && peer.nextIndex <= log_.compactedIndex()) {
        assert(snapshot_);
        peer.mode = PeerMode::Snapshot;
        peer.snapshot = *snapshot_;
        peer.snapshotOffset = 0;
        sendSnapshotChunk(key, peer);
        return;
    }
    if (peer.mode == PeerMode::Probe && !peer.isProbeSent) {
        sendBatch(key, peer);
        peer.isProbeSent = true;
    }
    while (peer.mode == PeerMode::Replicate && peer.nextIndex <= log_.lastIndex() && peer.inflight.size() < settings_.maxInflightBatches) {
        peer.nextIndex += sendBatch(key, peer);
        peer.inflight.push_back(peer.nextIndex - 1);
    }
}

std::size_t ReplicaCore::sendBatch(const ReplicaKey& key, Peer& peer)
{
    AppendRequest request;
    request.previousIndex = peer.nextIndex - 1;
    request.previousTerm = *log_.termAt(request.previousIndex);
    request.commitIndex = commitIndex_;
    request.entries = log_.slice(peer.nextIndex, settings_.maxBatchBytes, settings_.maxBatchEntries);
    const std::size_t count = request.entries.size();
    sendReliably(key, peer, std::move(request));
    return count;
}

void ReplicaCore::sendSnapshotChunk(const ReplicaKey& key, Peer& peer)
{
    const std::string& data = *peer.snapshot.data;
    sendReliably(key, peer, SnapshotChunk { peer.snapshot.meta, data.size(), peer.snapshotOffset, data.substr(peer.snapshotOffset, settings_.maxBatchBytes) });
}

void ReplicaCore::sendReliably(const ReplicaKey& key, Peer& peer, MessageBody body)
{
    peer.roundBeforeSend = heartbeatRound_;
    peer.passedAt.reset();
    send(key, std::move(body));
}

void ReplicaCore::resendUnacknowledged()
{
    for (auto& [key, peer] : peers_) {
        const bool isWaiting = peer.mode != PeerMode::Replicate || peer.matchIndex < peer.nextIndex - 1;
        const bool isLost = peer.passedAt && now_ - *peer.passedAt >= resendDelayHeartbeats * settings_.heartbeatInterval;
        if (!isWaiting || !isActive(peer) || !isLost)
            continue;
        if (peer.mode == PeerMode::Snapshot) {
            sendSnapshotChunk(key, peer);
            continue;
        }
        peer.mode = PeerMode::Probe;
        peer.nextIndex = peer.matchIndex ? peer.matchIndex + 1 : peer.nextIndex;
        peer.inflight.clear();
        peer.isProbeSent = false;
        replicateTo(key, peer);
    }
}

void ReplicaCore::onMessage(const Message& message, const AppendResponse& response)
{
    Peer* peer = peerForResponse(message);
    if (!peer || response.index > log_.lastIndex())
        return;
    if (response.isAccepted) {
        peer->matchIndex = std::max(peer->matchIndex, response.index);
        if (peer->mode != PeerMode::Replicate && (peer->mode == PeerMode::Probe || peer->matchIndex >= peer->snapshot.meta.index)) {
            peer->mode = PeerMode::Replicate;
            peer->inflight.clear();
            peer->snapshot = Snapshot();
            peer->nextIndex = peer->matchIndex + 1;
        }
        peer->nextIndex = std::max(peer->nextIndex, peer->matchIndex + 1);
        while (!peer->inflight.empty() && peer->inflight.front() <= peer->matchIndex)
            peer->inflight.pop_front();
        advanceCommit();
        // A committed change may have removed the sender.
        if (role_ != Role::Leader || !peers_.count(message.from))
            return;
    } else {
        // A stale rejection refers to an index that is no longer being probed.
        const bool isCurrent = peer->mode == PeerMode::Probe ? response.index == peer->nextIndex - 1 : response.index > peer->matchIndex;
        if (peer->mode == PeerMode::Snapshot || !isCurrent)
            return;
        peer->mode = PeerMode::Probe;
        peer->inflight.clear();
        peer->isProbeSent = false;
        // Skips a whole conflicting term in one round trip.
        const Index commonIndex = log_.lastIndexWithTermAtMost(response.hintIndex, response.hintTerm);
        // If the logs diverge within the compacted prefix, the peer needs a snapshot.
        const bool needsSnapshot = response.hintIndex < log_.compactedIndex() || log_.termAt(commonIndex) > response.hintTerm;
        peer->nextIndex = needsSnapshot ? log_.compactedIndex() : std::max(peer->matchIndex, commonIndex) + 1;
    }
    replicateTo(message.from, *peer);
}

void ReplicaCore::onMessage(const Message& message, const SnapshotResponse& response)
{
    Peer* peer = peerForResponse(message);
    if (!peer || peer->mode != PeerMode::Snapshot || peer->snapshot.meta.index != response.index)
        return;
    const bool isNew = response.nextOffset != peer->snapshotOffset && response.nextOffset <= peer->snapshot.data->size();
    if (!isNew)
        return;
    peer->snapshotOffset = response.nextOffset;
    if (response.nextOffset < peer->snapshot.data->size())
        sendSnapshotChunk(message.from, *peer);
}

} // namespace arbutus::consensus
