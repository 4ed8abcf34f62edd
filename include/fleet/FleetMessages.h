#pragma once

#include "include/fleet/CrashReport.h"
#include "include/fleet/RequestLimitReport.h"
#include "include/fleet/ServiceDemand.h"
#include "include/fleet/UpstreamRecord.h"

#include <chrono>
#include <string_view>
#include <vector>

namespace arbutus::fleet {

// An entry VM polls at least twice within this time unless it is down or partitioned.
constexpr std::chrono::seconds entryVmTimeout { 2 };

// The in-flight load of one or more entry VMs on one upstream.
struct UpstreamInFlightLoad {
    std::string upstream;
    std::uint32_t running = 0;
    // Reserved cache in tokens times layers, 0 for a plain service.
    double cacheTokenLayers = 0;
    // Streams that the upstream refused for lack of memory or slots in the last 500 ms.
    std::uint32_t refusals = 0;
    MSGPACK_DEFINE(upstream, running, cacheTokenLayers, refusals)
};

// A long poll that asks a control VM for changes.
struct FleetPoll {
    std::string sender;
    // False for polls between control VMs. Entry VMs also report their load.
    bool isEntry = false;
    // Identifies the registry that `revision` refers to. 0 in the first poll.
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    std::uint64_t routesVersion = 0;
    // Whether the answer should contain a newer route configuration.
    bool wantsRoutes = false;
    // The version that a configuration in the answer may be relative to; 0 asks for a
    // whole one.
    std::uint64_t routesBase = 0;
    // Whether the answer should contain the load of the other entry VMs.
    bool wantsPeerLoad = false;
    // How long the receiver may delay its answer while there are no changes.
    std::uint32_t maxWaitMilliseconds = 0;
    std::vector<UpstreamInFlightLoad> load;
    // The receiver's revision of crash reports that the sender knows.
    std::uint64_t crashRevision = 0;
    // What the receiver may not know yet.
    std::vector<CrashReport> crashReports;
    // Only together with `wantsPeerLoad`: what the sender knows of limits, and the permits
    // that it wants.
    RequestLimitReports limits;
    // Upstreams that have recently announced their leave to the sender.
    std::vector<UpstreamProcess> leaving;
    // Upstreams that the receiver has recently told to be present although the sender knows
    // that they are gone.
    std::vector<UpstreamProcess> gone;
    // Only together with `wantsPeerLoad`: the streams at the sender.
    ServiceDemands demand;
    MSGPACK_DEFINE(sender, isEntry, epoch, revision, routesVersion, wantsRoutes, routesBase, wantsPeerLoad, maxWaitMilliseconds, load, crashRevision, crashReports, limits, leaving, gone, demand)
};

// The answer to a FleetPoll.
struct FleetAnswer {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    // The records that changed after the poll's revision, or all if the epochs differ.
    std::vector<UpstreamRecord> upstreams;
    // The version of the newest committed route configuration known to the answering VM, or
    // 0.
    std::uint64_t routesVersion = 0;
    // The compressed configuration of that version, relative to `routesBase`. Empty unless
    // requested and newer than the poll's version; it may follow in a later answer.
    std::string packedRoutes;
    // 0 if the configuration is whole.
    std::uint64_t routesBase = 0;
    // The IP addresses of the VMs that hold a replica of the state.
    std::vector<std::uint32_t> replicas;
    // The number of entry VMs that have polled recently.
    std::uint32_t entryVmCount = 0;
    // The load summed over all entry VMs except the one that polls, if requested.
    std::vector<UpstreamInFlightLoad> peerLoad;
    std::uint64_t crashRevision = 0;
    // The reports that changed after the poll's revision, or all if the epochs differ.
    std::vector<CrashReport> crashReports;
    // Only together with the peer load: the permits that the poller gets.
    RequestLimitReports limits;
    // Only together with the peer load: the streams at all entry VMs, the poller included.
    ServiceDemands demand;
    MSGPACK_DEFINE(epoch, revision, upstreams, routesVersion, packedRoutes, routesBase, replicas, entryVmCount, peerLoad, crashRevision, crashReports, limits, demand)
};

// Asks the leader to add the sender as a replica.
struct JoinRequest {
    std::uint64_t replica = 0;
    std::uint64_t disk = 0;
    MSGPACK_DEFINE(replica, disk)
};

// Asks the leader to remove the sender, whose process has been told to stop. Repeated
// until the answer says that the sender has left.
struct LeaveRequest {
    std::uint64_t replica = 0;
    std::uint64_t disk = 0;
    MSGPACK_DEFINE(replica, disk)
};

struct LeaveAnswer {
    // The committed configuration does not contain the sender.
    bool hasLeft = false;
    MSGPACK_DEFINE(hasLeft)
};

// Instantiated for FleetPoll, FleetAnswer, JoinRequest, LeaveRequest and LeaveAnswer.
// Decoding fails with MalformedFrame and is safe on arbitrary bytes.
template <typename T>
std::string encode(const T&);
template <typename T>
base::Result<T> decode(std::string_view bytes);

} // namespace arbutus::fleet
