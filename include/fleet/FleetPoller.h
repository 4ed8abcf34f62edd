#pragma once

#include "include/base/Clock.h"
#include "include/fleet/FleetMessages.h"
#include "include/fleet/PeerLinks.h"
#include "include/fleet/UpstreamRegistry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace arbutus::fleet {

// Polls every known control VM and merges their answers. One poll is open to each
// of them at a time. Not thread-safe: everything runs on the owner's loop, which
// `post` reaches from any thread.
class FleetPoller {
public:
    struct Options {
        std::string self;
        bool isEntry = false;
        // The own address of a control VM, which it does not poll.
        std::uint32_t ownIp = 0;
    };
    using Post = std::function<void(std::function<void()>)>;
    using RoutesHandler = std::function<void(std::uint64_t version, const std::string& document)>;
    using LoadProvider = std::function<std::vector<UpstreamInFlightLoad>()>;

    FleetPoller(const base::Clock&, PeerLinks&, Options, UpstreamRegistry&, Post);
    ~FleetPoller();

    // Only entry VMs take routes and report work.
    void setEntryHooks(RoutesHandler, LoadProvider);
    // The control VMs to begin with; those named by answers are polled too.
    void setSeeds(const std::vector<std::uint32_t>& ips);
    // The version in force here; older documents are not asked for.
    void setRoutesVersion(std::uint64_t version) { routesVersion_ = version; }
    // Starts polls that are due; call several times a second.
    void tick();

    // Whether this control VM has answered since then.
    bool hasHeardFrom(std::uint32_t ip, base::TimePoint since) const;
    // The largest count of entry VMs that a control VM has named; at least 1.
    std::uint32_t entryCount() const;
    // The work of other entry VMs as last told by any control VM.
    const std::map<std::string, UpstreamInFlightLoad>& peerLoad() const { return peerLoad_; }
    // All control VMs that are polled.
    std::vector<std::uint32_t> knownReplicas() const;

private:
    struct Peer {
        transport::FrameClient* client = nullptr;
        bool isPolling = false;
        base::TimePoint nextPollAt;
        base::TimePoint lastHeardAt;
        std::uint64_t epoch = 0;
        std::uint64_t revision = 0;
        std::uint64_t routesVersion = 0;
        // When a version above the one in force was first named here.
        std::optional<base::TimePoint> newerRoutesSince;
        std::uint32_t entryCount = 0;
        // Named by an answer or a seed at this time.
        base::TimePoint lastListedAt;
    };

    Peer* findOrAddPeer(std::uint32_t ip);
    void poll(std::uint32_t ip, Peer&);
    bool isPreferred(std::uint32_t ip) const;
    bool shouldFetchRoutes(std::uint32_t ip, const Peer&) const;
    void handlePollResult(std::uint32_t ip, const base::Result<std::string>&);
    void merge(std::uint32_t ip, Peer&, FleetAnswer);
    void dropStalePeers();

    const base::Clock& clock_;
    PeerLinks& links_;
    const Options options_;
    UpstreamRegistry& registry_;
    const Post post_;
    RoutesHandler routesHandler_;
    LoadProvider loadProvider_;
    std::set<std::uint32_t> seeds_;
    std::map<std::uint32_t, Peer> peers_;
    std::uint64_t routesVersion_ = 0;
    std::map<std::string, UpstreamInFlightLoad> peerLoad_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace arbutus::fleet
