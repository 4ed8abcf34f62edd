#include "include/consensus/ReplicaCore.h"

#include <algorithm>
#include <iterator>

namespace arbutus::consensus {

// A pre-vote changes no state at the other replicas, so an unanswered one is retried
// quickly. Waiting a full election timeout before the second attempt would exceed the
// 2 s within which a new leader must be elected.
constexpr std::chrono::milliseconds preVoteRetryMin(50);
constexpr std::chrono::milliseconds preVoteRetryMax(150);
// A vote takes a disk sync on each voter. The random spread resolves split votes.
constexpr std::chrono::milliseconds voteRetryMin(200);
constexpr std::chrono::milliseconds voteRetryMax(500);

// Contacts are stored this often in a separation timeout, while that matters.
constexpr int contactWritesPerSeparation = 32;

std::chrono::nanoseconds ReplicaCore::randomBetween(std::chrono::nanoseconds low, std::chrono::nanoseconds high)
{
    return low + std::chrono::nanoseconds(random_.below(static_cast<std::uint64_t>((high - low).count())));
}

bool ReplicaCore::hasRecentLeader() const
{
    return role_ == Role::Leader || now_ - lastLeaderContact_ < settings_.electionTimeoutMin;
}

void ReplicaCore::setTerm(Term term, std::optional<ReplicaKey> vote)
{
    if (term != term_)
        matchedIndex_ = 0;
    if (term == term_ && vote == vote_)
        return;
    term_ = term;
    vote_ = vote;
    output_.hardState = hardState();
}

void ReplicaCore::becomeFollower(Term term, std::optional<ReplicaKey> leader)
{
    const bool wasLeader = role_ == Role::Leader;
    if (wasLeader || leader != leader_ || term != term_)
        currentIndex_.reset();
    role_ = Role::Follower;
    leader_ = leader;
    votes_.clear();
    if (wasLeader) {
        peers_.clear();
        leaseStart_.reset();
        roundSendTimes_.clear();
    }
    setTerm(term, term == term_ ? vote_ : std::nullopt);
    if (leader || wasLeader)
        electionDeadline_ = now_ + randomBetween(settings_.electionTimeoutMin, settings_.electionTimeoutMax);
}

void ReplicaCore::startPreVote()
{
    role_ = Role::PreCandidate;
    leader_.reset();
    votes_ = { settings_.self };
    beginSeparateHalf();
    electionDeadline_ = now_ + randomBetween(preVoteRetryMin, preVoteRetryMax);
    requestVotes(true);
    countVotes();
}

void ReplicaCore::startElection()
{
    role_ = Role::Candidate;
    votes_.clear();
    beginSeparateHalf();
    lostVotersOfTerm_ = lostVoters_;
    setTerm(term_ + 1, settings_.self);
    electionDeadline_ = now_ + randomBetween(voteRetryMin, voteRetryMax);
    requestVotes(false);
}

void ReplicaCore::requestVotes(bool isPreVote)
{
    const VoteRequest request { isPreVote, log_.lastIndex(), log_.lastTerm(), { separateHalf_.others.begin(), separateHalf_.others.end() } };
    std::set<ReplicaKey> voters;
    for (const Configuration* configuration : configurationsInForce())
        voters.insert(configuration->voters.begin(), configuration->voters.end());
    voters.erase(settings_.self);
    for (const ReplicaKey& voter : voters) {
        if (isPreVote)
            send(voter, request);
        else
            sendWhenPersisted(voter, request);
    }
}

void ReplicaCore::countVotes()
{
    const bool isOwnVoteSynced = persistedHardState_.term == term_ && persistedHardState_.vote == settings_.self;
    if (role_ == Role::Candidate && isOwnVoteSynced)
        votes_.insert(settings_.self);
    // Counts only voters of this replica's configurations. The key includes the disk, so
    // a vote of a wiped disk does not count for the old one.
    const QuorumRule rule(configurationsInForce(), role_ == Role::Candidate ? lostVotersOfTerm_ : lostVoters_, separateHalf_);
    if (!rule.isReachedBy([this](const ReplicaKey& voter) { return votes_.count(voter) > 0; }))
        return;
    if (role_ == Role::PreCandidate)
        startElection();
    else
        becomeLeader();
}

void ReplicaCore::answerForLostDisk(const Message& message)
{
    if (const auto* request = std::get_if<VoteRequest>(&message.body))
        send(message.from, VoteResponse { request->isPreVote, false, message.term, message.to.disk, false });
}

void ReplicaCore::recordLostDisk(const ReplicaKey& responder, const VoteResponse& response)
{
    const ReplicaKey lost { responder.replica, *response.lostDisk };
    const auto inForce = configurationsInForce();
    const bool isVoter = std::any_of(inForce.begin(), inForce.end(), [&lost](const Configuration* configuration) { return configuration->isVoter(lost); });
    // A leader may have counted acts that are earlier than this loss.
    if (lost == responder || !isVoter || role_ == Role::Leader)
        return;
    // The disk was lost by now. Contacts at an earlier answer hold as well.
    lostVoters_[lost].merge(contacts_.recentContacts(now_));
    if (role_ == Role::PreCandidate)
        countVotes();
}

void ReplicaCore::recordMessageFrom(const ReplicaKey& sender)
{
    contacts_.recordMessageFrom(sender, now_);
    if (separateHalf_.others.count(sender))
        separateHalf_ = {};
}

bool ReplicaCore::isApartFromAll(const std::vector<ReplicaKey>& voters) const
{
    return std::all_of(voters.begin(), voters.end(), [this](const ReplicaKey& voter) { return isApartFrom(voter); });
}

std::vector<ReplicaKey> ReplicaCore::otherHalf() const
{
    std::vector<ReplicaKey> others;
    bool isAnyHalf = false;
    for (const Configuration* configuration : configurationsInForce()) {
        const auto& voters = configuration->voters;
        std::vector<ReplicaKey> apart;
        std::copy_if(voters.begin(), voters.end(), std::back_inserter(apart), [this](const ReplicaKey& voter) { return isApartFrom(voter); });
        isAnyHalf = isAnyHalf || (!voters.empty() && apart.size() * 2 == voters.size() && !isApartFrom(configuration->tieBreaker()));
        others.insert(others.end(), apart.begin(), apart.end());
    }
    return isAnyHalf ? others : std::vector<ReplicaKey>();
}

void ReplicaCore::beginSeparateHalf()
{
    contacts_.forgetOld(now_);
    separateHalf_ = {};
    if (const auto others = otherHalf(); !others.empty())
        separateHalf_ = { { settings_.self }, { others.begin(), others.end() } };
}

// A replica that was restarted after the loss of a disk would otherwise know of no contact.
void ReplicaCore::recordContact(const ReplicaKey& voter, base::TimePoint sentAt)
{
    contacts_.recordContact(voter, sentAt);
    const auto inForce = configurationsInForce();
    const bool isAnyEven = std::any_of(inForce.begin(), inForce.end(), [](const Configuration* configuration) { return configuration->voters.size() % 2 == 0; });
    if (settings_.boot.empty() || !isAnyEven || now_ < contactsStoredAt_ + settings_.separationTimeout / contactWritesPerSeparation)
        return;
    contactsStoredAt_ = now_;
    storedContacts_ = contacts_.store(now_);
    output_.hardState = hardState();
}

// A replica that knows of its removal is asked only by candidates that do not know it to be
// committed. Later entries do not depend on its vote, and nobody else may have them.
Index ReplicaCore::lastGuardedIndex() const
{
    const bool isMember = configuration().isVoter(settings_.self) || configuration().isLearner(settings_.self);
    if (isMember || log_.configurationIndex() > committedConfiguration_)
        return log_.lastIndex();
    return std::max(log_.configurationIndex(), log_.compactedIndex());
}

void ReplicaCore::onMessage(const Message& message, const VoteRequest& request)
{
    // Carries the requested term, because message.term of a response is the responder's
    // own term, which a pre-vote does not change.
    const bool isApart = !request.apartFrom.empty() && isApartFromAll(request.apartFrom);
    auto makeResponse = [&](bool isGranted) { return VoteResponse { request.isPreVote, isGranted, message.term, std::nullopt, isGranted && isApart }; };
    const Index guardedIndex = lastGuardedIndex();
    const bool isLogUpToDate = std::tie(request.lastTerm, request.lastIndex) >= std::make_tuple(*log_.termAt(guardedIndex), guardedIndex);
    if (hasRecentLeader() || message.term < term_) {
        send(message.from, makeResponse(false));
        return;
    }
    if (request.isPreVote) {
        const bool canVoteInTerm = message.term > term_ || !vote_ || vote_ == message.from;
        send(message.from, makeResponse(canVoteInTerm && isLogUpToDate));
        return;
    }
    if (message.term > term_)
        becomeFollower(message.term, std::nullopt);
    // A replica votes regardless of its own configuration: its vote may be needed because
    // of a promotion that it has not received yet. The candidate counts only voters.
    const bool isGranted = isLogUpToDate && (!vote_ || vote_ == message.from);
    if (!isGranted) {
        send(message.from, makeResponse(false));
        return;
    }
    setTerm(term_, message.from);
    electionDeadline_ = std::max(electionDeadline_, now_ + randomBetween(voteRetryMin, voteRetryMax));
    sendWhenPersisted(message.from, makeResponse(true));
}

void ReplicaCore::onMessage(const Message& message, const VoteResponse& response)
{
    if (response.lostDisk) {
        recordLostDisk(message.from, response);
        return;
    }
    const Role expectedRole = response.isPreVote ? Role::PreCandidate : Role::Candidate;
    if (message.term > term_ && !response.isGranted && configuration().isVoter(message.from)) {
        becomeFollower(message.term, std::nullopt);
        return;
    }
    const Term expectedTerm = response.isPreVote ? term_ + 1 : term_;
    if (role_ != expectedRole || response.requestedTerm != expectedTerm || !response.isGranted)
        return;
    votes_.insert(message.from);
    if (response.isApart)
        separateHalf_.members.insert(message.from);
    countVotes();
}

} // namespace arbutus::consensus
