#include "src/forwarding/Exchange.h"

#include "include/base/Logger.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace arbutus::forwarding {

using base::ErrorKind;
using base::makeError;
using base::TimePoint;
using routes::RequestKind;
using routing::CallResult;

static constexpr base::Logger logger("gate");

// Connecting to a powered-off VM gets no reply and would not fail by itself.
static constexpr std::chrono::milliseconds connectTimeout(400);
// After this silence, a stream counts as stalled if one of its engines makes no progress
// with other streams either. Callers disconnect after 2 s.
static constexpr std::chrono::milliseconds firstEventStallTimeout(900);
static constexpr std::chrono::milliseconds nextEventStallTimeout(550);
// Applies instead while all engines of the stream make progress with other streams.
static constexpr std::chrono::milliseconds isolatedStallTimeout(1500);
// A repeatable call is retried at another upstream after this fraction of its timeout.
static constexpr double repeatableStallFraction = 0.4;
// An engine that made progress with any stream within this time counts as working.
static constexpr std::chrono::milliseconds recentProgressWindow(150);
// How long all requests avoid an upstream after silence, a lost response or a refusal.
static constexpr std::chrono::milliseconds silenceSuspectDuration(2000);
static constexpr std::chrono::milliseconds lossSuspectDuration(500);
static constexpr std::chrono::milliseconds refusalSuspectDuration(300);
// Attempts allowed beyond the route's limit if earlier ones certainly did not run.
static constexpr int maxExtraSends = 2;
// Responses up to this size are buffered until they are complete, so that the request
// can still be retried if the response is truncated.
static constexpr std::size_t maxBufferedBodyBytes = std::size_t { 256 } << 10;
// A longer event belongs to no response.
static constexpr std::size_t maxPartialEventBytes = std::size_t { 256 } << 10;
// Backpressure: reading from the upstream pauses while more is pending to the caller.
static constexpr std::size_t maxPendingCallerBytes = std::size_t { 256 } << 10;
// Largest idle time of a reused connection, as a fraction of the upstream's keep-alive
// time. The upstream may close an idle connection just as a request is sent on it, so
// requests that cannot be repeated use a smaller fraction.
static constexpr double repeatableKeepAliveFraction = 0.8;
static constexpr double unrepeatableKeepAliveFraction = 0.4;
// Range of the random factor on the Retry-After delay.
static constexpr double retryAfterSpreadMin = 0.7;
static constexpr double retryAfterSpreadMax = 1.6;
// Short, because another VM may accept the request immediately.
static constexpr std::chrono::milliseconds defaultRetryAfter(500);
// A VM without a configuration gets one only after the control VMs have elected a leader.
static constexpr std::chrono::milliseconds unconfiguredRetryAfter(2000);
// Limits the actual wait. The queue admits a request only if it expects a shorter wait.
static constexpr std::chrono::milliseconds maxQueueWait(320);
// Retries go ahead of new requests, whose most urgent priority is 0.
static constexpr int resumedRequestPriority = -1;
// How many requests at the front of the queue are tried, so that a small request can
// overtake a large one that does not fit.
static constexpr std::size_t queueLookahead = 3;

Exchange::Exchange(ReverseProxy& proxy, std::shared_ptr<http1::ServerConnection> caller, http1::Request request)
    : proxy_(proxy)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , requestMetadata_(proxy.headerCodec_.readRequest(request_.head))
    , routeTable_(proxy.routes_)
{
}

Exchange::~Exchange()
{
    if (connection_)
        connection_->abandon();
}

void Exchange::start()
{
    ++proxy_.counters_.requests;
    dispatch();
}

void Exchange::dispatch()
{
    if (!service_) {
        routeTable_ = proxy_.routes_;
        if (!routeTable_ && waitForStartup())
            return;
        if (auto admitted = admit(); !admitted) {
            refuse(admitted.error());
            return;
        }
        chooseService();
    }
    auto now = std::chrono::steady_clock::now();
    if (proxy_.startupQueue_.isOpen(now) && !service_->isReachable(now) && waitForStartup())
        return;
    leaveStartupQueue();
    sendOrEnqueue();
}

bool Exchange::waitForStartup()
{
    if (proxy_.isStopping_)
        return false;
    if (startupDeadline_)
        return std::chrono::steady_clock::now() < *startupDeadline_;
    startupDeadline_ = proxy_.startupQueue_.tryAdmit(request_.arrivedAt, requestMetadata_.callerTimeout, request_.body.size());
    isInStartupQueue_ = startupDeadline_.has_value();
    return isInStartupQueue_;
}

