#include "src/forwarding/Exchange.h"

#include "include/base/Clock.h"
#include "include/base/Logger.h"
#include "include/base/Strings.h"

#include <algorithm>

namespace arbutus::forwarding {

using base::ErrorKind;
using base::makeError;
using base::TimePoint;
using routes::RequestKind;
using routing::CallResult;

static constexpr base::Logger logger("gate");

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

Exchange::Exchange(ReverseProxy& proxy, std::shared_ptr<http1::ServerConnection> caller, http1::Request request, std::optional<HandoverMark> handover)
    : proxy_(proxy)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , requestMetadata_(proxy.headerCodec_.readRequest(request_.head))
    , routeTable_(proxy.routes_)
    , promptParts_(routing::identifyParts(requestMetadata_.sharedPromptParts))
    , handover_(handover)
    , answerCharge_(proxy.options_.bytes, http1::HeldFor::Answers)
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
    bool mayBecomeReachable = proxy_.startupQueue_.isOpen(now) && !service_->isReachable(now) && !pauseOfAllUpstreams(now);
    if (mayBecomeReachable && waitForStartup())
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
    if (routeTable_->differsInPriority(name))
        priorityClass_ = routeTable_->priorityClass(name, routes::effectivePriority(*route_, team_));
    // The VM that the request came to first has counted it.
    if (!handover_)
        service_->retryBudget->recordRequest(base::bootNow());
    service_->rateLimiter.requestArrived(base::bootNow());
    if (service_->pathSelector && !priorityClass_)
        service_->pathSelector->requestArrived(request_.arrivedAt);
    deadline_ = ownDeadline();
    if (requestMetadata_.size)
        streamSize_ = *requestMetadata_.size;
    content_ = routing::identifyRequest({ request_.head.method, requestMetadata_.host, request_.head.target, team_ ? std::string_view(team_->name) : std::string_view(), request_.body });
    promptParts_.push_back(content_);
}

std::optional<std::chrono::milliseconds> Exchange::holdTime() const
{
    if (relayMode_ != RelayMode::None)
        return std::nullopt;
    return proxy_.crashGuard_.holdTime(promptParts_, std::chrono::steady_clock::now());
}

void Exchange::refuseHeldBack(std::chrono::milliseconds holdTime)
{
    refuse(makeError(ErrorKind::HeldBack, "the request may crash upstreams"), std::chrono::duration_cast<std::chrono::milliseconds>(holdTime * proxy_.random_.between(1, retryAfterSpreadMax)));
}

void Exchange::sendOrEnqueue()
{
    if (auto time = holdTime()) {
        refuseHeldBack(*time);
        return;
    }
    if (proxy_.reachability_.isCutOff() && tryHandOver())
        return;
    if (!passAdmission())
        return;
    // Requests that already wait take precedence.
    if ((!service_->waitQueue.isEmpty() || !trySend()) && !waitForCapacity(false))
        refuse(makeError(ErrorKind::NoUpstream, "no upstream of the service has capacity"));
}

bool Exchange::passAdmission()
{
    auto now = base::TimePoint(std::chrono::steady_clock::now());
    service_->demand.requestArrived(priorityClass_.value_or(0), now);
    if (!priorityClass_ || !service_->pathSelector)
        return true;
    bool hasBegun = requestMetadata_.lastEventId.has_value();
    if (!hasBegun && !service_->admission.tryAdmit(*priorityClass_, now)) {
        ++proxy_.counters_.refusedByPriority;
        ++service_->unloggedAdmissionRefusals;
        refuse(makeError(ErrorKind::NoUpstream, "the service has no capacity for this priority"));
        return false;
    }
    if (hasBegun)
        service_->admission.admitBegun(*priorityClass_, now);
    // The selector expects that the other entry VMs place as many streams as this one, so it
    // counts only those that are admitted.
    service_->pathSelector->requestArrived(now);
    return true;
}

base::Result<void> Exchange::admit()
{
    if (!routeTable_)
        return makeError(ErrorKind::StaleConfiguration, "this VM has no configuration yet");
    if (proxy_.mayRoutesBeOutdated_)
        return makeError(ErrorKind::StaleConfiguration, "the configuration of this VM may have been replaced");
    route_ = routeTable_->match(requestMetadata_.host, request_.head.target);
    if (!route_)
        return makeError(ErrorKind::NotFound, "no route matches this host and path");
    if (requestMetadata_.apiKey)
        team_ = routeTable_->teamOf(*requestMetadata_.apiKey);
    if (routeTable_->needsKeys() && !route_->isPublic && !team_)
        return makeError(ErrorKind::Unauthorized, "the API key is missing or unknown");
    if (mayOutlastStop())
        return makeError(ErrorKind::ShuttingDown, "this VM is shutting down");
    return base::outcome::success();
}

