#pragma once

#include "include/forwarding/EventSplitter.h"
#include "include/forwarding/ReverseProxy.h"
#include "include/routing/RepeatCharges.h"

#include <optional>
#include <set>
#include <string>

namespace arbutus::forwarding {

// Handles one caller's request from arrival to response, with one attempt at a time.
// A request that is not repeatable is retried only if it certainly has not run. A
// resumable stream continues at another upstream after the last event that was sent to
// the caller.
class Exchange final : public http1::ActiveRequest, private ResponseListener, public std::enable_shared_from_this<Exchange> {
public:
    // `handover` is set if another entry VM has handed the request over.
    Exchange(ReverseProxy&, std::shared_ptr<http1::ServerConnection>, http1::Request, std::optional<HandoverMark> handover);
    ~Exchange() override;

    void start();
    void tick(base::TimePoint now);
    // Ends the request because this VM stops: answers it, or breaks off what it has begun.
    void endForStop();
    bool isFinished() const { return isFinished_; }
    // Whether an upstream has had the request, and has sent nothing for it, since `since`.
    bool isWaitingForUpstreamSince(base::TimePoint since) const { return connection_ && !handoverPeer_ && progressAt_ <= since; }

private:
    // Why an attempt ended without a usable response.
    enum class AttemptOutcome {
        // No byte of the request was sent.
        NotSent,
        // The upstream stated that it has not run the request.
        NotRun,
        // The response was lost or truncated; the request may have run.
        Lost,
        // The upstream responded with a server error.
        Failed,
        // The response made no progress for too long.
        Stalled,
        // Taken back before an answer began, because its prompt may crash the upstream.
        Withdrawn,
    };

    // Which kind of response body has been started to the caller. Another attempt can
    // continue a stream of events, but not a plain body.
    enum class RelayMode {
        None,
        Events,
        Plain,
    };

    void onCallerDisconnected() override;
    void onDrained() override;
    void onConnectionEstablished() override;
    ResponseMatch onMatchResponse(const http1::ResponseHead&) const override;
    void onObserve(const http1::ResponseHead&) override;
    void onHead(const http1::ResponseHead&) override;
    void onBody(std::string_view) override;
    void onDone() override;
    void onConnectionFailure(ConnectionFailure) override;
    std::size_t onMaxReadBytes() const override;

