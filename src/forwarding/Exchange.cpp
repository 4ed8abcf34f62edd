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

// Connections to a VM without power do not fail by themselves.
static constexpr std::chrono::milliseconds connectTimeout(400);
// A stream without news for this long is checked against the other streams of its
// engines; callers leave after 2 s.
static constexpr std::chrono::milliseconds firstEventStall(900);
static constexpr std::chrono::milliseconds nextEventStall(550);
// A stream that stands still although its engines serve others goes elsewhere later.
static constexpr std::chrono::milliseconds loneStall(1500);
// A call that may be repeated is sent elsewhere after this part of its timeout.
static constexpr double safeStallShare = 0.4;
// An engine whose other streams had news within this time is at work.
static constexpr std::chrono::milliseconds recentProgress(150);
static constexpr std::chrono::milliseconds suspectAfterSilence(2000);
static constexpr std::chrono::milliseconds suspectAfterLoss(500);
static constexpr std::chrono::milliseconds suspectAfterRefusal(300);
// Sends beyond the allowed runs, where an upstream has stated that it ran nothing.
static constexpr int extraSends = 2;
// Answers up to this size are kept until they are complete, so that a broken one
// can be replaced.
static constexpr std::size_t maxKeptBody = std::size_t { 256 } << 10;
static constexpr std::size_t maxPendingToCaller = std::size_t { 256 } << 10;
// Reuse of an idle connection risks that the upstream closes it meanwhile; a call
// that cannot be repeated takes less of that risk.
static constexpr double keepAliveShareSafe = 0.8;
static constexpr double keepAliveShareUnsafe = 0.4;
// Spread of the time after which a refused caller is asked to come back.
static constexpr double comeBackSpreadMin = 0.7;
static constexpr double comeBackSpreadMax = 1.6;
// Another VM may take the request at once.
static constexpr std::chrono::milliseconds defaultComeBack(500);
// A VM without a configuration gets one when the control VMs have a leader again.
static constexpr std::chrono::milliseconds unconfiguredComeBack(2000);
static constexpr std::chrono::milliseconds longestLineWait(320);
static constexpr int resumePriority = -1;
// How many waiting requests are tried; a small one may pass a large one.
static constexpr std::size_t lineWidth = 3;

Exchange::Exchange(Gate& gate, std::shared_ptr<http1::ServerConnection> caller, http1::Request request)
    : gate_(gate)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , facts_(gate.dialect_.readRequest(request_.head))
    , table_(gate.routes_)
{
}

Exchange::~Exchange()
{
    if (connection_)
        connection_->abandon();
}

void Exchange::start()
{
    ++gate_.counters_.requests;
    begin();
}

void Exchange::begin()
{
    if (!service_) {
        table_ = gate_.routes_;
        if (!table_ && waitForStartup())
            return;
        if (auto admitted = admit(); !admitted) {
            refuse(admitted.error());
            return;
        }
        chooseService();
    }
    auto now = std::chrono::steady_clock::now();
    if (gate_.startup_.isOpen(now) && !service_->isReachable(now) && waitForStartup())
        return;
    leaveStartupQueue();
    placeFirst();
}

bool Exchange::waitForStartup()
{
    if (gate_.isStopping_)
        return false;
    if (startupDeadline_)
        return std::chrono::steady_clock::now() < *startupDeadline_;
    startupDeadline_ = gate_.startup_.join(request_.arrivedAt, facts_.patience, request_.body.size());
    isInStartupQueue_ = startupDeadline_.has_value();
    return isInStartupQueue_;
}

void Exchange::leaveStartupQueue()
{
    if (isInStartupQueue_)
        gate_.startup_.leave(request_.body.size());
    isInStartupQueue_ = false;
}

void Exchange::chooseService()
{
    const auto& name = routes::pickService(*route_, gate_.random_.unit());
    service_ = &gate_.service(name);
    service_->retries.recordRequest(request_.arrivedAt);
    auto timeout = std::min(route_->timeout, facts_.patience.value_or(route_->timeout));
    deadline_ = request_.arrivedAt + timeout;
    if (facts_.size)
        size_ = *facts_.size;
}

