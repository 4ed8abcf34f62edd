#pragma once

#include "include/base/Clock.h"
#include "include/fleet/ConfigurationProof.h"
#include "include/fleet/CrashReportRegistry.h"
#include "include/fleet/FleetMessages.h"
#include "include/fleet/TrafficAccount.h"
#include "include/fleet/UpstreamRegistry.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace arbutus::fleet {

// Long-polls every known control VM and merges the answers into a registry. Each
// control VM has at most one outstanding poll. Not thread-safe: all calls and callbacks
// run on the owner's event loop, to which `post` schedules tasks from any thread.
class FleetPoller {
public:
    struct Options {
        std::string self;
        bool isEntry = false;
        // The address of this control VM, which is not polled. 0 on an entry VM.
        std::uint32_t ownIp = 0;
        // The data centre of this VM.
        std::string dataCentre;
        // Differs at each start of the process.
        std::uint32_t incarnation = 0;
        // How long after its confirmation a configuration may come into force here.
        std::chrono::milliseconds routesApplyTime { 2000 };
    };
    using Post = std::function<void(std::function<void()>)>;
    // Sends an encoded poll to the control VM at `ip`. The callback runs once, on any
    // thread, no later than shortly after the timeout. Returns false, without a call, if
    // no connection to that address can be created.
    using SendPoll = std::function<bool(std::uint32_t ip, std::string poll, std::chrono::milliseconds timeout, std::function<void(base::Result<std::string>)>)>;
    // How a route configuration reached this VM.
    struct RoutesDelivery {
        // Since a control VM first announced a version above the one in force.
        std::chrono::milliseconds delay {};
        // Compressed configurations received since the last version was adopted, repeated
        // and older ones included.
        std::uint64_t documents = 0;
        std::uint64_t documentBytes = 0;
        std::uint64_t failedPolls = 0;
    };
    // Returns whether the configuration is now in force on this VM.
    using RoutesHandler = std::function<bool(std::uint64_t version, const std::string& document, const RoutesDelivery&)>;
    using LoadProvider = std::function<std::vector<UpstreamInFlightLoad>()>;
    using DemandProvider = std::function<ServiceDemands()>;
    // Receives the demand at all entry VMs, this one included.
    using DemandHandler = std::function<void(const ServiceDemands&)>;
    using CrashReportsHandler = std::function<void()>;
    using LimitProvider = std::function<RequestLimitReports()>;
    // The permits in the reports were granted by `grantedBy`.
    // Returns whether this VM knows any limit.
    using LimitQuery = std::function<bool()>;
    using HandoverQuery = std::function<bool()>;
    using LimitHandler = std::function<void(const RequestLimitReports&, base::TimePoint grantedBy)>;

    FleetPoller(const base::Clock&, SendPoll, Options, UpstreamRegistry&, CrashReportRegistry&, Post);
    ~FleetPoller();

    // Sets the callbacks of an entry VM. The handler receives new route configurations;
    // the provider returns the in-flight load to report.
    void setEntryHooks(RoutesHandler, LoadProvider);
    // Sets what is called when an answer has changed the crash reports, before a
    // configuration in the same answer comes into force.
    void setCrashReportsHandler(CrashReportsHandler);
    // Sets how limits of upstreams are exchanged with the preferred control VM. The handler
    // is called for each of its answers. While the query returns true, that control VM is
    // polled as often as the load source.
    void setLimitHooks(LimitProvider, LimitHandler, LimitQuery);
    // Sets how the demand is exchanged with the load source. The handler is called for each of
    // its answers.
    void setDemandHooks(DemandProvider, DemandHandler);
    // Sets whether this entry VM takes requests that others hand over, at `ip`, and whether it
    // needs a fresh list of others that do.
    void setHandoverHooks(std::uint32_t ip, HandoverQuery accepts, HandoverQuery isUrgent);
    // Returns the IP addresses of some entry VMs that took requests of others lately.
    const std::vector<std::uint32_t>& handoverPeers() const { return handoverPeers_; }
    // Sets where polls and answers are counted.
    void setTraffic(TrafficAccount& traffic) { traffic_ = &traffic; }
    // Sets the initial control VMs. Control VMs listed in answers are polled as well.
    void setSeeds(const std::vector<std::uint32_t>& ips);
    // Starts the polls that are due. Must be called several times a second.
    void tick();
    // Sends the polls that must not wait until outstanding ones are answered: to a new load
    // source, to the control VM that divides the permits once there is a limit, and to all
    // once an upstream is known to leave or to be gone. tick() calls this; it may be called
    // more often.
    void sendUrgentPolls();