void Exchange::leaveStartupQueue()
{
    if (isInStartupQueue_)
        proxy_.startupQueue_.release(request_.body.size());
    isInStartupQueue_ = false;
}

void Exchange::chooseService()
{
    const auto& name = routes::pickService(*route_, proxy_.random_.unit());
    service_ = &proxy_.service(name);
    service_->retryBudget.recordRequest(request_.arrivedAt);
    auto timeout = std::min(route_->timeout, requestMetadata_.callerTimeout.value_or(route_->timeout));
    deadline_ = request_.arrivedAt + timeout;
    if (requestMetadata_.size)
        streamSize_ = *requestMetadata_.size;
}

void Exchange::sendOrEnqueue()
{
    // Requests that already wait take precedence.
    if ((!service_->waitQueue.isEmpty() || !trySend()) && !waitForCapacity(false))
        refuse(makeError(ErrorKind::NoUpstream, "no upstream of the service has capacity"));
}

base::Result<void> Exchange::admit()
{
    if (!routeTable_)
        return makeError(ErrorKind::StaleConfiguration, "this VM has no configuration yet");
    route_ = routeTable_->match(requestMetadata_.host, request_.head.target);
    if (!route_)
        return makeError(ErrorKind::NotFound, "no route matches this host and path");
    if (requestMetadata_.apiKey)
        team_ = routeTable_->teamOf(*requestMetadata_.apiKey);
    if (routeTable_->needsKeys() && !route_->isPublic && !team_)
        return makeError(ErrorKind::Unauthorized, "the API key is missing or unknown");
    bool exceedsDrainDeadline = proxy_.drainDeadline_ && (route_->kind == RequestKind::Streaming || request_.arrivedAt + route_->timeout > *proxy_.drainDeadline_);
    if (exceedsDrainDeadline)
        return makeError(ErrorKind::ShuttingDown, "this VM is shutting down");
    return base::outcome::success();
}

bool Exchange::isRepeatable() const { return route_->kind == RequestKind::Safe || (route_->kind == RequestKind::Streaming && route_->mayResume); }

bool Exchange::trySend()
{
    return service_->pathSelector ? trySendAlongPath() : trySendToUpstream();
}

bool Exchange::waitForCapacity(bool isResuming)
{
    auto now = std::chrono::steady_clock::now();
    if (!service_->pathSelector)
        return false;
    // A stream that has started may wait until its deadline, because a refusal would
    // truncate it.
    if (relayMode_ != RelayMode::None) {
        waiterId_ = service_->waitQueue.enqueueStarted();
        queueDeadline_ = deadline_;
        return true;
    }
    if (!service_->pathSelector->hasPath(now))
        return false;
    auto priority = team_ && team_->priority ? *team_->priority : route_->priority;
    waiterId_ = service_->waitQueue.tryEnqueue(isResuming ? resumedRequestPriority : priority, now);
    queueDeadline_ = now + maxQueueWait;
    return waiterId_.has_value();
}

void Exchange::leaveWaitQueue()
{
    if (waiterId_)
        service_->waitQueue.remove(*waiterId_);
    waiterId_.reset();
}

void Exchange::pollWaitQueue(TimePoint now)
{
    if (service_->waitQueue.isAmongFirst(*waiterId_, queueLookahead) && trySend()) {
        leaveWaitQueue();
        return;
    }
    if (now < queueDeadline_)
        return;
    leaveWaitQueue();
    failRequest(AttemptOutcome::NotRun);
}

bool Exchange::trySendAlongPath()
{
    auto path = service_->pathSelector->choose(streamSize_, avoidedUpstreams_, std::chrono::steady_clock::now());
    if (!path)
        return false;
    path_ = std::move(*path);
    upstreamId_ = path_.front().upstream;
    service_->pathSelector->reserve(path_, streamSize_);
    sendTo(path_.front().endpoint);
    return true;
}

bool Exchange::trySendToUpstream()
{
    auto upstream = service_->balancer->choose(avoidedUpstreams_, std::chrono::steady_clock::now());
    if (!upstream)
        return false;
    path_.clear();
    upstreamId_ = upstream->id;
    service_->balancer->callStarted(upstreamId_);
    sendTo(upstream->endpoint());
    return true;
}

void Exchange::sendTo(const net::Endpoint& endpoint)
{
    sentAt_ = progressAt_ = std::chrono::steady_clock::now();
    ++sendCount_;
    ++runCount_;
    responseHead_.reset();
    bufferedBody_.clear();
    isStream_ = false;
    eventSplitter_.discardPartial();
    connection_ = proxy_.pool_.acquire(endpoint, isRepeatable() ? repeatableKeepAliveFraction : unrepeatableKeepAliveFraction, sentAt_);
    connection_->send(requestHead(), request_.body, request_.head.method == "HEAD", *this, std::min(deadline_, sentAt_ + connectTimeout));
}

