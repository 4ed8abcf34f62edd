#pragma once

#include "include/fleet/PeerLoadTable.h"

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace arbutus::fleet {

// Tells the other control VMs of the load that entry VMs report to this one, as changes
// that are encoded once for all, and merges what they tell into a table. An update that
// does not follow the previous one makes this VM ask its sender for a whole one.
class LoadExchange {
public:
    // How often tick() must be called.
    static constexpr std::chrono::milliseconds interval { 60 };
    // What a control VM has told is dropped if nothing follows within this time.
    static constexpr std::chrono::milliseconds sourceTimeout { 1200 };

    using Send = std::function<void(std::uint32_t ip, const std::string& update)>;

    // `epoch` must differ at every start of the process. The table must outlive this object.
    LoadExchange(PeerLoadTable& table, std::uint64_t epoch)
        : table_(table)
        , epoch_(epoch)
    {
    }

    // Sets the IP address of this control VM.
    void setSelf(std::uint32_t ip) { self_ = ip; }
    // Sets the demand summed over the entry VMs that report to this control VM.
    void setOwnDemand(ServiceDemands demand) { ownDemand_ = std::move(demand); }
    // Returns the demand that the other control VMs have told, summed by service, data centre
    // and priority.
    ServiceDemands peerDemand() const;

    // Returns the control VMs of the last tick() from which no update has arrived lately, so
    // that the load that entry VMs report to them may be missing here.
    std::vector<std::uint32_t> silentControlVms(base::TimePoint now) const;

    // Sends an update to each of the control VMs if there is anything to tell.
    void tick(const std::vector<std::uint32_t>& controlVms, const Send&, base::TimePoint now);
    void receive(LoadUpdate, base::TimePoint now);

private:
    struct Source {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        // When the last update was merged.
        base::TimePoint updatedAt;
        // An update was lost.
        bool needsWhole = false;
        ServiceDemands demand;
    };
    struct Told {
        std::uint32_t incarnation = 0;
        std::uint64_t revision = 0;
        std::vector<UpstreamInFlightLoad> load;
    };

    void dropSilentSources(base::TimePoint now);
    // Returns what has changed since the last update, which counts as told from now on.
    LoadUpdate takeChanges(base::TimePoint now);
    void takeLoadChanges(LoadUpdate&);
    void takeReleased(LoadUpdate&);
    void takeDemand(LoadUpdate&, base::TimePoint now);
    LoadUpdate whole(const LoadUpdate&) const;
    bool mayMerge(const Source&, const LoadUpdate&) const;
    void merge(Source&, LoadUpdate, base::TimePoint now);

    PeerLoadTable& table_;
    const std::uint64_t epoch_;
    std::uint32_t self_ = 0;
    std::uint64_t sequence_ = 0;
    base::TimePoint sentAt_;
    // What the last updates say of the entry VMs that report to this control VM.
    std::map<std::string, Told> told_;
    ServiceDemands ownDemand_;
    base::TimePoint demandSentAt_;
    bool hasToldDemand_ = false;
    std::vector<std::uint32_t> controlVms_;
    std::map<std::uint32_t, Source> sources_;
    // The control VMs that have asked for a whole update, and when each got one last.
    std::set<std::uint32_t> wholeRequests_;
    std::map<std::uint32_t, base::TimePoint> wholeSentAt_;
};

} // namespace arbutus::fleet
