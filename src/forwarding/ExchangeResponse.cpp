#include "src/forwarding/Exchange.h"

#include "include/base/Clock.h"
#include "include/base/Logger.h"
#include "include/base/Strings.h"

#include <algorithm>
#include <array>

namespace arbutus::forwarding {

using routes::RequestKind;
using routing::CallResult;

static constexpr base::Logger logger("gate");

// Responses up to this size are buffered until they are complete, so that the request
// can still be retried if the response is truncated. A longer event belongs to no
// response. Reading from the upstream pauses while more is pending to the caller.
static constexpr std::size_t maxHeldBytesAlone = std::size_t { 256 } << 10;
// The same while all answers together hold more than their part of the memory.
static constexpr std::size_t maxHeldBytesCrowded = std::size_t { 16 } << 10;
// How much of a response arrives at a time meanwhile.
static constexpr std::size_t maxReadBytesCrowded = std::size_t { 8 } << 10;

void Exchange::onConnectionEstablished()
{
    if (!handoverPeer_)
        proxy_.upstreamConnected(std::chrono::steady_clock::now());
}

ResponseMatch Exchange::onMatchResponse(const http1::ResponseHead& head) const
{
    auto metadata = proxy_.headerCodec_.readResponse(head);
    // An answer of another entry VM's own does not name the request.
    if (!metadata.requestId)
        return handoverPeer_ ? ResponseMatch::Current : ResponseMatch::Unknown;
    return *metadata.requestId == requestMetadata_.requestId ? ResponseMatch::Current : ResponseMatch::Stale;
}

void Exchange::onObserve(const http1::ResponseHead& head)
{
    if (handoverPeer_)
        return;
    proxy_.upstreamReached(std::chrono::steady_clock::now());
    service_->retryBudget->upstreamReads(upstreamId_, base::bootNow());
    auto metadata = proxy_.headerCodec_.readResponse(head);
    fleet::UpstreamProcess process { upstreamId_, upstreamStartedAtMilliseconds_ };
    if (metadata.isLeaving)
        proxy_.upstreamLeaves(process);
    if (metadata.pause)
        proxy_.upstreamPauses(process, std::chrono::steady_clock::now() + *metadata.pause);
}

void Exchange::onHead(const http1::ResponseHead& head)
{
    auto self = shared_from_this();
    responseMetadata_ = proxy_.headerCodec_.readResponse(head);
    connection_->setKeepAlive(responseMetadata_.keepAlive);
    responseHead_ = head;
    repeatCharges_.attemptArrived(base::bootNow());
    if (!handoverPeer_)
        recordNamedLimit();
    if (path_.empty() && responseMetadata_.isSigned)
        reportWorkingUpstreams();
    if (head.isSuccess() && (!responseMetadata_.isSigned || responseMetadata_.isEncoded)) {
        rejectResponse(AttemptOutcome::Lost);
        return;
    }
    isStream_ = head.isSuccess() && route_->kind == RequestKind::Streaming;
}

void Exchange::recordNamedLimit()
{
    auto limit = responseMetadata_.requestsPerSecond;
    if (!limit && !(responseHead_->isSuccess() && responseMetadata_.isSigned))
        return;
    auto now = base::bootNow();
    auto sinceSent = base::TimePoint(std::chrono::steady_clock::now()) - sentAt_;
    if (service_->rateLimiter.observe(upstreamId_, limit, now - sinceSent, now))
        logger.info("An upstream named another limit of requests.", { { "upstream", upstreamId_ }, { "request", requestMetadata_.requestId }, { "is_limited", limit.has_value() }, { "per_second", limit.value_or(0) } });
}

void Exchange::onBody(std::string_view bytes)
{
    auto self = shared_from_this();
    if (!handoverPeer_)
        proxy_.upstreamReached(std::chrono::steady_clock::now());
    if (isStream_)
        relayEvents(bytes);
    else
        relayPlainBody(bytes);
    if (connection_ && isCallerBehind())
        connection_->setReading(false);
    if (!isFinished_)
        countHeldBytes();
}

std::size_t Exchange::maxHeldBytes() const { return proxy_.options_.bytes->isCrowdedByAnswers() ? maxHeldBytesCrowded : maxHeldBytesAlone; }

bool Exchange::isCallerBehind() const
{
    auto allowed = proxy_.options_.bytes->isExceeded() ? 0 : maxHeldBytes();
    return caller_ && caller_->pendingBytes() > allowed;
}

std::size_t Exchange::onMaxReadBytes() const { return proxy_.options_.bytes->isCrowdedByAnswers() ? maxReadBytesCrowded : net::StreamListener::fullReadBytes; }

void Exchange::countHeldBytes()
{
    answerCharge_.set(http1::allocatedBytes(bufferedBody_) + eventSplitter_.partialBytes() + (failedResponse_ ? http1::allocatedBytes(failedResponse_->body) : 0));
}

void Exchange::dropPartialAnswer()
{
    base::freeString(bufferedBody_);
    eventSplitter_.discardPartial();
    countHeldBytes();
}

void Exchange::relayEvents(std::string_view bytes)
{
    if (std::string events = eventSplitter_.feed(bytes); !events.empty())
        sendEvents(events);
    if (eventSplitter_.partialBytes() > maxHeldBytes())
        rejectResponse(AttemptOutcome::Lost);
}

void Exchange::sendEvents(std::string_view events)
{
    if (!std::exchange(hasEvents_, true))
        reportWorkingUpstreams();
    progressAt_ = std::chrono::steady_clock::now();
    for (const auto& stage : path_)
        *stage.progressAt = progressAt_;
    if (!caller_)
        return;
    if (relayMode_ == RelayMode::None) {
        proxy_.crashGuard_.answerBegan(promptParts_, progressAt_);
        beginRelay(RelayMode::Events, std::nullopt);
    }
    caller_->sendBody(events);
}

void Exchange::relayPlainBody(std::string_view bytes)
{
    progressAt_ = std::chrono::steady_clock::now();
    if (!caller_)
        return;
    if (relayMode_ == RelayMode::Plain) {
        caller_->sendBody(bytes);
        return;
    }
    bufferedBody_.append(bytes);
    if (bufferedBody_.size() <= maxHeldBytes())
        return;
    if (!responseHead_->isSuccess()) {
        rejectResponse(responseMetadata_.isNotRun ? AttemptOutcome::NotRun : AttemptOutcome::Lost);
        return;
    }
    beginRelay(RelayMode::Plain, responseHead_->contentLength);
    caller_->sendBody(bufferedBody_);
    base::freeString(bufferedBody_);
}

void Exchange::rejectResponse(AttemptOutcome outcome)
{
    connection_->abandon();
    endAttempt(outcome);
}

http1::Response Exchange::responseFrom(const http1::ResponseHead& head) const
{
    http1::Response response;
    response.status = head.status;
    response.reason = head.reason;
    const auto* connection = head.fields.find("Connection");
    for (const auto& [name, value] : head.fields) {
        if (!http1::isHopByHopField(name, connection))
            response.fields.add(name, value);
    }
    return response;
}

void Exchange::beginRelay(RelayMode mode, std::optional<std::uint64_t> length)
{
    relayMode_ = mode;
    caller_->beginResponse(responseFrom(*responseHead_), length);
}

// An upstream that crashes may close its connections as if it had finished.
bool Exchange::isBrokenOff() const { return responseHead_->endsWithConnection && (eventSplitter_.partialBytes() || !hasEvents_); }

void Exchange::onDone()
{
    auto self = shared_from_this();
    if (!isStream_) {
        finishPlainResponse();
        return;
    }
    if (isBrokenOff()) {
        endAttempt(AttemptOutcome::Lost);
        return;
    }
    releaseReservation(CallResult::Answered);
    if (caller_) {
        if (relayMode_ == RelayMode::None)
            beginRelay(RelayMode::Events, std::nullopt);
        caller_->sendBody(eventSplitter_.takePartial());
        caller_->finishResponse();
    }
    ++proxy_.counters_.completed;
    finish();
}

void Exchange::finishPlainResponse()
{
    if (relayMode_ == RelayMode::Plain) {
        releaseReservation(CallResult::Answered);
        if (caller_)
            caller_->finishResponse();
        ++proxy_.counters_.completed;
        finish();
        return;
    }
    if (handoverPeer_) {
        finishHandover();
        return;
    }
    if (responseMetadata_.isNotRun) {
        endAttempt(AttemptOutcome::NotRun);
        return;
    }
    // A started stream can only continue with events or be aborted. It cannot be replaced
    // by another response.
    if (relayMode_ == RelayMode::Events) {
        endAttempt(AttemptOutcome::Failed);
        return;
    }
    // Callers take these statuses for a promise that the request has not run, which only the
    // upstream can make.
    if (isNotRunPromise(responseHead_->status)) {
        endAttempt(AttemptOutcome::Failed);
        return;
    }
    auto response = responseFrom(*responseHead_);
    response.body = std::move(bufferedBody_);
    if (responseHead_->status >= 500) {
        failedResponse_ = std::move(response);
        endAttempt(AttemptOutcome::Failed);
        return;
    }
    releaseReservation(CallResult::Answered);
    if (caller_)
        caller_->send(response);
    ++proxy_.counters_.completed;
    finish();
}

void Exchange::onConnectionFailure(ConnectionFailure reason)
{
    auto self = shared_from_this();
    hasConnectionFailed_ = true;
    endAttempt(reason == ConnectionFailure::NotSent ? AttemptOutcome::NotSent : AttemptOutcome::Lost);
}

} // namespace arbutus::forwarding
