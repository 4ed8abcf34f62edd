#include "include/routing/HandoverPeers.h"

#include <tuple>

namespace arbutus::routing {

static constexpr std::chrono::seconds failedPeerAvoidance(1);

void HandoverPeers::setPeers(const std::vector<net::Endpoint>& endpoints)
{
    for (auto& [endpoint, peer] : peers_)
        peer.isListed = false;
    for (const auto& endpoint : endpoints)
        peers_[endpoint].isListed = true;
    for (auto it = peers_.begin(); it != peers_.end();)
        it = it->second.isListed || it->second.running ? std::next(it) : peers_.erase(it);
}

std::optional<net::Endpoint> HandoverPeers::choose(const std::set<net::Endpoint>& avoided, base::TimePoint now)
{
    auto best = peers_.end();
    auto rank = [](const Peer& peer) { return std::make_tuple(peer.running, peer.lastChosen); };
    for (auto it = peers_.begin(); it != peers_.end(); ++it) {
        bool isUsable = it->second.isListed && now >= it->second.avoidedUntil && !avoided.count(it->first);
        if (isUsable && (best == peers_.end() || rank(it->second) < rank(best->second)))
            best = it;
    }
    if (best == peers_.end())
        return std::nullopt;
    best->second.lastChosen = ++choiceCount_;
    return best->first;
}

void HandoverPeers::requestStarted(const net::Endpoint& endpoint) { ++peers_[endpoint].running; }

void HandoverPeers::requestEnded(const net::Endpoint& endpoint)
{
    if (auto found = peers_.find(endpoint); found != peers_.end() && found->second.running)
        --found->second.running;
}

void HandoverPeers::peerFailed(const net::Endpoint& endpoint, base::TimePoint now)
{
    if (auto found = peers_.find(endpoint); found != peers_.end())
        found->second.avoidedUntil = now + failedPeerAvoidance;
}

} // namespace arbutus::routing
