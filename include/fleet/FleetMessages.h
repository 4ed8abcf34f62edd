#pragma once

#include "include/fleet/CrashReport.h"
#include "include/fleet/RequestLimitReport.h"
#include "include/fleet/ServiceDemand.h"
#include "include/fleet/UpstreamInFlightLoad.h"
#include "include/fleet/UpstreamRecord.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

namespace arbutus::fleet {

// An entry VM polls at least twice within this time unless it is down or partitioned.
constexpr std::chrono::seconds entryVmTimeout { 2 };

// A long poll that asks a control VM for changes.
struct FleetPoll {
    std::string sender;
    std::string dataCentre;
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
    // Whether the receiver is the sender's load source: the poll contains the sender's load,
    // and the answer should contain the load of the other entry VMs. Without this, the
    // receiver drops the load that the sender has reported to it before.
    bool wantsPeerLoad = false;
    // Whether the receiver divides the permits of limited upstreams for the sender.
    bool wantsPermits = false;
    // How long the receiver may delay its answer while there are no changes.
    std::uint32_t maxWaitMilliseconds = 0;
    std::vector<UpstreamInFlightLoad> load;
    // Differs at each start of the sender's process.
    std::uint32_t incarnation = 0;
    // Increases with every poll that contains load, whatever its receiver.
    std::uint64_t loadRevision = 0;
    // The receiver's revision of crash reports that the sender knows.
    std::uint64_t crashRevision = 0;
    // What the receiver may not know yet.
    std::vector<CrashReport> crashReports;
    // Only together with `wantsPermits`: what the sender knows of limits, and the permits
    // that it wants.
    RequestLimitReports limits;
    // Only together with `wantsPermits`: the receiver's revision of limits, to be answered on
    // its next change. 0 if the answer should not come earlier for this.
    std::uint64_t limitRevision = 0;
    // Upstreams that have recently announced their leave to the sender.
    std::vector<UpstreamProcess> leaving;
    // Upstreams that the receiver has recently told to be present although the sender knows
    // that they are gone.
    std::vector<UpstreamProcess> gone;
    // Only together with `wantsPeerLoad`: the streams at the sender.
    ServiceDemands demand;
    // Where the sender takes requests that other entry VMs hand over: an IP address, or 0
    // while it takes none.
    std::uint32_t handoverIp = 0;
    // Whether the answer should list entry VMs that take such requests.
    bool wantsHandoverPeers = false;
    // Only if the receiver has asked for them: all processes of upstreams that the sender knows.
    std::vector<UpstreamProcess> processes;
    MSGPACK_DEFINE(sender, dataCentre, isEntry, epoch, revision, routesVersion, wantsRoutes, routesBase, wantsPeerLoad, wantsPermits, maxWaitMilliseconds, load, incarnation, loadRevision, crashRevision, crashReports, limits, limitRevision, leaving, gone, demand, handoverIp, wantsHandoverPeers, processes)
};

// A control VM with its disk, as a voter.
struct ReportedVoter {
    std::uint64_t replica = 0;
    std::uint64_t disk = 0;
    MSGPACK_DEFINE(replica, disk)

    friend bool operator==(const ReportedVoter& left, const ReportedVoter& right) { return left.replica == right.replica && left.disk == right.disk; }
};

// What a control VM knows of the newest route configuration.
struct VersionReport {
    // Whether the VM's state is current: `version` was the newest one that was committed, as of
    // `ageMilliseconds` before the answer. Otherwise it is the newest one that the VM has stored,
    // committed or not, and the fields behind the age are set.
    bool isCurrent = false;
    std::uint64_t version = 0;
    std::uint32_t ageMilliseconds = 0;
    ReportedVoter self;
    // The term and the index of the newest set of voters that the VM has stored.
    std::uint64_t votersTerm = 0;
    std::uint64_t votersIndex = 0;
    // That set and, unless it is known to be committed, the one before.
    std::vector<std::vector<ReportedVoter>> voterSets;
    MSGPACK_DEFINE(isCurrent, version, ageMilliseconds, self, votersTerm, votersIndex, voterSets)
};

// The answer to a FleetPoll.
struct FleetAnswer {
    // The data centre of the answering VM.
    std::string dataCentre;
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
    // The control VMs whose entry VMs' load may be missing in the peer load.
    std::vector<std::uint32_t> silentControlVms;
    // The number of entry VMs that have polled recently.
    std::uint32_t entryVmCount = 0;
    // The load summed over all entry VMs except the one that polls, if requested.
    std::vector<UpstreamInFlightLoad> peerLoad;
    std::uint64_t crashRevision = 0;
    // The reports that changed after the poll's revision, or all if the epochs differ.
    std::vector<CrashReport> crashReports;
    // Only if permits are requested: the permits that the poller gets.
    RequestLimitReports limits;
    // The answering VM's revision of limits.
    std::uint64_t limitRevision = 0;
    // Only together with the peer load: the streams at all entry VMs, the poller included.
    // Rows may repeat a service, data centre and priority; they add up.
    ServiceDemands demand;
    // Only if requested: some entry VMs that take requests of others, by IP address.
    std::vector<std::uint32_t> handoverPeers;
    // Whether the next poll should tell the processes of upstreams that the poller knows.
    bool wantsProcesses = false;
    // For entry VMs. Absent from earlier builds.
    std::optional<VersionReport> versionReport;
    MSGPACK_DEFINE(dataCentre, epoch, revision, upstreams, routesVersion, packedRoutes, routesBase, replicas, silentControlVms, entryVmCount, peerLoad, crashRevision, crashReports, limits, limitRevision, demand, handoverPeers, wantsProcesses, versionReport)
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

// The answer to an UpstreamProcess whose departure the leader is asked to commit.
struct DepartureAnswer {
    bool isCommitted = false;
    MSGPACK_DEFINE(isCommitted)
};

// The load that one entry VM has placed on upstreams, or a change of it.
struct EntryVmLoad {
    std::string entryVm;
    // See FleetPoll.
    std::uint32_t incarnation = 0;
    std::uint64_t revision = 0;
    // The revision that `load` changes; 0 if `load` is whole. In a change, an upstream
    // without any load is removed.
    std::uint64_t base = 0;
    std::vector<UpstreamInFlightLoad> load;
    MSGPACK_DEFINE(entryVm, incarnation, revision, base, load)
};

// What a control VM tells all others of the entry VMs that report their load to it.
struct LoadUpdate {
    // The sender's IP address.
    std::uint32_t sender = 0;
    // Differs at each start of the sender's process.
    std::uint64_t epoch = 0;
    // Increases by one with every update of one epoch.
    std::uint64_t sequence = 0;
    // Whether the update contains all that the sender knows. Otherwise it contains the
    // changes since the previous update.
    bool isWhole = false;
    std::vector<EntryVmLoad> loads;
    // The entry VMs that report to the sender no longer.
    std::vector<std::string> released;
    // If set, the demand summed over the sender's entry VMs.
    bool hasDemand = false;
    ServiceDemands demand;
    // The control VMs that are asked for a whole update, by IP address.
    std::vector<std::uint32_t> wanted;
    MSGPACK_DEFINE(sender, epoch, sequence, isWhole, loads, released, hasDemand, demand, wanted)
};

// Instantiated for FleetPoll, FleetAnswer, LoadUpdate, JoinRequest, LeaveRequest, LeaveAnswer,
// UpstreamProcess and DepartureAnswer.
// Decoding fails with MalformedFrame and is safe on arbitrary bytes.
template <typename T>
std::string encode(const T&);
template <typename T>
base::Result<T> decode(std::string_view bytes);

} // namespace arbutus::fleet