    // Sends changed crash reports to the preferred control VM at once. Its outstanding poll
    // may be answered only after other VMs have sent such requests.
    void sendCrashReports();

    // Tells the control VMs, with the polls of the next seconds, that an upstream has
    // announced its leave to this VM.
    void reportLeave(UpstreamProcess);

    // Returns whether the control VM at `ip` has answered at or after `since`.
    bool hasHeardFrom(std::uint32_t ip, base::TimePoint since) const;
    // Whether the configuration in force here may have been replaced for too long: a majority of
    // the control VMs answers, and no answer proves that it was the newest one within the apply
    // time. While fewer answer, this VM is out of touch and uses what it has.
    bool mayRoutesBeOutdated() const;
    // Returns the largest number of entry VMs that any control VM reports, at least 1.
    std::uint32_t entryVmCount() const;
    // Counts the answers of control VMs.
    std::uint64_t answerCount() const { return answerCount_; }
    // Returns whether every control VM that the seeds or answers have listed lately responds.
    bool doAllControlVmsRespond() const;
    // Returns the in-flight load of the other entry VMs by upstream, from the latest
    // answer of the load source: a responsive control VM of the own data centre if there is
    // one, otherwise any responsive one. While control VMs that this VM reaches do not reach
    // each other, all entry VMs report to the one with the lowest address.
    const std::map<std::string, UpstreamInFlightLoad>& peerLoad() const { return peerLoad_; }
    // Returns whether the peer load has been updated since the last call.
    bool takePeerLoadChange() { return std::exchange(hasNewPeerLoad_, false); }
    // Returns the IP address of the load source, or nullopt while no control VM is responsive;
    // then all are asked for the load.
    std::optional<std::uint32_t> loadSource() const;
    // Returns the addresses of all polled control VMs.
    std::vector<std::uint32_t> knownReplicas() const;

private:
    struct Peer {
        // The control VMs whose load the peer lacks, and since when it has said so.
        std::map<std::uint32_t, base::TimePoint> silentSince;
        bool isPolling = false;
        // Counts the polls. Only the answer to the latest one is used.
        std::uint64_t pollNumber = 0;
        // Whether the last answered poll failed.
        bool hasFailed = false;
        // From its answers.
        std::string dataCentre;
        // Of the peers that are otherwise equal, the one with the highest is the load source.
        std::uint64_t weight = 0;
        base::TimePoint nextPollAt;
        base::TimePoint lastHeardAt;
        std::uint64_t epoch = 0;
        std::uint64_t revision = 0;
        std::uint64_t routesVersion = 0;
        // When this peer first announced a route version above the one in force.
        std::optional<base::TimePoint> newerRoutesSince;
        // Whether the outstanding poll asks for a route configuration.
        bool isFetchingRoutes = false;
        // When the latest poll was sent.
        base::TimePoint polledAt;
        // Whether the outstanding poll asks for the load of the other entry VMs.
        bool isFetchingPeerLoad = false;
        // Whether the outstanding poll asks for permits, and whether it reports limits.
        bool isFetchingPermits = false;
        bool isFetchingHandoverPeers = false;
        bool hasSentLimits = false;
        // How long the peer may wait before it answers the outstanding poll.
        std::chrono::milliseconds pollWait {};
        // How many reports of processes this VM had made when the outstanding poll was sent.
        std::uint64_t sentReports = 0;
        // The peer's revision of limits that this VM knows.
        std::uint64_t limitRevision = 0;
        // Whether the next poll should tell the processes of upstreams.
        bool wantsProcesses = false;
        std::uint32_t entryVmCount = 0;
        // The peer's revision of crash reports that this VM knows.
        std::uint64_t crashRevision = 0;
        // The own revision that the outstanding poll brings the peer to, and the one that it
        // has confirmed.
        std::uint64_t sentCrashRevision = 0;
        std::uint64_t confirmedCrashRevision = 0;
        // When an answer or the seeds last listed this peer.
        base::TimePoint lastListedAt;
        // Whether its last answer reported on the newest configuration; earlier builds don't.
        bool hasReportedVersion = false;
    };

