#pragma once

#include "include/base/Clock.h"
#include "include/fleet/PeerLinks.h"
#include "include/fleet/UpstreamRegistry.h"
#include "include/state/Commands.h"
#include "include/transport/FrameServer.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace arbutus::node {

// Has the departures of upstreams committed on a control VM, through the leader if this VM is
// not, and those forgotten that are too old to matter. Runs on the event loop of `context`.
class DepartureCommitter {
public:
    using Done = std::function<void(base::Result<void>)>;
    using Propose = std::function<void(state::CommandBody, std::chrono::milliseconds timeout, Done)>;

    // The registry and the links must outlive this object.
    DepartureCommitter(boost::asio::io_context&, fleet::UpstreamRegistry&, fleet::PeerLinks&, Propose);

    // Commits the departure of a process. `remoteLeaderIp` is nullopt if this VM leads or knows no
    // leader. Fails with NoQuorum if the leader does not answer, and as the proposal does.
    void commit(const fleet::UpstreamProcess&, std::optional<std::uint32_t> remoteLeaderIp, Done);
    // Answers another control VM that asks the leader for a commit.
    void handleRequest(const fleet::UpstreamProcess&, bool isLeader, const transport::FrameServer::Reply&);
    // Has old departures forgotten. Call often, on the leader only.
    void forgetOld(base::TimePoint now);

private:
    void forward(std::uint32_t leaderIp, const fleet::UpstreamProcess&, Done);

    boost::asio::io_context& context_;
    fleet::UpstreamRegistry& registry_;
    fleet::PeerLinks& links_;
    const Propose propose_;
    base::TimePoint nextForgettingAt_;
};

} // namespace arbutus::node