std::string Exchange::requestHead() const
{
    const auto& head = request_.head;
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
    const auto* connection = head.fields.find("Connection");
    for (const auto& [name, value] : head.fields) {
        if (!http1::isHopByHopField(name, connection) && !http1::equalIgnoringCase(name, "Expect") && !proxy_.headerCodec_.isManagedField(name))
            http1::appendField(text, name, value);
    }
    UpstreamCall call;
    call.remainingTime = std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - sentAt_));
    call.expectedUpstream = upstreamId_;
    if (team_)
        call.team = team_->name;
    call.path = path_;
    call.lastEventId = eventSplitter_.lastEventId() ? eventSplitter_.lastEventId() : requestMetadata_.lastEventId;
    proxy_.headerCodec_.appendCallFields(text, call);
    if (!request_.body.empty() || head.fields.has("Content-Length") || head.fields.has("Transfer-Encoding"))
        http1::appendField(text, "Content-Length", fmt::format("{}", request_.body.size()));
    text.append("\r\n");
    return text;
}

ResponseMatch Exchange::onMatchResponse(const http1::ResponseHead& head) const
{
    auto metadata = proxy_.headerCodec_.readResponse(head);
    if (!metadata.requestId)
        return ResponseMatch::Unknown;
    return *metadata.requestId == requestMetadata_.requestId ? ResponseMatch::Current : ResponseMatch::Stale;
}

void Exchange::onHead(const http1::ResponseHead& head)
{
    auto self = shared_from_this();
    responseMetadata_ = proxy_.headerCodec_.readResponse(head);
    connection_->setKeepAlive(responseMetadata_.keepAlive);
    responseHead_ = head;
    bool isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && (!responseMetadata_.isSigned || responseMetadata_.isEncoded)) {
        rejectResponse(AttemptOutcome::Lost);
        return;
    }
    isStream_ = isSuccess && route_->kind == RequestKind::Streaming;
}

void Exchange::onBody(std::string_view bytes)
{
    auto self = shared_from_this();
    if (isStream_)
        relayEvents(bytes);
    else
        relayPlainBody(bytes);
    if (caller_ && connection_ && caller_->pendingBytes() > maxPendingCallerBytes)
        connection_->setReading(false);
}

void Exchange::relayEvents(std::string_view bytes)
{
    if (std::string events = eventSplitter_.feed(bytes); !events.empty())
        sendEvents(events);
    if (eventSplitter_.partialBytes() > maxPartialEventBytes)
        rejectResponse(AttemptOutcome::Lost);
}

