#include "src/forwarding/Exchange.h"

#include "include/base/Clock.h"
#include "include/base/Logger.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <functional>

namespace arbutus::forwarding {

using base::TimePoint;
using routing::CallResult;
using routing::CrashGuard;

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
// Applies while this VM reaches no upstream.
static constexpr std::chrono::milliseconds cutOffStallTimeout(200);
// An engine that made progress with any stream within this time counts as working.
static constexpr std::chrono::milliseconds recentProgressWindow(150);
// How long all requests avoid an upstream after silence, a lost response or a refusal.
static constexpr std::chrono::milliseconds silenceSuspectDuration(2000);
static constexpr std::chrono::milliseconds lossSuspectDuration(500);
static constexpr std::chrono::milliseconds refusalSuspectDuration(300);
// After so many upstreams that could not be reached, another entry VM is asked.
static constexpr int maxMisses = 2;
// Largest idle time of a reused connection, as a fraction of the upstream's keep-alive
// time. The upstream may close an idle connection just as a request is sent on it, so
// requests that cannot be repeated use a smaller fraction.
static constexpr double repeatableKeepAliveFraction = 0.8;
static constexpr double unrepeatableKeepAliveFraction = 0.4;

bool Exchange::trySend()
{
    bool isPathLost = proxy_.reachability_.isCutOff() || missCount_ >= maxMisses;
    if (isPathLost && tryHandOver())
        return true;
    if (service_->pathSelector ? trySendAlongPath() : trySendToUpstream())
        return true;
    return proxy_.reachability_.isImpaired(std::chrono::steady_clock::now()) && tryHandOver();
}

std::set<std::string> Exchange::unavailableUpstreams(TimePoint now) const
{
    auto upstreams = avoidedUpstreams_;
    service_->rateLimiter.addExhausted(upstreams, base::bootNow());
    service_->pauses.addPaused(upstreams, now);
    return upstreams;
}

bool Exchange::trySendAlongPath()
{
    auto now = std::chrono::steady_clock::now();
    auto path = service_->pathSelector->choose(streamSize_, unavailableUpstreams(now), now);
    if (!path)
        return false;
    handoverPeer_.reset();
    path_ = std::move(*path);
    upstreamId_ = path_.front().upstream;
    service_->pathSelector->reserve(path_, streamSize_);
    sendTo(path_.front().endpoint);
    return true;
}

bool Exchange::trySendToUpstream()
{
    auto now = std::chrono::steady_clock::now();
    auto upstream = service_->balancer->choose(unavailableUpstreams(now), now);
    if (!upstream)
        return false;
    handoverPeer_.reset();
    path_.clear();
    upstreamId_ = upstream->id;
    service_->balancer->callStarted(upstreamId_);
    sendTo(upstream->endpoint());
    return true;
}

void Exchange::sendTo(const net::Endpoint& endpoint)
{
    sentAt_ = progressAt_ = std::chrono::steady_clock::now();
    upstreamStartedAtMilliseconds_ = startOf(upstreamId_);
    ++sendCount_;
    ++runCount_;
    if (!handoverPeer_) {
        service_->rateLimiter.sent(upstreamId_, base::bootNow());
        isTrial_ = proxy_.crashGuard_.attemptStarted(promptParts_, sentAt_);
    }
    repeatCharges_.attemptSent(base::bootNow());
    responseHead_.reset();
    hasConnectionFailed_ = false;
    isStream_ = false;
    hasEvents_ = false;
    connection_ = proxy_.pool_.acquire(endpoint, isRepeatable() ? repeatableKeepAliveFraction : unrepeatableKeepAliveFraction, sentAt_, usedConnections_);
    usedConnections_.insert(connection_->number());
    connection_->send(handoverPeer_ ? handoverHead() : requestHead(), request_.body, request_.head.method == "HEAD", *this, std::min(deadline_, sentAt_ + connectTimeout));
}

// Returns the request line and the fields that another process gets as the caller sent them.
static std::string copiedHead(const http1::RequestHead& head, const std::function<bool(std::string_view)>& isReplaced)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
    const auto* connection = head.fields.find("Connection");
    for (const auto& [name, value] : head.fields) {
        bool isOwn = http1::isHopByHopField(name, connection) || http1::equalIgnoringCase(name, "Expect") || http1::equalIgnoringCase(name, HandoverMark::fieldName);
        if (!isOwn && !isReplaced(name))
            http1::appendField(text, name, value);
    }
    return text;
}

std::chrono::milliseconds Exchange::remainingTime() const { return std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - sentAt_)); }

std::optional<std::string> Exchange::lastEventId() const { return eventSplitter_.lastEventId() ? eventSplitter_.lastEventId() : requestMetadata_.lastEventId; }