TimePoint Exchange::ownDeadline() const { return request_.arrivedAt + std::min(route_->timeout, requestMetadata_.callerTimeout.value_or(route_->timeout)); }

bool Exchange::mayOutlastStop() const
{
    // Most streams end long before their deadline, and one that does not goes on elsewhere.
    if (route_->kind == RequestKind::Streaming && route_->mayResume)
        return proxy_.refusesStreams_;
    return proxy_.stopDeadline_ && ownDeadline() > *proxy_.stopDeadline_;
}

bool Exchange::isRepeatable() const { return route_->kind == RequestKind::Safe || (route_->kind == RequestKind::Streaming && route_->mayResume); }

bool Exchange::waitForCapacity(bool isResuming)
{
    auto now = std::chrono::steady_clock::now();
    auto priority = priorityClass_ ? *priorityClass_ : routes::effectivePriority(*route_, team_);
    if (!service_->pathSelector)
        return waitForPermit(priority, now);
    // A stream that has started may wait until its deadline, because a refusal would
    // truncate it.
    if (relayMode_ != RelayMode::None) {
        waiterId_ = service_->waitQueue.enqueueStarted();
        queueDeadline_ = deadline_;
        return true;
    }
    if (pauseOfAllUpstreams(now) || !service_->pathSelector->hasPath({}, now))
        return false;
    waiterId_ = service_->waitQueue.tryEnqueue(isResuming ? resumedRequestPriority : priority, now);
    queueDeadline_ = now + maxQueueWait;
    return waiterId_.has_value();
}

bool Exchange::waitForPermit(int priority, TimePoint now)
{
    bool isWaitUseful = !pauseOfAllUpstreams(now) && (!service_->waitQueue.isEmpty() || service_->rateLimiter.isLimiting(base::bootNow()));
    if (!isWaitUseful || service_->waitQueue.size() >= queueLookahead)
        return false;
    waiterId_ = service_->waitQueue.enqueue(priority);
    queueDeadline_ = std::min(deadline_, now + maxQueueWait);
    return true;
}

void Exchange::leaveWaitQueue()
{
    if (waiterId_)
        service_->waitQueue.remove(*waiterId_);
    waiterId_.reset();
}

void Exchange::pollWaitQueue(TimePoint now)
{
    if (holdTime()) {
        leaveWaitQueue();
        failRequest(AttemptOutcome::NotRun);
        return;
    }
    if (service_->waitQueue.isAmongFirst(*waiterId_, queueLookahead) && trySend()) {
        leaveWaitQueue();
        return;
    }
    if (now < queueDeadline_)
        return;
    leaveWaitQueue();
    failRequest(AttemptOutcome::NotRun);
}

void Exchange::failRequest(AttemptOutcome outcome)
{
    if (!caller_) {
        finish();
        return;
    }
    if (relayMode_ != RelayMode::None) {
        abortResponse(outcome);
        return;
    }
    if (failedResponse_) {
        caller_->send(*failedResponse_);
        ++proxy_.counters_.completed;
        finish();
        return;
    }
    if (auto time = holdTime(); time && !runCount_)
        refuseHeldBack(*time);
    else if (!runCount_)
        refuse(makeError(ErrorKind::NoUpstream, sendCount_ ? "no upstream accepted the request" : "no upstream of the service has capacity"));
    else
        refuse(makeError(outcome == AttemptOutcome::Stalled ? ErrorKind::RequestTimeout : ErrorKind::UpstreamFailed, "the response of the upstream was lost"));
}

void Exchange::abortResponse(AttemptOutcome outcome)
{
    auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - std::chrono::steady_clock::now());
    logger.info("A response was aborted before its end.", { { "request", requestMetadata_.requestId }, { "last", eventSplitter_.lastEventId().value_or("") }, { "end", nameOf(outcome) }, { "sends", sendCount_ }, { "runs", runCount_ }, { "remaining_ms", remaining.count() } });
    ++proxy_.counters_.failed;
    caller_->abortResponse();
    finish();
}