    // What is reported of a process until the report expires, oldest first.
    struct ProcessReport {
        UpstreamProcess process;
        base::TimePoint expiresAt;
    };
    using ProcessReports = std::deque<ProcessReport>;

    void addReport(ProcessReports&, UpstreamProcess);
    void expireReports(ProcessReports&) const;
    // Applies a record of an answer. A record of a process that is known to be gone makes
    // this VM report that: the answering VM may have been started since and have received a
    // late heartbeat.
    void mergeUpstream(const UpstreamRecord&);

    // Adds a peer, or refreshes its listing time. The own address is not added.
    void addOrRefreshPeer(std::uint32_t ip);
    void poll(std::uint32_t ip, Peer&);
    // Adds the parts of a poll that depend on the peer's role.
    void addLoad(FleetPoll&, std::uint32_t ip);
    void addLimits(FleetPoll&, std::uint32_t ip, const Peer&);
    void addHandover(FleetPoll&, std::uint32_t ip);
    bool wantsHandoverPeers(std::uint32_t ip) const;
    std::chrono::milliseconds pollWait(const FleetPoll&, const Peer&) const;
    bool isResponsive(const Peer&) const;
    bool isListed(const Peer&) const;
    void updateSilent(Peer&, const std::vector<std::uint32_t>& silent) const;
    // Whether the load that the peer tells lacks that of a control VM that has answered this VM
    // since. One that is lost does not.
    bool lacksLoad(const Peer&) const;
    // Returns the responsive control VM with the lowest address.
    std::optional<std::uint32_t> lowestResponsive() const;
    bool isPreferred(std::uint32_t ip) const;
    bool needsUrgentPoll(std::uint32_t ip, const Peer&) const;
    bool shouldFetchRoutes(std::uint32_t ip, const Peer&) const;
    void handlePollResult(std::uint32_t ip, std::uint64_t pollNumber, const base::Result<std::string>&);
    void merge(std::uint32_t ip, Peer&, FleetAnswer);
    void countAnswer(std::uint32_t ip, const FleetAnswer&, std::size_t bytes);
    void mergePeerLoad(std::uint32_t ip, const Peer&, FleetAnswer&);
    void mergeCrashReports(Peer&, const FleetAnswer&);
    void adoptRoutes(const FleetAnswer&);
    bool isFetchingRoutesFromOther(std::uint32_t ip) const;
    void dropStalePeers();

    const base::Clock& clock_;
    const SendPoll sendPoll_;
    const Options options_;
    UpstreamRegistry& registry_;
    CrashReportRegistry& crashReports_;
    const Post post_;
    RoutesHandler routesHandler_;
    LoadProvider loadProvider_;
    CrashReportsHandler crashReportsHandler_;
    DemandProvider demandProvider_;
    DemandHandler demandHandler_;
    LimitProvider limitProvider_;
    LimitHandler limitHandler_;
    LimitQuery limitQuery_;
    TrafficAccount* traffic_ = nullptr;
    std::set<std::uint32_t> seeds_;
    std::map<std::uint32_t, Peer> peers_;
    // The configuration in force on this VM. Newer versions are fetched relative to it.
    std::uint64_t routesVersion_ = 0;
    std::string routesDocument_;
    ConfigurationProof routesProof_;
    // A relative configuration could not be decoded.
    bool needsWholeRoutes_ = false;
    RoutesDelivery delivery_;
    std::map<std::string, UpstreamInFlightLoad> peerLoad_;
    bool hasNewPeerLoad_ = false;
    std::uint64_t loadRevision_ = 0;
    std::uint64_t answerCount_ = 0;
    std::uint32_t handoverIp_ = 0;
    HandoverQuery acceptsHandovers_;
    HandoverQuery needsHandoverPeers_;
    std::vector<std::uint32_t> handoverPeers_;
    // When the list was received last; it is asked for again some time later.
    base::TimePoint handoverPeersAt_;
    ProcessReports leaveReports_;
    ProcessReports goneReports_;
    std::uint64_t reportCount_ = 0;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace arbutus::fleet
