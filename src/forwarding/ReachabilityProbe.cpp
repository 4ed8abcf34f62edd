#include "src/forwarding/ReachabilityProbe.h"

#include <utility>

namespace arbutus::forwarding {

ReachabilityProbe::ReachabilityProbe(boost::asio::io_context& context, std::string upstream, const net::Endpoint& endpoint, base::TimePoint deadline, Done done)
    : socket_(std::make_shared<net::StreamSocket>(context))
    , upstream_(std::move(upstream))
    , deadline_(deadline)
    , done_(std::move(done))
{
    socket_->setListener(this);
    socket_->connect({ boost::asio::ip::address_v4(endpoint.ip), endpoint.port });
}

void ReachabilityProbe::checkTimeout(base::TimePoint now)
{
    if (done_ && now >= deadline_)
        finish(false);
}

void ReachabilityProbe::finish(bool isReached)
{
    socket_->close();
    std::exchange(done_, nullptr)(upstream_, isReached);
}

} // namespace arbutus::forwarding
