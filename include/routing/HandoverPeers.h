#pragma once

#include "include/base/Time.h"
#include "include/net/Endpoint.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace arbutus::routing {

// Chooses the entry VM that gets a request which this VM cannot send to an upstream itself.
class HandoverPeers {
public:
    // Replaces the entry VMs that take requests. What is known of those that stay is kept.
    void setPeers(const std::vector<net::Endpoint>&);

    // Returns the peer with the fewest requests of this VM, in turn among equals; nullopt if
    // there is none outside `avoided` that has not failed lately.
    std::optional<net::Endpoint> choose(const std::set<net::Endpoint>& avoided, base::TimePoint now);

    // Call when a request is handed over and when it ends.
    void requestStarted(const net::Endpoint&);
    void requestEnded(const net::Endpoint&);
    // Records that the peer could not be reached or takes no requests now.
    void peerFailed(const net::Endpoint&, base::TimePoint now);

private:
    struct Peer {
        std::size_t running = 0;
        std::uint64_t lastChosen = 0;
        base::TimePoint avoidedUntil;
        bool isListed = false;
    };

    std::map<net::Endpoint, Peer> peers_;
    std::uint64_t choiceCount_ = 0;
};

} // namespace arbutus::routing
