#pragma once

#include "include/forwarding/UpstreamConnection.h"

#include <functional>
#include <memory>

namespace arbutus::forwarding {

// A single request from this program to an upstream, with a small buffered response.
class ControlCall final : private ResponseListener, public std::enable_shared_from_this<ControlCall> {
public:
    struct Response {
        int status = 0;
        std::string body;
    };
    // Receives the response, or nullopt if the call failed or timed out.
    using Callback = std::function<void(const std::optional<Response>&)>;

    // `connection` must be new or idle.
    ControlCall(std::shared_ptr<UpstreamConnection> connection, Callback);
    ~ControlCall() override;

    // Sends a serialized request that has no separate body.
    void send(std::string request, base::TimePoint deadline);
    // Cancels the call and reports nullopt if its deadline has passed.
    void tick(base::TimePoint now);
    bool isFinished() const { return isFinished_; }

private:
    ResponseMatch onMatchResponse(const http1::ResponseHead&) const override { return ResponseMatch::Current; }
    void onHead(const http1::ResponseHead& head) override { response_.status = head.status; }
    void onBody(std::string_view bytes) override;
    void onDone() override { finish(response_); }
    void onConnectionFailure(ConnectionFailure) override { finish(std::nullopt); }
    void finish(const std::optional<Response>&);

    std::shared_ptr<UpstreamConnection> connection_;
    Callback callback_;
    base::TimePoint deadline_;
    Response response_;
    bool isFinished_ = false;
};

} // namespace arbutus::forwarding
