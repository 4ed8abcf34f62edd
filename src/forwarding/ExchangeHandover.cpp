#include "src/forwarding/Exchange.h"

#include <algorithm>
#include <array>

namespace arbutus::forwarding {

using routing::CallResult;

// Several entry VMs may lose their paths together, before the control VMs know it.
static constexpr int maxHandovers = 4;

bool Exchange::mayHandOver() const { return !handover_ && handoverCount_ < maxHandovers; }

bool Exchange::tryHandOver()
{
    auto peer = mayHandOver() ? proxy_.handoverPeers_.choose(avoidedPeers_, std::chrono::steady_clock::now()) : std::nullopt;
    if (!peer)
        return false;
    ++handoverCount_;
    ++proxy_.counters_.handovers;
    path_.clear();
    upstreamId_.clear();
    handoverPeer_ = peer;
    proxy_.handoverPeers_.requestStarted(*peer);
    sendTo(*peer);
    return true;
}

void Exchange::recordMiss(AttemptOutcome outcome)
{
    // Silence alone does not show that there is no path.
    bool isMissed = outcome == AttemptOutcome::NotSent || (outcome == AttemptOutcome::Lost && !responseHead_);
    auto now = std::chrono::steady_clock::now();
    if (handoverPeer_) {
        avoidedPeers_.insert(*handoverPeer_);
        if (isMissed)
            proxy_.handoverPeers_.peerFailed(*handoverPeer_, now);
        return;
    }
    if (!isMissed)
        return;
    ++missCount_;
    proxy_.upstreamMissed(upstreamId_, now);
}

bool Exchange::isNotRunPromise(int status)
{
    static constexpr std::array<int, 4> statuses { 408, 421, 429, 503 };
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

void Exchange::finishHandover()
{
    const auto* mark = responseHead_->fields.find(HandoverMark::fieldName);
    bool isRefusal = !responseMetadata_.isSigned && isNotRunPromise(responseHead_->status);
    bool isDeclined = isRefusal && mark && *mark == HandoverMark::declined;
    if (isDeclined || (isRefusal && relayMode_ == RelayMode::Events)) {
        endAttempt(AttemptOutcome::NotRun);
        return;
    }
    if (relayMode_ == RelayMode::Events) {
        endAttempt(AttemptOutcome::Failed);
        return;
    }
    releaseReservation(CallResult::Answered);
    // The other VM speaks of its own attempts only.
    bool mayHaveRunBefore = runCount_ > 1;
    if (isRefusal && mayHaveRunBefore) {
        refuse(base::makeError(base::ErrorKind::UpstreamFailed, "the response of the upstream was lost"));
        return;
    }
    auto response = responseFrom(*responseHead_);
    response.body = std::move(bufferedBody_);
    if (caller_)
        caller_->send(response);
    ++proxy_.counters_.completed;
    finish();
}

} // namespace arbutus::forwarding