void Exchange::sendEvents(std::string_view events)
{
    progressAt_ = std::chrono::steady_clock::now();
    for (const auto& stage : path_)
        *stage.progressAt = progressAt_;
    if (!caller_)
        return;
    if (relayMode_ == RelayMode::None)
        beginRelay(RelayMode::Events, std::nullopt);
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
    if (bufferedBody_.size() <= maxBufferedBodyBytes)
        return;
    bool isUsable = responseHead_->status >= 200 && responseHead_->status < 300;
    if (!isUsable) {
        rejectResponse(responseMetadata_.isNotRun ? AttemptOutcome::NotRun : AttemptOutcome::Lost);
        return;
    }
    beginRelay(RelayMode::Plain, responseHead_->contentLength);
    caller_->sendBody(bufferedBody_);
    bufferedBody_.clear();
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

void Exchange::onDone()
{
    auto self = shared_from_this();
    if (!isStream_) {
        finishPlainResponse();
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
    endAttempt(reason == ConnectionFailure::NotSent ? AttemptOutcome::NotSent : AttemptOutcome::Lost);
}

void Exchange::releaseReservation(CallResult result)
{
    connection_.reset();
    if (!path_.empty()) {
        service_->pathSelector->release(path_, streamSize_);
        service_->waitQueue.recordCompletion(std::chrono::steady_clock::now());
    } else if (service_->balancer && !upstreamId_.empty())
        service_->balancer->callFinished(upstreamId_, result, std::chrono::steady_clock::now() - sentAt_);
}

void Exchange::markSuspects(AttemptOutcome outcome)
{
    auto now = std::chrono::steady_clock::now();
    if (path_.empty()) {
        if (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Stalled)
            service_->balancer->markSuspect(upstreamId_, now + silenceSuspectDuration);
        return;
    }
    if (responseMetadata_.faultyEngineAddress && outcome == AttemptOutcome::NotRun) {
        for (const auto& stage : path_) {
            if (stage.endpoint.text() == *responseMetadata_.faultyEngineAddress)
                service_->pathSelector->markSuspect(stage.upstream, now + refusalSuspectDuration);
        }
        return;
    }
    if (outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::Failed) {
        service_->pathSelector->markSuspect(upstreamId_, now + refusalSuspectDuration);
        return;
    }
    if (outcome == AttemptOutcome::NotSent) {
        service_->pathSelector->markSuspect(upstreamId_, now + silenceSuspectDuration);
        return;
    }
    auto duration = outcome == AttemptOutcome::Stalled ? silenceSuspectDuration : lossSuspectDuration;
    for (const auto& stage : path_) {
        if (*stage.progressAt + recentProgressWindow < now)
            service_->pathSelector->markSuspect(stage.upstream, now + duration);
    }
}

bool Exchange::mayRetry(AttemptOutcome outcome) const
{
    bool isCertainlyNotRun = outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NotRun;
    if (!caller_ || (!isCertainlyNotRun && !isRepeatable()))
        return false;
    // A stream that has started cannot be refused any more, so refusals do not end it.
    bool isSendLimited = !isCertainlyNotRun || relayMode_ == RelayMode::None;
    if (runCount_ >= route_->maxAttempts || (isSendLimited && sendCount_ >= route_->maxAttempts + maxExtraSends))
        return false;
    return std::chrono::steady_clock::now() < deadline_;
}

bool Exchange::tryRetry(AttemptOutcome outcome)
{
    if (!mayRetry(outcome))
        return false;
    // An attempt that reached no upstream does not count as a retry. checkStall() has
    // already charged the retry budget for a stall.
    bool isCounted = outcome != AttemptOutcome::NotSent && outcome != AttemptOutcome::Stalled;
    if (!isCounted || service_->retryBudget.tryAcquire(std::chrono::steady_clock::now()))
        return trySend() || waitForCapacity(true);
    // A started stream waits for the retry budget outside the wait queue, where it would
    // block requests that need no retry.
    isAwaitingRetryBudget_ = relayMode_ != RelayMode::None;
    return isAwaitingRetryBudget_;
}

void Exchange::pollRetryBudget(TimePoint now)
{
    bool isOver = now >= deadline_;
    if (!isOver && !service_->retryBudget.tryAcquire(now))
        return;
    isAwaitingRetryBudget_ = false;
    if (isOver || (!trySend() && !waitForCapacity(true)))
        failRequest(AttemptOutcome::NotRun);
}

void Exchange::endAttempt(AttemptOutcome outcome)
{
    static constexpr std::array<CallResult, 5> results { CallResult::Lost, CallResult::NotRun, CallResult::Lost, CallResult::Failed, CallResult::Lost };
    static constexpr std::array<const char*, 5> names { "not sent", "not run", "lost", "failed", "stalled" };
    if (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NotRun)
        --runCount_;
    markSuspects(outcome);
    logger.debug("An attempt ended without a usable response.", { { "request", requestMetadata_.requestId }, { "upstream", upstreamId_ }, { "end", names[static_cast<std::size_t>(outcome)] }, { "sends", sendCount_ } });
    releaseReservation(results[static_cast<std::size_t>(outcome)]);
    // An engine without capacity may have some soon, so it is suspected for a short time
    // but not avoided for the rest of the request.
    if (path_.empty() || outcome != AttemptOutcome::NotRun)
        avoidedUpstreams_.insert(upstreamId_);
    bool wasRelaying = relayMode_ != RelayMode::None;
    if (tryRetry(outcome)) {
        ++proxy_.counters_.retries;
        proxy_.counters_.resumes += wasRelaying ? 1 : 0;
        return;
    }
    failRequest(outcome);
}

void Exchange::failRequest(AttemptOutcome outcome)
{
    if (!caller_) {
        finish();
        return;
    }
    if (relayMode_ != RelayMode::None) {
        logger.info("A stream was aborted before its end.", { { "request", requestMetadata_.requestId }, { "last", eventSplitter_.lastEventId().value_or("") } });
        ++proxy_.counters_.failed;
        caller_->abortResponse();
        finish();
        return;
    }
    if (failedResponse_) {
        caller_->send(*failedResponse_);
        ++proxy_.counters_.completed;
        finish();
        return;
    }
    if (!runCount_)
        refuse(makeError(ErrorKind::NoUpstream, sendCount_ ? "no upstream accepted the request" : "no upstream of the service has capacity"));
    else
        refuse(makeError(outcome == AttemptOutcome::Stalled ? ErrorKind::RequestTimeout : ErrorKind::UpstreamFailed, "the response of the upstream was lost"));
}

std::chrono::milliseconds Exchange::retryAfterDelay() const
{
    auto expected = routeTable_ ? defaultRetryAfter : unconfiguredRetryAfter;
    if (service_)
        expected = service_->waitQueue.suggestedRetryDelay(std::chrono::steady_clock::now());
    return std::chrono::duration_cast<std::chrono::milliseconds>(expected * proxy_.random_.between(retryAfterSpreadMin, retryAfterSpreadMax));
}

void Exchange::refuse(const base::Error& error)
{
    const auto& rule = base::errorRule(error.kind);
    bool isNotRun = rule.executionStatus == base::ExecutionStatus::NotRun;
    ++(isNotRun ? proxy_.counters_.refused : proxy_.counters_.failed);
    std::optional<std::chrono::milliseconds> retryAfter;
    if (isNotRun && rule.mayResend)
        retryAfter = retryAfterDelay();
    logger.info("A request was refused or failed.", { { "request", requestMetadata_.requestId }, { "kind", rule.name }, { "reason", error.detail }, { "sends", sendCount_ } });
    if (caller_)
        caller_->send(problemResponse(error, retryAfter));
    finish();
}

void Exchange::finish()
{
    isFinished_ = true;
    caller_.reset();
    leaveWaitQueue();
    leaveStartupQueue();
    if (connection_) {
        connection_->abandon();
        connection_.reset();
    }
}

void Exchange::onCallerDisconnected()
{
    auto self = shared_from_this();
    if (isFinished_)
        return;
    ++proxy_.counters_.callerDisconnects;
    caller_.reset();
    // A call that is not repeatable may already run, so it is not cancelled.
    if (connection_ && !isRepeatable())
        return;
    if (connection_) {
        connection_->abandon();
        releaseReservation(CallResult::Cancelled);
    }
    finish();
}

void Exchange::onDrained()
{
    if (connection_)
        connection_->setReading(true);
}

void Exchange::tick(TimePoint now)
{
    auto self = shared_from_this();
    if (isFinished_)
        return;
    if (isInStartupQueue_) {
        dispatch();
        return;
    }
    if (waiterId_) {
        pollWaitQueue(now);
        return;
    }
    if (isAwaitingRetryBudget_) {
        pollRetryBudget(now);
        return;
    }
    if (!connection_)
        return;
    if (now >= deadline_) {
        timeOut();
        return;
    }
    connection_->checkTimeout(now);
    if (!isFinished_ && connection_)
        checkStall(now);
}

void Exchange::timeOut()
{
    connection_->abandon();
    releaseReservation(CallResult::Lost);
    if (relayMode_ != RelayMode::None && caller_) {
        ++proxy_.counters_.failed;
        caller_->abortResponse();
        finish();
        return;
    }
    refuse(makeError(ErrorKind::RequestTimeout, "the upstream did not complete its response before the deadline"));
}

void Exchange::checkStall(TimePoint now)
{
    if (!isRepeatable() || runCount_ >= route_->maxAttempts)
        return;
    auto silence = now - progressAt_;
    bool isStalled = path_.empty() ? isCallStalled(silence) : isStreamStalled(silence, now);
    if (!isStalled)
        return;
    if (!service_->retryBudget.tryAcquire(now))
        return;
    connection_->abandon();
    for (const auto& stage : path_)
        avoidedUpstreams_.insert(stage.upstream);
    endAttempt(AttemptOutcome::Stalled);
}

bool Exchange::isCallStalled(std::chrono::nanoseconds silence) const
{
    return relayMode_ == RelayMode::None && silence >= repeatableStallFraction * route_->timeout;
}

bool Exchange::isStreamStalled(std::chrono::nanoseconds silence, TimePoint now) const
{
    if (silence < (eventSplitter_.hasDelivered() ? nextEventStallTimeout : firstEventStallTimeout))
        return false;
    bool isAnySilent = std::any_of(path_.begin(), path_.end(), [this](const routing::PathStage& stage) { return *stage.progressAt <= progressAt_; });
    if (!isAnySilent && silence < isolatedStallTimeout)
        return false;
    // The engines may still recover, so the attempt ends only if another path has capacity.
    auto avoided = avoidedUpstreams_;
    for (const auto& stage : path_)
        avoided.insert(stage.upstream);
    return service_->pathSelector->choose(streamSize_, avoided, now).has_value();
}

} // namespace arbutus::forwarding
