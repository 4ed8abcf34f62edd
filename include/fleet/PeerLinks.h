#pragma once

#include "include/base/RankedMutex.h"
#include "include/transport/FrameClient.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace arbutus::fleet {

// Maintains one persistent connection per control VM, shared by all its users. Safe to
// use from several threads.
class PeerLinks {
public:
    struct Options {
        std::string self;
        // The port for traffic between the processes of the deployment.
        std::uint16_t port = 0;
        std::string sharedKey;
        std::uint64_t seed = 0;
    };

    explicit PeerLinks(Options);

    // Returns the connection to the VM with this IP address and creates it on first use.
    // Logs the reason and returns null if it cannot be created.
    transport::FrameClient* link(std::uint32_t ip);

    // Returns whether the VM has refused every attempt to connect for this long; see
    // FrameClient::isRefusedFor().
    bool isRefusedFor(std::uint32_t ip, std::chrono::milliseconds span);

    // Sends a fleet poll; see FleetPoller::SendPoll.
    bool sendPoll(std::uint32_t ip, std::string poll, std::chrono::milliseconds timeout, transport::FrameClient::Done);

private:
    const Options options_;
    std::shared_ptr<transport::ClientThread> thread_;
    base::RankedMutex mutex_;
    std::map<std::uint32_t, std::unique_ptr<transport::FrameClient>> links_;
};

} // namespace arbutus::fleet