std::optional<std::chrono::milliseconds> Exchange::pauseOfAllUpstreams(TimePoint now) const
{
    auto end = service_->pauses.earliestEnd(now);
    if (!end)
        return std::nullopt;
    std::set<std::string> paused;
    service_->pauses.addPaused(paused, now);
    bool isAnyUsable = service_->pathSelector ? service_->pathSelector->hasPath(paused, now) : service_->balancer->choose(paused, now).has_value();
    if (isAnyUsable)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(*end - now);
}

std::chrono::milliseconds Exchange::retryAfterDelay() const
{
    auto now = base::TimePoint(std::chrono::steady_clock::now());
    auto expected = routeTable_ ? defaultRetryAfter : unconfiguredRetryAfter;
    if (service_) {
        if (auto pause = pauseOfAllUpstreams(now))
            return std::chrono::duration_cast<std::chrono::milliseconds>(*pause * proxy_.random_.between(1, retryAfterSpreadMax));
        if (priorityClass_ && service_->admission.isLimiting(now))
            return service_->admission.retryDelay(*priorityClass_, proxy_.random_.unit());
        expected = service_->waitQueue.suggestedRetryDelay(now);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(expected * proxy_.random_.between(retryAfterSpreadMin, retryAfterSpreadMax));
}

void Exchange::refuse(const base::Error& error) { refuse(error, retryAfterDelay()); }

void Exchange::refuse(const base::Error& error, std::chrono::milliseconds retryDelay)
{
    const auto& rule = base::errorRule(error.kind);
    bool isNotRun = rule.executionStatus == base::ExecutionStatus::NotRun;
    ++(isNotRun ? proxy_.counters_.refused : proxy_.counters_.failed);
    std::optional<std::chrono::milliseconds> retryAfter;
    if (isNotRun && rule.mayResend)
        retryAfter = retryDelay;
    logger.info("A request was refused or failed.", { { "request", requestMetadata_.requestId }, { "kind", rule.name }, { "reason", error.detail }, { "sends", sendCount_ } });
    if (caller_)
        caller_->send(problemResponse(error, retryAfter));
    finish();
}

void Exchange::finish()
{
    if (!std::exchange(isFinished_, true))
        --proxy_.runningCount_;
    if (service_ && relayMode_ != RelayMode::None)
        service_->demand.streamEnded(priorityClass_.value_or(0), std::chrono::steady_clock::now());
    caller_.reset();
    answerCharge_.set(0);
    leaveWaitQueue();
    leaveStartupQueue();
    if (connection_) {
        connection_->abandon();
        connection_.reset();
    }
    if (service_)
        repeatCharges_.requestEnded(*service_->retryBudget, base::bootNow());
    base::freeString(request_.body);
    request_.charge.set(0);
}

void Exchange::onCallerDisconnected()
{
    auto self = shared_from_this();
    if (isFinished_)
        return;
    ++proxy_.counters_.callerDisconnects;
    caller_.reset();
    // An unsafe call may already run, so it is not cancelled. Nobody waits for the rest of a
    // stream.
    if (connection_ && route_->kind == RequestKind::Unsafe)
        return;
    if (connection_) {
        connection_->abandon();
        releaseReservation(CallResult::Cancelled);
    }
    finish();
}

void Exchange::onDrained()
{
    countHeldBytes();
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
    if (refutationDeadline_) {
        pollRefutation(now);
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
    if (!isFinished_ && connection_)
        checkHeldBack();
}

void Exchange::endForStop()
{
    auto self = shared_from_this();
    if (isFinished_)
        return;
    if (connection_) {
        connection_->abandon();
        releaseReservation(CallResult::Cancelled);
    }
    if (caller_ && relayMode_ == RelayMode::None && !failedResponse_) {
        refuse(runCount_ ? makeError(ErrorKind::RequestTimeout, "this VM stopped before the upstream had completed its response") : makeError(ErrorKind::ShuttingDown, "this VM is shutting down"));
        return;
    }
    failRequest(AttemptOutcome::Withdrawn);
}

void Exchange::timeOut()
{
    connection_->abandon();
    releaseReservation(CallResult::Lost);
    if (relayMode_ != RelayMode::None && caller_) {
        abortResponse(AttemptOutcome::Stalled);
        return;
    }
    refuse(makeError(ErrorKind::RequestTimeout, "the upstream did not complete its response before the deadline"));
}

} // namespace arbutus::forwarding