    // Admits the request and sends or enqueues it, once the VM has a configuration and
    // the service has upstreams, or once the wait for them is over.
    void dispatch();
    // Waits while a newly started VM lacks its configuration or upstreams. Returns false
    // if the startup queue does not accept the request or the wait has timed out.
    bool waitForStartup();
    void leaveStartupQueue();
    // Returns how long the request must wait because its prompt may crash an upstream;
    // nullopt if it may run. A stream that has begun is not held back.
    std::optional<std::chrono::milliseconds> holdTime() const;
    void refuseHeldBack(std::chrono::milliseconds holdTime);
    // Finds the route and checks the API key and the end of a planned stop.
    base::Result<void> admit();
    // Whether the request may still run when this VM, which is stopping, ends.
    bool mayOutlastStop() const;
    // Returns when the caller gets an answer at the latest.
    base::TimePoint ownDeadline() const;
    void chooseService();
    void sendOrEnqueue();
    // Counts the arrival. Refuses the request and returns false if its priority gets no
    // capacity now; streams that have begun are always admitted.
    bool passAdmission();
    // Returns whether the request may be sent again after it may have run.
    bool isRepeatable() const;
    // Chooses an upstream and starts an attempt. Returns false if none is available.
    bool trySend();
    // Returns the upstreams that this request avoids, and those that may get none now.
    std::set<std::string> unavailableUpstreams(base::TimePoint now) const;
    // Joins the wait queue for engine capacity, or for a permit of an upstream with a limit
    // of requests. Returns false if the wait would be too long.
    bool waitForCapacity(bool isResuming);
    // Waits for a permit of an upstream without a model. Only few may wait, because the
    // permits come slowly.
    bool waitForPermit(int priority, base::TimePoint now);
    void leaveWaitQueue();
    // Sends the request if it is near the front of the queue and there is capacity, or
    // fails it when its wait has timed out.
    void pollWaitQueue(base::TimePoint now);
    // Hands the request over to another entry VM. Returns false if none takes it.
    bool tryHandOver();
    bool mayHandOver() const;
    // Passes on the other entry VM's answer, which is final, or tries another way if it has
    // declined the request.
    void finishHandover();
    bool trySendAlongPath();
    bool trySendToUpstream();
    void sendTo(const net::Endpoint&);
    std::string requestHead() const;
    std::string handoverHead() const;
    std::chrono::milliseconds remainingTime() const;
    // Returns the last event that the caller has, if any.
    std::optional<std::string> lastEventId() const;
    // Closes the upstream's connection in the middle of a response and ends the attempt.
    void rejectResponse(AttemptOutcome);
    void endAttempt(AttemptOutcome);
    // Returns the start of the known process of an upstream, or 0 if it is unknown.
    std::int64_t startOf(const std::string& upstream) const;
    // Tells the crash guard that the upstreams of the attempt work.
    void reportWorkingUpstreams();
    // Tells the crash guard if the upstream ended under the request, unless events of it have
    // gone to the caller.
    void reportCrash();
    // Returns how many other requests of this VM the upstream of the attempt has.
    std::size_t countOthersAtUpstream() const;
    // Logs how far the response was, and what may have caused the loss.
    void logLoss() const;
    // Drops the connection and releases the load that was reserved for the attempt.
    void releaseReservation(routing::CallResult);
    // Obtains a permit of the retry budget for the next attempt. Returns false if there is none.
    bool reserveRepeat();
    // Tells the retry budget whether the attempt, which has ended, may still arrive.
    void settleCharge();
    // Tells the proxy if the attempt may have failed because this VM has no path to upstreams.
    void recordMiss(AttemptOutcome);
    // Makes all requests of this VM avoid the upstreams at fault for a while.
    void markSuspects(AttemptOutcome);
    // Whether the attempt, with this end, reached no upstream, also through another entry VM.
    bool hasReachedNobody(AttemptOutcome) const;
    // Returns whether another attempt is allowed, regardless of the retry budget.
    bool mayRetry(AttemptOutcome) const;
    // Starts another attempt, or waits to start it. Returns false if neither is possible.
    bool tryRetry(AttemptOutcome);
    void pollRetryBudget(base::TimePoint now);
    // Retries the request once other VMs have refuted that its prompt crashes upstreams,
    // or fails it when none has in time.
    void pollRefutation(base::TimePoint now);
    // Ends the request after its last attempt: aborts a started stream, or responds with
    // the upstream's error response or a refusal.
    void failRequest(AttemptOutcome);
    // Closes the caller's connection so that the started response looks truncated.
    void abortResponse(AttemptOutcome);
    static const char* nameOf(AttemptOutcome);
    // Whether callers take the status for a promise that the request has not run and will not.
    static bool isNotRunPromise(int status);

    // Records the limit of requests that the response names. Only a success shows that a
    // limit was lifted: a rejection may come from elsewhere on the path.
    void recordNamedLimit();
    // Returns how many bytes this exchange may hold of an answer, and how many may wait for
    // a slow caller. Little while all exchanges together hold much.
    std::size_t maxHeldBytes() const;
    // Whether reading from the upstream must wait for the caller.
    bool isCallerBehind() const;
    void countHeldBytes();
    // Drops what an attempt has brought that cannot be used.
    void dropPartialAnswer();
    void relayEvents(std::string_view);
    void sendEvents(std::string_view);
    void relayPlainBody(std::string_view);
    void beginRelay(RelayMode, std::optional<std::uint64_t> length);
    // Whether a stream whose connection has ended lacks its end.
    bool isBrokenOff() const;
    void finishPlainResponse();
    http1::Response responseFrom(const http1::ResponseHead&) const;

