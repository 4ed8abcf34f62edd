#pragma once

#include "include/base/Random.h"
#include "include/base/Time.h"
#include "include/fleet/ServiceDemand.h"
#include "include/fleet/UpstreamRecord.h"
#include "include/routes/RouteConfiguration.h"
#include "include/routing/CrossSitePlanner.h"
#include "include/routing/DecayedRate.h"
#include "include/routing/RefusalTracker.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace arbutus::routing {

// One stage of a path: the layers that one engine runs.
struct PathStage {
    std::string upstream;
    net::Endpoint endpoint;
    fleet::LayerRange layers;
    // Last time any stream of this VM made progress through this engine. Shared by
    // all paths that use the engine.
    std::shared_ptr<base::TimePoint> progressAt;
};

using LayerPath = std::vector<PathStage>;

// Prompt length and expected answer length of a request, in tokens.
struct StreamSize {
    double prompt = 0;
    double answer = 0;
};

// In-flight load at one engine.
struct InFlightLoad {
    double running = 0;
    // Reserved key-value cache, in tokens times layers.
    double cacheTokenLayers = 0;
    // Streams that the engine refused for lack of memory or slots in the last 500 ms.
    double refusals = 0;
};

// Selects the path of engines for a stream. A path covers every layer exactly once
// and in order, and each of its engines has enough free cache memory. Among these,
// the path with the lowest expected time is chosen, with a preference for this VM's
// data centre. The load at an engine is this VM's own load plus the load that the
// other entry VMs report (the peer load). Where the model lists delays between data centres,
// a plan from the demand in all of them says in which one a stream begins.
class LayerPathSelector {
public:
    // Types of the search; public only for its helper functions.
    struct Engine {
        fleet::UpstreamRecord record;
        double megabytes = 0;
        double stepTimeFactor = 1;
        double prefillTimeFactor = 1;
        std::shared_ptr<base::TimePoint> progressAt;
    };
    struct SearchPosition {
        int layer = 0;
        std::string dataCentre;
        friend bool operator<(const SearchPosition& left, const SearchPosition& right) { return std::tie(left.layer, left.dataCentre) < std::tie(right.layer, right.dataCentre); }
    };
    struct SearchStep {
        double cost = 0;
        // Milliseconds per token over the stages so far.
        double tokenTime = 0;
        const Engine* engine = nullptr;
        SearchPosition previous;
    };

    // Different VMs need different seeds, so that they do not choose alike.
    LayerPathSelector(routes::LayeredModel model, std::string dataCentre, std::uint64_t seed)
        : model_(std::move(model))
        , dataCentre_(std::move(dataCentre))
        , random_(seed)
        , planner_(dataCentre_)
        , shareSequence_(base::Random(~seed).unit())
    {
    }

    void setModel(routes::LayeredModel model) { model_ = std::move(model); }
    const routes::LayeredModel& model() const { return model_; }

    // Adds or replaces an engine. An engine that is not ready, holds no layers or some
    // that the model lacks, or has an unknown accelerator kind is removed.
    void setEngine(const fleet::UpstreamRecord&);
    void removeEngine(const std::string& upstream);
    // Sets the number of entry VMs that place streams on the same engines.
    void setEntryVmCount(std::uint32_t count) { entryVmCount_ = count; }
    // Call when a request for the service arrives at this VM.
    void requestArrived(base::TimePoint now) { arrivals_.add(1, now); }
    // Sets the load that other entry VMs report, by engine.
    void setPeerLoad(std::map<std::string, InFlightLoad>, base::TimePoint now);

    // Sets the time to the first event that callers expect.
    void setFirstEventAim(FractionalMilliseconds aim) { aims_.firstEvent = aim; }
    // Sets the demand for the service over all entry VMs. Rows of other services must be left
    // out. Without a call for 2 s, without delays of this data centre or typical sizes in the
    // model, there is no plan, and a first engine elsewhere has a fixed cost.
    void setDemand(const fleet::ServiceDemands&, base::TimePoint now);
    // Returns the planned share of streams for each other data centre; null without a plan.
    const CrossSitePlanner::Shares* plannedShares(base::TimePoint now) const;
    // Returns how many streams were placed on a first engine in another data centre.
    std::uint64_t crossedStreams() const { return crossedStreams_; }

    // Excludes an engine from selection until `until`. Call after a failure on it.
    void markSuspect(const std::string& upstream, base::TimePoint until);

    // Sets whether refusals steer the choice. They are recorded and reported in any case.
    void setLimitsRefusing(bool limits) { limitsRefusing_ = limits; }
    // Call when an engine has refused a stream for lack of memory or slots, or because it does
    // not hold the layers. If refusals steer the choice, it counts as fuller than reported for
    // a while, and all entry VMs together try it at a limited rate.
    void recordRefusal(const std::string& upstream, base::TimePoint now) { refusals_.record(upstream, now); }

