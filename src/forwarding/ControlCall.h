#pragma once

#include "include/forwarding/UpstreamConnection.h"

#include <functional>
#include <memory>

namespace arbutus::forwarding {

// One small call of this product to an upstream.
class ControlCall final : private ResponseListener, public std::enable_shared_from_this<ControlCall> {
public:
    struct Answer {
        int status = 0;
        std::string body;
    };
    // Receives the answer, or nothing if there was none in time.
    using Done = std::function<void(const std::optional<Answer>&)>;

    ControlCall(UpstreamPool&, const net::Endpoint&, Done, base::TimePoint now);
    ~ControlCall() override;

    void send(std::string request, base::TimePoint deadline);
    // Ends the call if its deadline has passed.
    void tick(base::TimePoint now);
    bool isFinished() const { return isFinished_; }

private:
    ResponseOwner onOwnerOf(const http1::ResponseHead&) const override { return ResponseOwner::Own; }
    void onHead(const http1::ResponseHead& head) override { answer_.status = head.status; }
    void onBody(std::string_view bytes) override;
    void onDone() override { finish(answer_); }
    void onBroken(Break) override { finish(std::nullopt); }
    void finish(const std::optional<Answer>&);

    std::shared_ptr<UpstreamConnection> connection_;
    Done done_;
    base::TimePoint deadline_;
    Answer answer_;
    bool isFinished_ = false;
};

} // namespace arbutus::forwarding
