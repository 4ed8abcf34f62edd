#include "src/entry/StateClient.h"

#include "include/base/LockRanks.h"
#include "include/control/CommandCodec.h"
#include "include/http/RpcOverHttp.h"

#include <algorithm>
#include <array>
#include <thread>

namespace arbutus::entry {

using base::ErrorKind;
using base::makeError;
using base::RankedLock;
using base::Result;
using orders::ClaimState;
using rpc::Parameters;

// A replica that takes longer may be partitioned from the others; the next one is tried.
static constexpr std::chrono::milliseconds attemptTimeout(1500);
static constexpr std::chrono::milliseconds retryRoundDelay(50);
static constexpr std::size_t maxContentTypeBytes = 255;

StateClient::StateClient(const base::Clock& clock, base::Timeline& timeline, std::vector<std::string> replicaUrls, std::string key, std::string vm, std::uint64_t incarnation)
    : clock_(clock)
    , timeline_(timeline)
    , replicaUrls_(std::move(replicaUrls))
    , key_(std::move(key))
    , vm_(std::move(vm))
    , mutex_(base::lock_rank::replica)
    , incarnation_(incarnation)
{
}

std::size_t StateClient::leaderIndex() const
{
    RankedLock lock(mutex_);
    return leaderIndex_;
}

void StateClient::setLeaderIndex(std::size_t index)
{
    RankedLock lock(mutex_);
    leaderIndex_ = index;
}

// Returns true if this replica did not execute the call but another one might.
static bool canTryAnotherReplica(ErrorKind kind)
{
    return kind == ErrorKind::NotLeader || kind == ErrorKind::NoQuorum || kind == ErrorKind::NoUpstream;
}

Result<Parameters> StateClient::call(const std::string& method, const Parameters& parameters, base::TimePoint deadline)
{
    bool mayBeCommitted = false;
    std::size_t first = leaderIndex();
    for (std::size_t attempt = 0; clock_.now() < deadline; ++attempt) {
        std::size_t index = (first + attempt) % replicaUrls_.size();
        http::RpcClient client(replicaUrls_[index], key_, timeline_);
        auto reply = client.call(method, parameters, std::min(deadline, clock_.now() + attemptTimeout));
        if (reply) {
            setLeaderIndex(index);
            return reply;
        }
        // An unreadable reply does not show whether the command was executed.
        if (reply.error().kind == ErrorKind::CommandUnconfirmed || reply.error().kind == ErrorKind::Internal)
            mayBeCommitted = true;
        else if (!canTryAnotherReplica(reply.error().kind)) {
            // This attempt was refused, but an earlier one may still be committed.
            if (mayBeCommitted)
                return makeError(ErrorKind::CommandUnconfirmed, reply.error().detail);
            return reply.error();
        }
        if (attempt % replicaUrls_.size() == replicaUrls_.size() - 1)
            std::this_thread::sleep_for(retryRoundDelay);
    }
    if (mayBeCommitted)
        return makeError(ErrorKind::CommandUnconfirmed, "the state did not confirm the command in time");
    return makeError(ErrorKind::NoQuorum, "no state replica leads a quorum");
}

Result<Parameters> StateClient::propose(const state::CommandBody& command, base::TimePoint deadline)
{
    BOOST_OUTCOME_TRY(reply, call(control::methodOf(command), control::toParameters(command), deadline));
    BOOST_OUTCOME_TRYV(control::refusalFromParameters(reply));
    return reply;
}

std::uint64_t StateClient::raiseIncarnation(std::uint64_t rejected)
{
    RankedLock lock(mutex_);
    auto now = static_cast<std::uint64_t>(clock_.wallNow().time_since_epoch().count());
    if (incarnation_ == rejected)
        incarnation_ = std::max(rejected + 1, now);
    return incarnation_;
}

std::uint64_t StateClient::incarnation() const
{
    RankedLock lock(mutex_);
    return incarnation_;
}

static state::OrderKey orderKeyOf(const orders::Claim& claim) { return { claim.team, claim.service, claim.key }; }

// The ledger accepts only content types that are printable and at most 255 bytes long.
static std::string recordableContentType(const std::string& contentType)
{
    bool isPrintable = std::all_of(contentType.begin(), contentType.end(), [](unsigned char c) { return c >= 0x20 && c < 0x7f; });
    return isPrintable && contentType.size() <= maxContentTypeBytes ? contentType : "application/octet-stream";
}

static state::OrderAnswer toState(const orders::OrderAnswer& answer)
{
    // The order ran, so its status is recorded even if the body is too large to store.
    if (answer.body.size() > state::maxOutcomeBodyBytes)
        return { static_cast<std::uint32_t>(answer.status), "text/plain", "The answer was too large to be recorded." };
    return { static_cast<std::uint32_t>(answer.status), recordableContentType(answer.contentType), answer.body };
}

Result<orders::ClaimReply> StateClient::onClaim(const orders::Claim& claim, base::TimePoint deadline)
{
    // A claim is idempotent by claim number, so an unconfirmed attempt may be repeated
    // on another replica.
    state::ClaimOrder command { orderKeyOf(claim), claim.digest, claim.number, vm_, incarnation() };
    auto proposed = propose(command, deadline);
    if (!proposed && proposed.error().kind == ErrorKind::PeerRejected) {
        // Other VMs lost contact with this one and declared its incarnation gone, which
        // set the outcome of its open claims to unknown. New claims need a new incarnation.
        command.entryIncarnation = raiseIncarnation(command.entryIncarnation);
        proposed = propose(command, deadline);
    }
    if (!proposed) {
        if (proposed.error().kind == ErrorKind::CommandUnconfirmed)
            return makeError(ErrorKind::ClaimUnconfirmed, proposed.error().detail);
        if (proposed.error().kind == ErrorKind::KeyConflict)
            return orders::ClaimReply { ClaimState::KeyConflict, std::nullopt };
        return proposed.error();
    }
    BOOST_OUTCOME_TRY(reply, control::claimReplyFromParameters(proposed.value()));
    static constexpr std::array<ClaimState, 6> states { ClaimState::Granted, ClaimState::InProgress, ClaimState::OutcomeUnknown, ClaimState::Completed, ClaimState::Completed, ClaimState::InProgress };
    orders::ClaimReply result { states[static_cast<std::size_t>(reply.status)], std::nullopt };
    if (result.state == ClaimState::Completed && reply.recorded) {
        const auto& answer = reply.recorded->answer;
        result.outcome = orders::OrderAnswer { static_cast<int>(answer.httpStatus), answer.contentType, answer.body };
    }
    return result;
}

Result<void> StateClient::onRecordOutcome(const orders::Claim& claim, const std::optional<orders::OrderAnswer>& answer, base::TimePoint deadline)
{
    state::RecordOutcome command;
    command.order = orderKeyOf(claim);
    command.claimNumber = claim.number;
    command.isUnknown = !answer;
    if (answer)
        command.answer = toState(*answer);
    BOOST_OUTCOME_TRYV(propose(command, deadline));
    return base::outcome::success();
}

Result<void> StateClient::onClose(const orders::Claim& claim, base::TimePoint deadline)
{
    BOOST_OUTCOME_TRYV(propose(state::CloseClaim { orderKeyOf(claim), claim.number }, deadline));
    return base::outcome::success();
}

} // namespace arbutus::entry
