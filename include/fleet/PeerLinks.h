#pragma once

#include "include/base/RankedMutex.h"
#include "include/transport/FrameClient.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace arbutus::fleet {

// One kept connection to each control VM, shared by everything that talks to it.
// Safe to use from several threads.
class PeerLinks {
public:
    struct Options {
        std::string self;
        // The port on which the processes of the deployment talk to each other.
        std::uint16_t port = 0;
        std::string sharedKey;
        std::uint64_t seed = 0;
    };

    explicit PeerLinks(Options);

    // The link to the VM with this IP address, made when it is first asked for.
    // Null if it cannot be made; the reason has been logged.
    transport::FrameClient* link(std::uint32_t ip);

private:
    const Options options_;
    std::shared_ptr<transport::ClientThread> thread_;
    base::RankedMutex mutex_;
    std::map<std::uint32_t, std::unique_ptr<transport::FrameClient>> links_;
};

} // namespace arbutus::fleet
