#pragma once

#include "include/fleet/CrashReportRegistry.h"
#include "include/fleet/DemandTable.h"
#include "include/fleet/FleetMessages.h"
#include "include/fleet/HandoverDirectory.h"
#include "include/fleet/LoadExchange.h"
#include "include/fleet/PeerLoadTable.h"
#include "include/fleet/RequestPermitAllocator.h"
#include "include/fleet/RoutesPublisher.h"
#include "include/fleet/TrafficAccount.h"
#include "include/fleet/UpstreamRegistry.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace arbutus::fleet {

// Answers fleet polls on a control VM. A poll is answered immediately if there are
// changes for its sender, otherwise on the next change or when its maximum wait has
// elapsed.
class FleetPollServer {
public:
    using Reply = std::function<void(std::string)>;

    // How often answerPendingPolls() must be called. It answers the polls whose maximum wait
    // ends next to its call, so that polls for load keep their period. Polls of many entry VMs
    // are answered together, which takes fewer wake-ups.
    static constexpr std::chrono::milliseconds answerInterval = LoadExchange::interval;

    // What was sent to pollers. Bytes exclude frame headers.
    struct SentTotals {
        std::uint64_t answers = 0;
        std::uint64_t answerBytes = 0;
        std::uint64_t routeDocuments = 0;
        std::uint64_t routeDocumentBytes = 0;
    };

    // `epoch` must differ at every start of the process. The registries must outlive this
    // object. Route configurations take at most `routesBytesPerSecond`.
    FleetPollServer(UpstreamRegistry& registry, CrashReportRegistry& crashReports, std::uint64_t epoch, double routesBytesPerSecond)
        : registry_(registry)
        , crashReports_(crashReports)
        , epoch_(epoch)
        , routesPublisher_(routesBytesPerSecond)
        , loadExchange_(peerLoad_, epoch)
    {
    }

    void setRoutes(std::uint64_t version, std::shared_ptr<const std::string> document) { routesPublisher_.setRoutes(version, std::move(document)); }
    // Sets whether this VM's state is current, at its start not. While it is not, the stored
    // configuration may have been replaced and known upstreams may have left: VMs that know
    // nothing yet are told no configuration, and of upstreams only those that leave or are
    // lost. The others are told of changes.
    void setCurrent(bool isCurrent, base::TimePoint now);
    // Sets what tells entry VMs of the newest configuration, with each answer.
    void setVersionReporter(std::function<VersionReport()> reporter) { versionReporter_ = std::move(reporter); }
    void setReplicas(std::vector<std::uint32_t> ips) { replicas_ = std::move(ips); }
    // Whether this VM knows the processes of upstreams that entry VMs know: some of them have
    // told it since its state became current, or none has for a while.
    bool hasLearnedProcesses(base::TimePoint now) const;
    // Sets the data centre of this VM, which the answers state.
    void setDataCentre(std::string dataCentre) { dataCentre_ = std::move(dataCentre); }
    // Sets where answers are counted.
    void setTraffic(TrafficAccount& traffic) { traffic_ = &traffic; }
    // Exchanges the load of the entry VMs with the other control VMs.
    LoadExchange& loadExchange() { return loadExchange_; }

    // Calls the reply now, or keeps it until answerPendingPolls() calls it. A poll that
    // brings crash reports, leaves or departures also has the pending ones answered.
    void poll(FleetPoll, Reply, base::TimePoint now);
    // Answers every pending poll that has changes to receive or whose deadline has passed.
    void answerPendingPolls(base::TimePoint now);

    // Returns what was sent since the last call.
    SentTotals takeSentTotals() { return std::exchange(sent_, {}); }

private:
    struct PendingPoll {
        FleetPoll poll;
        Reply reply;
        base::TimePoint deadline;
    };
    // Returns the version that the poller may be told, or 0. A poller that has a version gains
    // from a later one, also if that has been replaced.
    std::uint64_t announcedRoutesVersion(const FleetPoll& poll) const { return isCurrent_ || poll.routesVersion ? routesPublisher_.version() : 0; }
    // Whether the poller may be told of every upstream.
    bool mayTellUpstreams(const FleetPoll& poll) const { return isCurrent_ || (poll.epoch == epoch_ && poll.revision); }
    void addUpstreams(FleetAnswer&, const FleetPoll&) const;
    bool hasUpdates(const FleetPoll&, base::TimePoint now) const;
    bool shouldSendRoutes(const FleetPoll&, base::TimePoint now) const;
    void sendAnswer(const FleetPoll&, const Reply&, base::TimePoint now);
    FleetAnswer answer(const FleetPoll&, base::TimePoint now);

    void applyLoad(FleetPoll&, base::TimePoint now);
    void applyDemand(const FleetPoll&, base::TimePoint now);
    // Adds the demand at all entry VMs.
    void addDemand(FleetAnswer&) const;
    void expire(base::TimePoint now);

    // Each returns whether the poll brings anything new.
    bool applyCrashReports(const FleetPoll&, base::TimePoint now);
    bool applyLeaves(const FleetPoll&, base::TimePoint now);
    bool applyDepartures(const FleetPoll&, base::TimePoint now);
    void learnProcesses(const FleetPoll&);

    UpstreamRegistry& registry_;
    CrashReportRegistry& crashReports_;
    const std::uint64_t epoch_;
    RoutesPublisher routesPublisher_;
    bool isCurrent_ = false;
    std::function<VersionReport()> versionReporter_;
    // The entry VMs that have told the processes which they know, and until when to wait for
    // more.
    std::set<std::string> informants_;
    base::TimePoint informationDeadline_;
    std::vector<std::uint32_t> replicas_;
    std::string dataCentre_;
    TrafficAccount* traffic_ = nullptr;
    std::list<PendingPoll> pendingPolls_;
    PeerLoadTable peerLoad_;
    DemandTable demand_;
    HandoverDirectory handoverDirectory_;
    LoadExchange loadExchange_;
    RequestPermitAllocator permitAllocator_;
    base::TimePoint nextExpiryAt_;
    SentTotals sent_;
};

} // namespace arbutus::fleet