void Exchange::placeFirst()
{
    // Those that wait go first.
    if ((!service_->line.isEmpty() || !sendNext()) && !waitForRoom(false))
        refuse(makeError(ErrorKind::NoUpstream, "no upstream of the service has room"));
}

base::Result<void> Exchange::admit()
{
    if (!table_)
        return makeError(ErrorKind::StaleConfiguration, "this VM has no configuration yet");
    route_ = table_->match(facts_.host, request_.head.target);
    if (!route_)
        return makeError(ErrorKind::NotFound, "no route leads to this host and path");
    if (facts_.key)
        team_ = table_->teamOf(*facts_.key);
    if (table_->needsKeys() && !route_->isPublic && !team_)
        return makeError(ErrorKind::Unauthorized, "the key is missing or not known");
    bool isUnfinishable = gate_.refuseBeyond_ && (route_->kind == RequestKind::Streaming || request_.arrivedAt + route_->timeout > *gate_.refuseBeyond_);
    if (isUnfinishable)
        return makeError(ErrorKind::ShuttingDown, "this VM is shutting down");
    return base::outcome::success();
}

bool Exchange::isRepeatable() const { return route_->kind == RequestKind::Safe || (route_->kind == RequestKind::Streaming && route_->mayResume); }

bool Exchange::sendNext()
{
    return service_->paths ? choosePath() : chooseUpstream();
}

bool Exchange::waitForRoom(bool isResuming)
{
    auto now = std::chrono::steady_clock::now();
    if (!service_->paths)
        return false;
    // A stream that the caller sees already is not cut off while its caller waits for it.
    if (relay_ != Relay::None) {
        ticket_ = service_->line.rejoin();
        lineDeadline_ = deadline_;
        return true;
    }
    if (!service_->paths->hasPath(now))
        return false;
    auto priority = team_ && team_->priority ? *team_->priority : route_->priority;
    ticket_ = service_->line.join(isResuming ? resumePriority : priority, now);
    lineDeadline_ = now + longestLineWait;
    return ticket_.has_value();
}

void Exchange::leaveLine()
{
    if (ticket_)
        service_->line.leave(*ticket_);
    ticket_.reset();
}

void Exchange::tryLine(TimePoint now)
{
    if (service_->line.isNearFront(*ticket_, lineWidth) && sendNext()) {
        leaveLine();
        return;
    }
    if (now < lineDeadline_)
        return;
    leaveLine();
    giveUp(AttemptEnd::NotRun);
}

bool Exchange::choosePath()
{
    auto path = service_->paths->choose(size_, avoided_, std::chrono::steady_clock::now());
    if (!path)
        return false;
    path_ = std::move(*path);
    upstream_ = path_.front().upstream;
    service_->paths->reserve(path_, size_);
    sendTo(path_.front().endpoint);
    return true;
}

bool Exchange::chooseUpstream()
{
    auto upstream = service_->balancer->choose(avoided_, std::chrono::steady_clock::now());
    if (!upstream)
        return false;
    path_.clear();
    upstream_ = upstream->id;
    service_->balancer->started(upstream_);
    sendTo(upstream->endpoint());
    return true;
}

void Exchange::sendTo(const net::Endpoint& endpoint)
{
    sentAt_ = progressAt_ = std::chrono::steady_clock::now();
    ++sends_;
    ++runs_;
    head_.reset();
    body_.clear();
    isStream_ = false;
    events_.restart();
    connection_ = gate_.pool_.take(endpoint, isRepeatable() ? keepAliveShareSafe : keepAliveShareUnsafe, sentAt_);
    connection_->send(requestHead(), request_.body, request_.head.method == "HEAD", *this, std::min(deadline_, sentAt_ + connectTimeout));
}

std::string Exchange::requestHead() const
{
    const auto& head = request_.head;
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
    const auto* connection = head.fields.find("Connection");
    for (const auto& [name, value] : head.fields) {
        if (!http1::isHopByHopField(name, connection) && !http1::equalIgnoringCase(name, "Expect") && !gate_.dialect_.isOwnField(name))
            http1::appendField(text, name, value);
    }
    UpstreamCall call;
    call.timeLeft = std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - sentAt_));
    call.expectedUpstream = upstream_;
    if (team_)
        call.team = team_->name;
    call.path = path_;
    call.lastEventId = events_.lastId() ? events_.lastId() : facts_.lastEventId;
    gate_.dialect_.appendCall(text, call);
    if (!request_.body.empty() || head.fields.has("Content-Length") || head.fields.has("Transfer-Encoding"))
        http1::appendField(text, "Content-Length", fmt::format("{}", request_.body.size()));
    text.append("\r\n");
    return text;
}