    // Returns when a refused caller should retry, randomized so that callers do not all
    // retry at once.
    std::chrono::milliseconds retryAfterDelay() const;
    // Returns how long the service's upstreams want no requests; nullopt if any of them
    // accepts some now or none has asked for a pause.
    std::optional<std::chrono::milliseconds> pauseOfAllUpstreams(base::TimePoint now) const;
    void refuse(const base::Error&);
    void refuse(const base::Error&, std::chrono::milliseconds retryDelay);
    void finish();
    void checkStall(base::TimePoint now);
    // Takes back a request that is waiting at an upstream while its prompt became suspected.
    void checkHeldBack();
    bool isStalled(base::TimePoint now) const;
    bool isCallStalled(std::chrono::nanoseconds silence) const;
    bool isStreamStalled(std::chrono::nanoseconds silence, base::TimePoint now) const;
    void timeOut();

    ReverseProxy& proxy_;
    std::shared_ptr<http1::ServerConnection> caller_;
    http1::Request request_;
    RequestMetadata requestMetadata_;
    std::shared_ptr<const routes::RouteTable> routeTable_;
    const routes::Route* route_ = nullptr;
    const routes::Team* team_ = nullptr;
    ServiceState* service_ = nullptr;
    // Set if the routes of the service differ in priority.
    std::optional<int> priorityClass_;
    routing::StreamSize streamSize_;
    // Identifies the request as a whole, also when its caller sends it again.
    routing::PromptPart content_ = 0;
    routing::PromptParts promptParts_;
    base::TimePoint deadline_;
    bool isFinished_ = false;

    // The current attempt.
    std::shared_ptr<UpstreamConnection> connection_;
    std::string upstreamId_;
    // The entry VM that the request is handed over to in place of an upstream.
    std::optional<net::Endpoint> handoverPeer_;
    // The process of the upstream that was known when the attempt was sent.
    std::int64_t upstreamStartedAtMilliseconds_ = 0;
    routing::LayerPath path_;
    base::TimePoint sentAt_;
    base::TimePoint progressAt_;
    std::optional<http1::ResponseHead> responseHead_;
    ResponseMetadata responseMetadata_;
    std::string bufferedBody_;
    bool isStream_ = false;
    // Whether the connection failed before the attempt was given up.
    bool hasConnectionFailed_ = false;
    // Whether the attempt has brought any event.
    bool hasEvents_ = false;
    // Whether the attempt tries if a suspected part of the prompt is harmless.
    bool isTrial_ = false;

    // Set once the request has entered the startup queue.
    std::optional<base::TimePoint> startupDeadline_;
    bool isInStartupQueue_ = false;

    // Set while the request is in the service's wait queue.
    std::optional<routing::CapacityQueue::WaiterId> waiterId_;
    base::TimePoint queueDeadline_;
    routing::RepeatCharges repeatCharges_;
    // Whether a started stream waits for the retry budget before it resumes.
    bool isAwaitingRetryBudget_ = false;
    // Set while a lost request waits for what other VMs know about its prompt.
    std::optional<base::TimePoint> refutationDeadline_;

    const std::optional<HandoverMark> handover_;
    // Counts the attempts that were made through other entry VMs, and those that did not reach
    // an upstream.
    int handoverCount_ = 0;
    int missCount_ = 0;
    std::set<net::Endpoint> avoidedPeers_;
    // Counts all attempts.
    int sendCount_ = 0;
    // Counts the attempts that may have run.
    int runCount_ = 0;
    std::set<std::string> avoidedUpstreams_;
    // A late copy of the answer to an earlier attempt has the id of this request, so it could
    // not be told from the answer to a later attempt on the same connection.
    std::set<std::uint64_t> usedConnections_;
    EventSplitter eventSplitter_;
    RelayMode relayMode_ = RelayMode::None;
    std::optional<http1::Response> failedResponse_;
    // Of what is buffered of an answer.
    http1::ByteCharge answerCharge_;
};

} // namespace arbutus::forwarding
