#pragma once

#include "include/forwarding/EventSplitter.h"
#include "include/forwarding/ReverseProxy.h"

#include <optional>
#include <set>
#include <string>

namespace arbutus::forwarding {

// One caller's request from its arrival to its answer. It is sent to one upstream
// at a time. A request that may not be repeated is sent again only if it certainly
// has not run; a stream that may be resumed goes on at another upstream behind the
// last event that the caller has.
class Exchange final : public http1::ActiveRequest, private ResponseListener, public std::enable_shared_from_this<Exchange> {
public:
    Exchange(ReverseProxy&, std::shared_ptr<http1::ServerConnection>, http1::Request);
    ~Exchange() override;

    void start();
    void tick(base::TimePoint now);
    bool isFinished() const { return isFinished_; }

private:
    // How an attempt at an upstream ended without a usable answer.
    enum class AttemptOutcome {
        // Nothing of the request has left.
        NotSent,
        // The upstream stated that it has not run the request.
        NotRun,
        // The answer was lost or cut off; the request may have run.
        Lost,
        // The upstream answered that it failed.
        Failed,
        // The answer stopped coming.
        Stalled,
    };

    // What has been begun for the caller: a stream may go on with another attempt,
    // a plain answer may not.
    enum class RelayMode {
        None,
        Events,
        Plain,
    };

    void onCallerLeft() override;
    void onDrained() override;
    ResponseMatch onMatchResponse(const http1::ResponseHead&) const override;
    void onHead(const http1::ResponseHead&) override;
    void onBody(std::string_view) override;
    void onDone() override;
    void onConnectionFailure(ConnectionFailure) override;

    // Goes on from the arrival: as soon as there is a configuration and the service
    // has upstreams, or the wait for them is over.
    void dispatch();
    // Waits for what the VM does not know yet after its start; returns false if the
    // request must not wait, or has waited long enough.
    bool waitForStartup();
    void leaveStartupQueue();
    base::Result<void> admit();
    void chooseService();
    void sendOrEnqueue();
    bool isRepeatable() const;
    // Chooses an upstream and sends the request; returns false if there is none.
    bool trySend();
    // Waits in line for room; returns false if that would take too long.
    bool waitForCapacity(bool isResuming);
    void leaveWaitQueue();
    void pollWaitQueue(base::TimePoint now);
    bool trySendAlongPath();
    bool trySendToUpstream();
    void sendTo(const net::Endpoint&);
    std::string requestHead() const;
    void endAttempt(AttemptOutcome);
    void releaseReservation(routing::CallResult);
    void markSuspects(AttemptOutcome);
    // Whether another attempt is allowed, apart from the retry allowance.
    bool mayRetry(AttemptOutcome) const;
    bool tryRetry(AttemptOutcome);
    void pollRetryAllowance(base::TimePoint now);
    void failRequest(AttemptOutcome);

    void relayEvents(std::string_view);
    void relayPlainBody(std::string_view);
    void beginRelay(RelayMode, std::optional<std::uint64_t> length);
    void finishPlainResponse();
    http1::Response responseFrom(const http1::ResponseHead&) const;

    // When a refused caller should come back, spread so that not all come at once.
    std::chrono::milliseconds retryAfterDelay() const;
    void refuse(const base::Error&);
    void finish();
    void checkStall(base::TimePoint now);
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
    routing::StreamSize streamSize_;
    base::TimePoint deadline_;
    bool isFinished_ = false;

    // The attempt in work.
    std::shared_ptr<UpstreamConnection> connection_;
    std::string upstreamId_;
    routing::LayerPath path_;
    base::TimePoint sentAt_;
    base::TimePoint progressAt_;
    std::optional<http1::ResponseHead> responseHead_;
    ResponseMetadata responseMetadata_;
    std::string bufferedBody_;
    bool isStream_ = false;

    // Set once the request has waited for the start of this VM.
    std::optional<base::TimePoint> startupDeadline_;
    bool isInStartupQueue_ = false;

    // Set while the request waits for room.
    std::optional<routing::WaitingLine::Ticket> queueTicket_;
    base::TimePoint queueDeadline_;
    // Whether a stream waits for the retry allowance before it goes on.
    bool isAwaitingRetryAllowance_ = false;

    // All attempts.
    int sendCount_ = 0;
    // Attempts that may have run.
    int runCount_ = 0;
    std::set<std::string> avoidedUpstreams_;
    EventSplitter eventSplitter_;
    RelayMode relayMode_ = RelayMode::None;
    std::optional<http1::Response> failedResponse_;
};

} // namespace arbutus::forwarding