ResponseOwner Exchange::onOwnerOf(const http1::ResponseHead& head) const
{
    auto facts = gate_.dialect_.readResponse(head);
    if (!facts.requestId)
        return ResponseOwner::Unknown;
    return *facts.requestId == facts_.requestId ? ResponseOwner::Own : ResponseOwner::Foreign;
}

void Exchange::onHead(const http1::ResponseHead& head)
{
    auto self = shared_from_this();
    responseFacts_ = gate_.dialect_.readResponse(head);
    connection_->setKeepAlive(responseFacts_.keepAlive);
    head_ = head;
    bool isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && (!responseFacts_.isSigned || responseFacts_.isEncoded)) {
        connection_->abandon();
        endAttempt(AttemptEnd::Lost);
        return;
    }
    isStream_ = isSuccess && route_->kind == RequestKind::Streaming;
}

void Exchange::onBody(std::string_view bytes)
{
    auto self = shared_from_this();
    if (isStream_)
        takeEvents(bytes);
    else
        takePlainBody(bytes);
    if (caller_ && connection_ && caller_->pendingBytes() > maxPendingToCaller)
        connection_->setReading(false);
}

void Exchange::takeEvents(std::string_view bytes)
{
    std::string events = events_.feed(bytes);
    if (events.empty())
        return;
    progressAt_ = std::chrono::steady_clock::now();
    for (const auto& stage : path_)
        *stage.progressAt = progressAt_;
    if (!caller_)
        return;
    if (relay_ == Relay::None)
        beginRelay(Relay::Events, std::nullopt);
    caller_->sendBody(events);
}

