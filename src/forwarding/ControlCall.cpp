#include "src/forwarding/ControlCall.h"

namespace arbutus::forwarding {

// Control responses are small. A longer one fails the call.
static constexpr std::size_t maxResponseBodyBytes = std::size_t { 64 } << 10;

ControlCall::ControlCall(std::shared_ptr<UpstreamConnection> connection, Callback callback)
    : connection_(std::move(connection))
    , callback_(std::move(callback))
{
}

ControlCall::~ControlCall()
{
    if (!isFinished_)
        connection_->abandon();
}

void ControlCall::onBody(std::string_view bytes)
{
    if (response_.body.size() + bytes.size() <= maxResponseBodyBytes) {
        response_.body.append(bytes);
        return;
    }
    connection_->abandon();
    finish(std::nullopt);
}

void ControlCall::send(std::string request, base::TimePoint deadline)
{
    deadline_ = deadline;
    connection_->send(std::move(request), {}, false, *this, deadline);
}

void ControlCall::tick(base::TimePoint now)
{
    if (!isFinished_ && now >= deadline_) {
        connection_->abandon();
        finish(std::nullopt);
    }
}

void ControlCall::finish(const std::optional<Response>& response)
{
    if (isFinished_)
        return;
    isFinished_ = true;
    callback_(response);
}

} // namespace arbutus::forwarding
