#pragma once

#include "include/forwarding/UpstreamConnection.h"

#include <functional>
#include <memory>

namespace arbutus::forwarding {

// One small call of this product to an upstream, on a connection of its own.
class ControlCall final : private ResponseListener, public std::enable_shared_from_this<ControlCall> {
public:
    // The status of the answer, or nothing if there was none in time.
    using Done = std::function<void(std::optional<int> status)>;

    ControlCall(boost::asio::io_context&, const net::Endpoint&, Done);
    ~ControlCall() override;

    void send(std::string request, base::TimePoint deadline);
    // Ends the call if its deadline has passed.
    void tick(base::TimePoint now);
    bool isFinished() const { return isFinished_; }

private:
    ResponseOwner onOwnerOf(const http1::ResponseHead&) const override { return ResponseOwner::Own; }
    void onHead(const http1::ResponseHead& head) override { status_ = head.status; }
    void onBody(std::string_view) override { }
    void onDone() override { finish(status_); }
    void onBroken(Break) override { finish(std::nullopt); }
    void finish(std::optional<int> status);

    std::shared_ptr<UpstreamConnection> connection_;
    Done done_;
    base::TimePoint deadline_;
    int status_ = 0;
    bool isFinished_ = false;
};

} // namespace arbutus::forwarding