void Exchange::takePlainBody(std::string_view bytes)
{
    progressAt_ = std::chrono::steady_clock::now();
    if (relay_ == Relay::Plain) {
        if (caller_)
            caller_->sendBody(bytes);
        return;
    }
    body_.append(bytes);
    bool isUsable = head_->status >= 200 && head_->status < 300;
    if (body_.size() <= maxKeptBody || !isUsable || !caller_)
        return;
    beginRelay(Relay::Plain, head_->contentLength);
    caller_->sendBody(body_);
    body_.clear();
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

void Exchange::beginRelay(Relay relay, std::optional<std::uint64_t> length)
{
    relay_ = relay;
    caller_->beginResponse(responseFrom(*head_), length);
}

void Exchange::onDone()
{
    auto self = shared_from_this();
    if (!isStream_) {
        completePlain();
        return;
    }
    releaseChoice(CallResult::Answered);
    if (caller_) {
        if (relay_ == Relay::None)
            beginRelay(Relay::Events, std::nullopt);
        caller_->sendBody(events_.takePartial());
        caller_->finishResponse();
    }
    ++gate_.counters_.answered;
    finish();
}

void Exchange::completePlain()
{
    if (relay_ == Relay::Plain) {
        releaseChoice(CallResult::Answered);
        if (caller_)
            caller_->finishResponse();
        ++gate_.counters_.answered;
        finish();
        return;
    }
    if (responseFacts_.isNotRun) {
        endAttempt(AttemptEnd::NotRun);
        return;
    }
    // A stream that has begun goes on with events or is cut off, whatever else comes.
    if (relay_ == Relay::Events) {
        endAttempt(AttemptEnd::Failed);
        return;
    }
    auto answer = responseFrom(*head_);
    answer.body = std::move(body_);
    if (head_->status >= 500) {
        failedAnswer_ = std::move(answer);
        endAttempt(AttemptEnd::Failed);
        return;
    }
    releaseChoice(CallResult::Answered);
    if (caller_)
        caller_->send(answer);
    ++gate_.counters_.answered;
    finish();
}

void Exchange::onBroken(Break reason)
{
    auto self = shared_from_this();
    endAttempt(reason == Break::NotSent ? AttemptEnd::NotSent : AttemptEnd::Lost);
}

void Exchange::releaseChoice(CallResult result)
{
    connection_.reset();
    if (!path_.empty()) {
        service_->paths->release(path_, size_);
        service_->line.recordEnd(std::chrono::steady_clock::now());
    } else if (service_->balancer && !upstream_.empty())
        service_->balancer->finished(upstream_, result, std::chrono::steady_clock::now() - sentAt_);
}

// Which upstreams are avoided for a while, by everyone on this VM.
void Exchange::suspectAfter(AttemptEnd end)
{
    auto now = std::chrono::steady_clock::now();
    if (path_.empty()) {
        if (end == AttemptEnd::NotSent || end == AttemptEnd::Stalled)
            service_->balancer->suspect(upstream_, now + suspectAfterSilence);
        return;
    }
    if (responseFacts_.faultyAddress && end == AttemptEnd::NotRun) {
        for (const auto& stage : path_) {
            if (stage.endpoint.text() == *responseFacts_.faultyAddress)
                service_->paths->suspect(stage.upstream, now + suspectAfterRefusal);
        }
        return;
    }
    if (end == AttemptEnd::NotRun || end == AttemptEnd::Failed) {
        service_->paths->suspect(upstream_, now + suspectAfterRefusal);
        return;
    }
    if (end == AttemptEnd::NotSent) {
        service_->paths->suspect(upstream_, now + suspectAfterSilence);
        return;
    }
    auto length = end == AttemptEnd::Stalled ? suspectAfterSilence : suspectAfterLoss;
    for (const auto& stage : path_) {
        if (*stage.progressAt + recentProgress < now)
            service_->paths->suspect(stage.upstream, now + length);
    }
}

bool Exchange::mayTryAgain(AttemptEnd end) const
{
    bool isCertainlyNotRun = end == AttemptEnd::NotSent || end == AttemptEnd::NotRun;
    if (!caller_ || (!isCertainlyNotRun && !isRepeatable()))
        return false;
    if (runs_ >= route_->maxAttempts || sends_ >= route_->maxAttempts + extraSends)
        return false;
    return std::chrono::steady_clock::now() < deadline_;
}

// Sends the request again or waits for it; returns false if neither is possible.
bool Exchange::tryAgain(AttemptEnd end)
{
    if (!mayTryAgain(end))
        return false;
    // What has not arrived anywhere does not count as a retry; a stall has been
    // counted when it was found.
    bool isCounted = end != AttemptEnd::NotSent && end != AttemptEnd::Stalled;
    if (!isCounted || service_->retries.tryTake(std::chrono::steady_clock::now()))
        return sendNext() || waitForRoom(true);
    // A stream that the caller sees already waits for the allowance outside of the
    // line, where it would hold up those that need no retry.
    isRetryDue_ = relay_ != Relay::None;
    return isRetryDue_;
}

void Exchange::awaitRetry(TimePoint now)
{
    bool isOver = now >= deadline_;
    if (!isOver && !service_->retries.tryTake(now))
        return;
    isRetryDue_ = false;
    if (isOver || (!sendNext() && !waitForRoom(true)))
        giveUp(AttemptEnd::NotRun);
}

void Exchange::endAttempt(AttemptEnd end)
{
    static constexpr std::array<CallResult, 5> results { CallResult::Lost, CallResult::Refused, CallResult::Lost, CallResult::Failed, CallResult::Lost };
    static constexpr std::array<const char*, 5> names { "not sent", "not run", "lost", "failed", "stalled" };
    if (end == AttemptEnd::NotSent || end == AttemptEnd::NotRun)
        --runs_;
    suspectAfter(end);
    logger.debug("An attempt ended without an answer.", { { "request", facts_.requestId }, { "upstream", upstream_ }, { "end", names[static_cast<std::size_t>(end)] }, { "sends", sends_ } });
    releaseChoice(results[static_cast<std::size_t>(end)]);
    // An engine that has no room now may have some later; it is only suspected.
    if (path_.empty() || end != AttemptEnd::NotRun)
        avoided_.insert(upstream_);
    bool wasRelaying = relay_ != Relay::None;
    if (tryAgain(end)) {
        ++gate_.counters_.retries;
        gate_.counters_.resumes += wasRelaying ? 1 : 0;
        return;
    }
    giveUp(end);
}

void Exchange::giveUp(AttemptEnd end)
{
    if (!caller_) {
        finish();
        return;
    }
    if (relay_ != Relay::None) {
        logger.info("A stream was cut off.", { { "request", facts_.requestId }, { "last", events_.lastId().value_or("") } });
        ++gate_.counters_.failed;
        caller_->abortResponse();
        finish();
        return;
    }
    if (failedAnswer_) {
        caller_->send(*failedAnswer_);
        ++gate_.counters_.answered;
        finish();
        return;
    }
    if (!runs_)
        refuse(makeError(ErrorKind::NoUpstream, sends_ ? "no upstream took the request" : "no upstream of the service has room"));
    else
        refuse(makeError(end == AttemptEnd::Stalled ? ErrorKind::RequestTimeout : ErrorKind::UpstreamFailed, "the answer of the upstream was lost"));
}

std::chrono::milliseconds Exchange::comeBackAfter() const
{
    auto expected = table_ ? defaultComeBack : unconfiguredComeBack;
    if (service_)
        expected = service_->line.comeBackAfter(std::chrono::steady_clock::now());
    return std::chrono::duration_cast<std::chrono::milliseconds>(expected * gate_.random_.between(comeBackSpreadMin, comeBackSpreadMax));
}

void Exchange::refuse(const base::Error& error)
{
    const auto& rule = base::errorRule(error.kind);
    bool isNotRun = rule.statement == base::RunStatement::NotRun;
    ++(isNotRun ? gate_.counters_.refused : gate_.counters_.failed);
    std::optional<std::chrono::milliseconds> retryAfter;
    if (isNotRun && rule.mayResend)
        retryAfter = comeBackAfter();
    logger.info("A request was not answered.", { { "request", facts_.requestId }, { "kind", rule.name }, { "reason", error.detail }, { "sends", sends_ } });
    if (caller_)
        caller_->send(problemResponse(error, retryAfter));
    finish();
}

void Exchange::finish()
{
    isFinished_ = true;
    caller_.reset();
    leaveLine();
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
    ++gate_.counters_.callersLeft;
    caller_.reset();
    // A call that may not be repeated is not broken off: it may have begun to run.
    if (connection_ && !isRepeatable())
        return;
    if (connection_) {
        connection_->abandon();
        releaseChoice(CallResult::Abandoned);
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
        begin();
        return;
    }
    if (ticket_) {
        tryLine(now);
        return;
    }
    if (isRetryDue_) {
        awaitRetry(now);
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
    releaseChoice(CallResult::Lost);
    if (relay_ != Relay::None && caller_) {
        ++gate_.counters_.failed;
        caller_->abortResponse();
        finish();
        return;
    }
    refuse(makeError(ErrorKind::RequestTimeout, "the deadline passed while the upstream was at work"));
}

void Exchange::checkStall(TimePoint now)
{
    if (!isRepeatable() || runs_ >= route_->maxAttempts)
        return;
    auto silence = now - progressAt_;
    bool isStalled = path_.empty() ? isCallStalled(silence) : isStreamStalled(silence, now);
    if (!isStalled)
        return;
    if (!service_->retries.tryTake(now))
        return;
    connection_->abandon();
    for (const auto& stage : path_)
        avoided_.insert(stage.upstream);
    endAttempt(AttemptEnd::Stalled);
}

bool Exchange::isCallStalled(std::chrono::nanoseconds silence) const
{
    return relay_ == Relay::None && silence >= safeStallShare * route_->timeout;
}

bool Exchange::isStreamStalled(std::chrono::nanoseconds silence, TimePoint now) const
{
    if (silence < (events_.hasDelivered() ? nextEventStall : firstEventStall))
        return false;
    bool isAnySilent = std::any_of(path_.begin(), path_.end(), [this](const routing::PathStage& stage) { return *stage.progressAt <= progressAt_; });
    if (!isAnySilent && silence < loneStall)
        return false;
    // Silence alone is no reason to end an attempt: its engines may go on.
    auto avoided = avoided_;
    for (const auto& stage : path_)
        avoided.insert(stage.upstream);
    return service_->paths->choose(size_, avoided, now).has_value();
}

} // namespace arbutus::forwarding
