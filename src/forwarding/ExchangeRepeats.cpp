#include "include/base/Clock.h"
#include "src/forwarding/Exchange.h"

#include <algorithm>

namespace arbutus::forwarding {

using base::TimePoint;

// Attempts allowed beyond the route's limit if earlier ones certainly did not run.
static constexpr int maxExtraSends = 2;
// Long enough for the observations of the other VMs to arrive.
static constexpr std::chrono::milliseconds maxRefutationWait(400);

bool Exchange::reserveRepeat() { return repeatCharges_.tryReserve(service_->retryBudget, base::bootNow()); }

void Exchange::settleCharge()
{
    bool hasEnded = responseHead_ || hasConnectionFailed_ || handoverPeer_;
    if (hasEnded)
        repeatCharges_.attemptArrived(base::bootNow());
    else
        repeatCharges_.attemptGivenUp(upstreamId_, base::bootNow());
}

bool Exchange::hasReachedNobody(AttemptOutcome outcome) const
{
    bool isDeclined = handoverPeer_ && outcome == AttemptOutcome::NotRun;
    return outcome == AttemptOutcome::NotSent || isDeclined;
}

bool Exchange::mayRetry(AttemptOutcome outcome) const
{
    // The beginning of a plain body has gone to the caller, and no other answer continues it.
    if (relayMode_ == RelayMode::Plain)
        return false;
    bool isCertainlyNotRun = outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NotRun;
    if (!caller_ || (!isCertainlyNotRun && !isRepeatable()))
        return false;
    // A stream that has started cannot be refused any more, so refusals do not end it.
    // Nor do they end one that another entry VM may be able to send.
    bool isSendLimited = relayMode_ == RelayMode::None && !(mayHandOver() && proxy_.reachability_.isImpaired(std::chrono::steady_clock::now()));
    if (runCount_ + (handover_ ? handover_->runs : 0) >= route_->maxAttempts || (isSendLimited && sendCount_ >= route_->maxAttempts + maxExtraSends))
        return false;
    return std::chrono::steady_clock::now() < deadline_;
}

bool Exchange::tryRetry(AttemptOutcome outcome)
{
    if (!mayRetry(outcome))
        return false;
    if (holdTime()) {
        refutationDeadline_ = std::min(deadline_, std::chrono::steady_clock::now() + maxRefutationWait);
        return true;
    }
    // An attempt that reached no upstream does not count as a retry.
    bool isCounted = !hasReachedNobody(outcome);
    if (!isCounted || reserveRepeat()) {
        ++(isCounted ? service_->repeats.charged : service_->repeats.uncharged);
        return trySend() || waitForCapacity(true);
    }
    ++service_->repeats.refused;
    // A started stream waits for the retry budget outside the wait queue, where it would
    // block requests that need no retry.
    isAwaitingRetryBudget_ = relayMode_ != RelayMode::None;
    return isAwaitingRetryBudget_;
}

void Exchange::pollRefutation(TimePoint now)
{
    bool isHeldBack = holdTime().has_value();
    if (isHeldBack && now < *refutationDeadline_)
        return;
    refutationDeadline_.reset();
    if (isHeldBack || !tryRetry(AttemptOutcome::Lost))
        failRequest(AttemptOutcome::Lost);
}

void Exchange::pollRetryBudget(TimePoint now)
{
    bool isOver = now >= deadline_;
    if (!isOver && !reserveRepeat())
        return;
    isAwaitingRetryBudget_ = false;
    if (isOver || (!trySend() && !waitForCapacity(true)))
        failRequest(AttemptOutcome::NotRun);
}

} // namespace arbutus::forwarding
