#pragma once

#include "include/forwarding/EventSplitter.h"
#include "include/forwarding/Gate.h"

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
    Exchange(Gate&, std::shared_ptr<http1::ServerConnection>, http1::Request);
    ~Exchange() override;

    void start();
    void tick(base::TimePoint now);
    bool isFinished() const { return isFinished_; }

private:
    // How an attempt at an upstream ended without a usable answer.
    enum class AttemptEnd {
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
    enum class Relay {
        None,
        Events,
        Plain,
    };

    void onCallerDisconnected() override;
    void onDrained() override;
    ResponseOwner onOwnerOf(const http1::ResponseHead&) const override;
    void onHead(const http1::ResponseHead&) override;
    void onBody(std::string_view) override;
    void onDone() override;
    void onBroken(Break) override;

    // Goes on from the arrival: as soon as there is a configuration and the service
    // has upstreams, or the wait for them is over.
    void begin();
    // Waits for what the VM does not know yet after its start; returns false if the
    // request must not wait, or has waited long enough.
    bool waitForStartup();
    void leaveStartupQueue();
    base::Result<void> admit();
    void chooseService();
    void placeFirst();
    bool isRepeatable() const;
    // Chooses an upstream and sends the request; returns false if there is none.
    bool sendNext();
    // Waits in line for room; returns false if that would take too long.
    bool waitForRoom(bool isResuming);
    void leaveLine();
    void tryLine(base::TimePoint now);
    bool choosePath();
    bool chooseUpstream();
    void sendTo(const net::Endpoint&);
    std::string requestHead() const;
    void endAttempt(AttemptEnd);
    void releaseChoice(routing::CallResult);
    void suspectAfter(AttemptEnd);
    // Whether another attempt is allowed, apart from the retry allowance.
    bool mayTryAgain(AttemptEnd) const;
    bool tryAgain(AttemptEnd);
    void awaitRetry(base::TimePoint now);
    void giveUp(AttemptEnd);

    void takeEvents(std::string_view);
    void takePlainBody(std::string_view);
    void beginRelay(Relay, std::optional<std::uint64_t> length);
    void completePlain();
    http1::Response responseFrom(const http1::ResponseHead&) const;

    // When a refused caller should come back, spread so that not all come at once.
    std::chrono::milliseconds comeBackAfter() const;
    void refuse(const base::Error&);
    void finish();
    void checkStall(base::TimePoint now);
    bool isCallStalled(std::chrono::nanoseconds silence) const;
    bool isStreamStalled(std::chrono::nanoseconds silence, base::TimePoint now) const;
    void timeOut();

    Gate& gate_;
    std::shared_ptr<http1::ServerConnection> caller_;
    http1::Request request_;
    RequestFacts facts_;
    std::shared_ptr<const routes::RouteTable> table_;
    const routes::Route* route_ = nullptr;
    const routes::Team* team_ = nullptr;
    ServiceState* service_ = nullptr;
    routing::StreamSize size_;
    base::TimePoint deadline_;
    bool isFinished_ = false;

    // The attempt in work.
    std::shared_ptr<UpstreamConnection> connection_;
    std::string upstream_;
    routing::LayerPath path_;
    base::TimePoint sentAt_;
    base::TimePoint progressAt_;
    std::optional<http1::ResponseHead> head_;
    ResponseFacts responseFacts_;
    std::string body_;
    bool isStream_ = false;

    // Set once the request has waited for the start of this VM.
    std::optional<base::TimePoint> startupDeadline_;
    bool isInStartupQueue_ = false;

    // Set while the request waits for room.
    std::optional<routing::WaitingLine::Ticket> ticket_;
    base::TimePoint lineDeadline_;
    // Whether a stream waits for the retry allowance before it goes on.
    bool isRetryDue_ = false;

    // All attempts.
    int sends_ = 0;
    // Attempts that may have run.
    int runs_ = 0;
    std::set<std::string> avoided_;
    EventSplitter events_;
    Relay relay_ = Relay::None;
    std::optional<http1::Response> failedAnswer_;
};

} // namespace arbutus::forwarding