std::string Exchange::requestHead() const
{
    const auto& head = request_.head;
    auto text = copiedHead(head, [this](std::string_view name) { return proxy_.headerCodec_.isManagedField(name); });
    UpstreamCall call;
    call.remainingTime = remainingTime();
    call.expectedUpstream = upstreamId_;
    if (team_)
        call.team = team_->name;
    if (priorityClass_)
        call.priority = relayMode_ != RelayMode::None || requestMetadata_.lastEventId ? 0 : *priorityClass_;
    call.path = path_;
    call.lastEventId = lastEventId();
    proxy_.headerCodec_.appendCallFields(text, call);
    if (!request_.body.empty() || head.fields.has("Content-Length") || head.fields.has("Transfer-Encoding"))
        http1::appendField(text, "Content-Length", fmt::format("{}", request_.body.size()));
    text.append("\r\n");
    return text;
}

std::string Exchange::handoverHead() const
{
    const auto& head = request_.head;
    auto text = copiedHead(head, [this](std::string_view name) { return proxy_.headerCodec_.isHandoverField(name); });
    proxy_.headerCodec_.appendHandoverFields(text, { remainingTime(), lastEventId() });
    // This attempt is counted already.
    http1::appendField(text, HandoverMark::fieldName, encodeHandoverMark({ runCount_ - 1 }, proxy_.options_.sharedKey, head, requestMetadata_.requestId));
    http1::appendField(text, "Content-Length", fmt::format("{}", request_.body.size()));
    text.append("\r\n");
    return text;
}

void Exchange::releaseReservation(CallResult result)
{
    connection_.reset();
    settleCharge();
    if (std::exchange(isTrial_, false))
        proxy_.crashGuard_.attemptEnded(promptParts_);
    // An upstream that rejects a request has not begun to answer it.
    if (result == CallResult::Answered && responseHead_->isSuccess())
        proxy_.crashGuard_.answerBegan(promptParts_, std::chrono::steady_clock::now());
    if (handoverPeer_) {
        proxy_.handoverPeers_.requestEnded(*handoverPeer_);
        return;
    }
    if (!path_.empty()) {
        service_->pathSelector->release(path_, streamSize_);
        service_->waitQueue.recordCompletion(std::chrono::steady_clock::now());
    } else if (service_->balancer && !upstreamId_.empty())
        service_->balancer->callFinished(upstreamId_, result, std::chrono::steady_clock::now() - sentAt_);
}