    // Returns the cheapest of some paths without suspect engines and those in `avoided`, or
    // nullopt if no complete path has enough capacity. The paths begin at copies drawn at
    // random, the fewer the more streams the other VMs place unseen, and have room for those
    // too. If none of them has, all paths are tried. With a plan, the copies of one data centre
    // are tried first.
    std::optional<LayerPath> choose(const StreamSize&, const std::set<std::string>& avoided, base::TimePoint now);
    // Whether any complete path without suspect engines and those in `avoided` exists,
    // regardless of capacity.
    bool hasPath(const std::set<std::string>& avoided, base::TimePoint now) const;
    // Returns how many more streams of the model's typical size fit into the engines' memory
    // and slots, over complete copies without suspect engines.
    double freeStreams(base::TimePoint now) const;
    // Adds a stream to the load of the engines on its path, or removes it. Both calls
    // must get the same arguments.
    void reserve(const LayerPath&, const StreamSize&);
    void release(const LayerPath&, const StreamSize&);

    // Load of this VM's own streams and refusals of such, by engine.
    std::map<std::string, InFlightLoad> ownLoad(base::TimePoint now) const;

private:
    using EngineSet = std::set<const Engine*>;
    // What other entry VMs place on the engines to choose among.
    struct Competition {
        // Streams that they have placed since they reported their load.
        double unseen = 0;
        // How many times as likely a copy of this VM's data centre is drawn.
        double localWeight = 1;
        // The part of the unseen streams that may have taken the same copy.
        double contestedShare = 1;
    };

    InFlightLoad loadAt(const std::string& upstream) const;
    // Returns the known load, raised to what recent refusals show.
    InFlightLoad believedLoad(const Engine&, base::TimePoint now) const;
    double cacheCapacity(const Engine&) const;
    bool hasCapacity(const Engine&, int layers, const StreamSize&, const InFlightLoad&, double unseen) const;
    double tokenMilliseconds(const Engine&, int layers, const InFlightLoad&) const;
    double prefillMilliseconds(const Engine&, int layers, double prompt) const;
    double stageCost(const Engine&, int layers, const StreamSize&, const InFlightLoad&) const;
    double linkCost(const Engine* previous, const Engine& next, const StreamSize&) const;
    std::vector<const Engine*> usableEngines(const std::set<std::string>& avoided, base::TimePoint now) const;
    // Returns the engines that have recently refused streams and are not to be tried now. Some
    // such engines are left out at random, so that all entry VMs together try them at times.
    EngineSet drawRefusing(const std::vector<const Engine*>&, base::TimePoint now);
    // Returns how many streams the other entry VMs are expected to have placed since they
    // reported their load.
    double unseenStreams(base::TimePoint now) const;
    // Returns the engines without some of those that a path may begin with, chosen at random.
    // If all VMs took the best path that they know of, it would be full before they learn of
    // each other's choice.
    std::vector<const Engine*> drawCandidates(const std::vector<const Engine*>&, const Competition&);
    std::optional<LayerPath> chooseAmong(const std::vector<const Engine*>&, const EngineSet& refusing, const StreamSize&, const Competition&, base::TimePoint now);
    std::optional<LayerPath> chooseByPlan(std::vector<const Engine*>, const EngineSet& refusing, const StreamSize&, base::TimePoint now);
    // Returns the demand by data centre and the capacity of the copies that begin there.
    DataCentreStates dataCentreStates(const fleet::ServiceDemands&, base::TimePoint now) const;
    EngineShare engineShare(const Engine&, base::TimePoint now) const;
    bool isSuspect(const std::string& upstream, base::TimePoint now) const;
    // Without `unseen`, the path needs no capacity; else it needs room for the stream and as
    // many others of its size.
    std::optional<LayerPath> search(const std::vector<const Engine*>&, const StreamSize&, std::optional<double> unseen, base::TimePoint now) const;

    routes::LayeredModel model_;
    std::string dataCentre_;
    std::map<std::string, Engine> engines_;
    std::map<std::string, InFlightLoad> ownLoad_;
    std::map<std::string, InFlightLoad> peerLoad_;
    std::map<std::string, base::TimePoint> suspectUntil_;
    bool limitsRefusing_ = false;
    RefusalTracker refusals_;
    base::TimePoint lastChoiceAt_;
    base::Random random_;
    StreamAims aims_;
    CrossSitePlanner planner_;
    ShareSequence shareSequence_;
    // Set while there is a plan.
    std::optional<base::TimePoint> demandAt_;
    base::TimePoint nextPlanAt_;
    std::uint64_t crossedStreams_ = 0;
    std::uint32_t entryVmCount_ = 1;
    DecayedRate arrivals_;
};

} // namespace arbutus::routing
