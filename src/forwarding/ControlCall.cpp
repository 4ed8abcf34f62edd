#include "src/forwarding/ControlCall.h"

namespace arbutus::forwarding {

ControlCall::ControlCall(boost::asio::io_context& context, const net::Endpoint& endpoint, Done done)
    : connection_(std::make_shared<UpstreamConnection>(context, endpoint, [](const std::shared_ptr<UpstreamConnection>&) {}))
    , done_(std::move(done))
{
}

ControlCall::~ControlCall() { connection_->abandon(); }

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

void ControlCall::finish(std::optional<int> status)
{
    if (isFinished_)
        return;
    isFinished_ = true;
    done_(status);
}

} // namespace arbutus::forwarding
