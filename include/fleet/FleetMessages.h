#pragma once

#include "include/fleet/UpstreamRecord.h"

#include <string_view>
#include <vector>

namespace arbutus::fleet {

// The work that entry VMs have at one upstream.
struct UpstreamInFlightLoad {
    std::string upstream;
    std::uint32_t running = 0;
    // Reserved cache, in tokens times layers; 0 for a plain service.
    double cacheTokenLayers = 0;
    MSGPACK_DEFINE(upstream, running, cacheTokenLayers)
};

// Asks a control VM for what is new.
struct FleetPoll {
    std::string sender;
    // Replicas poll each other; entry VMs also report their work.
    bool isEntry = false;
    // The registry that `revision` belongs to; 0 at first.
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    std::uint64_t routesVersion = 0;
    // Whether a newer route configuration is to be sent in full.
    bool wantsRoutes = false;
    // The answer may be held back this long while nothing is new.
    std::uint32_t maxWaitMilliseconds = 0;
    std::vector<UpstreamInFlightLoad> load;
    MSGPACK_DEFINE(sender, isEntry, epoch, revision, routesVersion, wantsRoutes, maxWaitMilliseconds, load)
};

struct FleetAnswer {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    // The changes after the poll's revision; all facts if the epoch is another.
    std::vector<UpstreamRecord> upstreams;
    // The newest committed route configuration that this VM knows; 0 for none.
    std::uint64_t routesVersion = 0;
    // Empty unless it was wanted and is newer.
    std::string routesDocument;
    // The IP addresses of the VMs that hold the state.
    std::vector<std::uint32_t> replicas;
    // Entry VMs that have polled recently.
    std::uint32_t entryCount = 0;
    // The sum over all other entry VMs.
    std::vector<UpstreamInFlightLoad> peerLoad;
    MSGPACK_DEFINE(epoch, revision, upstreams, routesVersion, routesDocument, replicas, entryCount, peerLoad)
};

// Asks to become a replica.
struct JoinRequest {
    std::uint64_t replica = 0;
    std::uint64_t disk = 0;
    MSGPACK_DEFINE(replica, disk)
};

// Defined for the three messages above. Decoding fails with MalformedFrame and is
// safe on arbitrary bytes.
template <typename T>
std::string encode(const T&);
template <typename T>
base::Result<T> decode(std::string_view bytes);

} // namespace arbutus::fleet
