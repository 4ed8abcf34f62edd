#include "src/node/DepartureCommitter.h"

#include "include/base/Logger.h"
#include "include/control/Frames.h"
#include "include/fleet/FleetMessages.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace arbutus::node {

using base::ErrorKind;
using base::makeError;
using base::Result;

static constexpr base::Logger logger("control");

// The name under which departures of upstreams are committed.
static constexpr const char* departureAuthor = "control";
// An upstream waits one second for its answer.
static constexpr std::chrono::milliseconds requestTimeout(600);
static constexpr std::chrono::milliseconds proposalTimeout(1500);
static constexpr std::chrono::seconds forgettingInterval(1);
static constexpr std::chrono::milliseconds forgettingTimeout(3000);

DepartureCommitter::DepartureCommitter(boost::asio::io_context& context, fleet::UpstreamRegistry& registry, fleet::PeerLinks& links, Propose propose)
    : context_(context)
    , registry_(registry)
    , links_(links)
    , propose_(std::move(propose))
{
}

void DepartureCommitter::commit(const fleet::UpstreamProcess& process, std::optional<std::uint32_t> remoteLeaderIp, Done done)
{
    if (remoteLeaderIp)
        forward(*remoteLeaderIp, process, std::move(done));
    else
        propose_(state::SetDrain { departureAuthor, fleet::departureName(process), true }, proposalTimeout, std::move(done));
}

void DepartureCommitter::forward(std::uint32_t leaderIp, const fleet::UpstreamProcess& process, Done done)
{
    auto* link = links_.link(leaderIp);
    if (!link) {
        done(makeError(ErrorKind::NoQuorum, "the leader cannot be reached"));
        return;
    }
    link->request(static_cast<std::uint8_t>(control::FrameKind::UpstreamDeparture), fleet::encode(process), std::chrono::steady_clock::now() + requestTimeout, [&context = context_, done = std::move(done)](const Result<std::string>& answer) {
        auto decoded = answer ? fleet::decode<fleet::DepartureAnswer>(answer.value()) : Result<fleet::DepartureAnswer>(answer.error());
        Result<void> result = base::outcome::success();
        if (!decoded || !decoded.value().isCommitted)
            result = makeError(ErrorKind::NoQuorum, "the leader did not commit the departure");
        boost::asio::post(context, [done, result] { done(result); });
    });
}

void DepartureCommitter::handleRequest(const fleet::UpstreamProcess& process, bool isLeader, const transport::FrameServer::Reply& reply)
{
    if (!isLeader) {
        reply(fleet::encode(fleet::DepartureAnswer { false }));
        return;
    }
    commit(process, std::nullopt, [reply](const Result<void>& result) { reply(fleet::encode(fleet::DepartureAnswer { result.has_value() })); });
}

void DepartureCommitter::forgetOld(base::TimePoint now)
{
    if (now < nextForgettingAt_)
        return;
    nextForgettingAt_ = now + forgettingInterval;
    for (const auto& name : registry_.departures().takeExpired(now)) {
        propose_(state::SetDrain { departureAuthor, name, false }, forgettingTimeout, [name](const Result<void>& result) {
            if (!result)
                logger.info("An old departure is not forgotten yet.", { { "process", name }, { "reason", result.error().detail } });
        });
    }
}

} // namespace arbutus::node