void Exchange::markSuspects(AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::Withdrawn || handoverPeer_)
        return;
    auto now = std::chrono::steady_clock::now();
    if (path_.empty()) {
        if (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Stalled)
            service_->balancer->markSuspect(upstreamId_, now + silenceSuspectDuration);
        return;
    }
    if (responseMetadata_.faultyEngineAddress && outcome == AttemptOutcome::NotRun) {
        for (const auto& stage : path_) {
            if (stage.endpoint.text() == *responseMetadata_.faultyEngineAddress) {
                service_->pathSelector->markSuspect(stage.upstream, now + refusalSuspectDuration);
                service_->pathSelector->recordRefusal(stage.upstream, now);
            }
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

const char* Exchange::nameOf(AttemptOutcome outcome)
{
    static constexpr std::array<const char*, 6> names { "not sent", "not run", "lost", "failed", "stalled", "withdrawn" };
    return names[static_cast<std::size_t>(outcome)];
}

std::int64_t Exchange::startOf(const std::string& upstream) const
{
    auto known = proxy_.knownUpstreams_.find(upstream);
    return known == proxy_.knownUpstreams_.end() ? 0 : known->second.startedAtMilliseconds;
}

void Exchange::reportWorkingUpstreams()
{
    if (handoverPeer_)
        return;
    if (path_.empty() && connection_)
        proxy_.crashGuard_.upstreamAnswered(CrashGuard::identifyCrash(upstreamId_, upstreamStartedAtMilliseconds_), sentAt_, connection_->connectedAt());
    // An engine that has started again holds no layers and cannot answer on a path.
    for (const auto& stage : path_)
        proxy_.crashGuard_.upstreamAnswered(CrashGuard::identifyCrash(stage.upstream, startOf(stage.upstream)), sentAt_, std::nullopt);
}

void Exchange::reportCrash()
{
    // A VM that is cut off loses answers of upstreams that work.
    if (handoverPeer_ || proxy_.reachability_.isImpaired(std::chrono::steady_clock::now()))
        return;
    bool hadEvents = eventSplitter_.hasDelivered() || requestMetadata_.lastEventId || relayMode_ == RelayMode::Events;
    if (hadEvents)
        return;
    bool hadBegun = responseHead_ && responseHead_->isSuccess();
    auto crash = CrashGuard::identifyCrash(upstreamId_, upstreamStartedAtMilliseconds_);
    if (hadBegun)
        proxy_.crashGuard_.upstreamCrashed(promptParts_, crash, std::chrono::steady_clock::now());
    // An engine has many requests at once, and begins to answer those that it runs.
    else if (path_.empty())
        proxy_.crashGuard_.upstreamCrashed({ content_ }, crash, std::chrono::steady_clock::now());
}

std::size_t Exchange::countOthersAtUpstream() const
{
    return static_cast<std::size_t>(std::count_if(proxy_.exchanges_.begin(), proxy_.exchanges_.end(), [this](const auto& other) { return other.get() != this && other->connection_ && other->upstreamId_ == upstreamId_; }));
}

void Exchange::logLoss() const
{
    auto sinceSent = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sentAt_);
    logger.info("The response of an upstream was lost.", { { "request", requestMetadata_.requestId }, { "content", content_ }, { "known_crashes", proxy_.crashGuard_.crashCount(content_) }, { "upstream", upstreamId_ }, { "upstream_started_at_ms", upstreamStartedAtMilliseconds_ }, { "others_there", countOthersAtUpstream() }, { "engines", path_.size() }, { "since_sent_ms", sinceSent.count() }, { "had_head", responseHead_.has_value() }, { "had_bytes", eventSplitter_.partialBytes() }, { "last", eventSplitter_.lastEventId().value_or("") }, { "parts", fmt::format("{}", fmt::join(requestMetadata_.sharedPromptParts, ",")) } });
}

// Other statuses of requests that have not run name another reason.
static bool lacksCapacity(int status) { return status == 429 || status == 503; }

void Exchange::endAttempt(AttemptOutcome outcome)
{
    static constexpr std::array<CallResult, 6> results { CallResult::Lost, CallResult::NotRun, CallResult::Lost, CallResult::Failed, CallResult::Lost, CallResult::Cancelled };
    if (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NotRun)
        --runCount_;
    recordMiss(outcome);
    markSuspects(outcome);
    if (outcome == AttemptOutcome::NotRun && !path_.empty() && !responseMetadata_.isLeaving && lacksCapacity(responseHead_->status))
        service_->demand.attemptRefused(priorityClass_.value_or(0), std::chrono::steady_clock::now());
    if (outcome == AttemptOutcome::Lost) {
        logLoss();
        reportCrash();
    }
    if (hasReachedNobody(outcome))
        repeatCharges_.attemptNotSent();
    logger.debug("An attempt ended without a usable response.", { { "request", requestMetadata_.requestId }, { "upstream", upstreamId_ }, { "end", nameOf(outcome) }, { "sends", sendCount_ } });
    releaseReservation(results[static_cast<std::size_t>(outcome)]);
    dropPartialAnswer();
    // An engine without capacity may have some soon, so it is suspected for a short time
    // but not avoided for the rest of the request.
    if (outcome != AttemptOutcome::Withdrawn && !handoverPeer_ && (path_.empty() || outcome != AttemptOutcome::NotRun))
        avoidedUpstreams_.insert(upstreamId_);
    bool wasRelaying = relayMode_ != RelayMode::None;
    if (tryRetry(outcome)) {
        ++proxy_.counters_.retries;
        proxy_.counters_.resumes += wasRelaying ? 1 : 0;
        return;
    }
    failRequest(outcome);
}

void Exchange::checkHeldBack()
{
    if (isTrial_ || responseHead_ || !isRepeatable() || !holdTime())
        return;
    connection_->abandon();
    endAttempt(AttemptOutcome::Withdrawn);
}

void Exchange::checkStall(TimePoint now)
{
    // Another entry VM watches the upstream that it has chosen.
    if (handoverPeer_ || !mayRetry(AttemptOutcome::Stalled) || !isStalled(now))
        return;
    if (!reserveRepeat())
        return;
    connection_->abandon();
    for (const auto& stage : path_)
        avoidedUpstreams_.insert(stage.upstream);
    endAttempt(AttemptOutcome::Stalled);
}

bool Exchange::isStalled(TimePoint now) const
{
    auto silence = now - progressAt_;
    if (proxy_.reachability_.isCutOff() && mayHandOver())
        return silence >= cutOffStallTimeout;
    return path_.empty() ? isCallStalled(silence) : isStreamStalled(silence, now);
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
    auto avoided = unavailableUpstreams(now);
    for (const auto& stage : path_)
        avoided.insert(stage.upstream);
    return service_->pathSelector->choose(streamSize_, avoided, now).has_value();
}

} // namespace arbutus::forwarding
