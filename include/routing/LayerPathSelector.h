#pragma once

#include "include/base/Random.h"
#include "include/base/Time.h"
#include "include/fleet/UpstreamRecord.h"
#include "include/routes/RouteConfiguration.h"
#include "include/routing/DecayedRate.h"

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
// other entry VMs report (the peer load).
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
    void setPeerLoad(std::map<std::string, InFlightLoad> load) { peerLoad_ = std::move(load); }

    // Excludes an engine from selection until `until`. Call after a failure on it.
    void markSuspect(const std::string& upstream, base::TimePoint until);

    // Returns the cheapest of some paths without suspect engines and those in `avoided`, or
    // nullopt if no complete path has enough capacity. The paths begin at copies drawn at
    // random, the fewer the more streams the other VMs place unseen, and have room for those
    // too. If none of them has, all paths are tried.
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

    // Load of this VM's own streams, by engine.
    const std::map<std::string, InFlightLoad>& ownLoad() const { return ownLoad_; }

private:
    InFlightLoad loadAt(const std::string& upstream) const;
    double cacheCapacity(const Engine&) const;
    bool hasCapacity(const Engine&, int layers, const StreamSize&, const InFlightLoad&, double unseen) const;
    double tokenMilliseconds(const Engine&, int layers, const InFlightLoad&) const;
    double stageCost(const Engine&, int layers, const StreamSize&, const InFlightLoad&) const;
    double linkCost(const Engine* previous, const Engine& next, const StreamSize&) const;
    std::vector<const Engine*> usableEngines(const std::set<std::string>& avoided, base::TimePoint now) const;
    // Returns how many streams the other entry VMs are expected to have placed since they
    // reported their load.
    double unseenStreams(base::TimePoint now) const;
    // Returns the engines without some of those that a path may begin with, chosen at random.
    // If all VMs took the best path that they know of, it would be full before they learn of
    // each other's choice.
    std::vector<const Engine*> drawCandidates(const std::vector<const Engine*>&, double unseen);
    // Without `unseen`, the path needs no capacity; else it needs room for the stream and as
    // many others of its size.
    std::optional<LayerPath> search(const std::vector<const Engine*>&, const StreamSize&, std::optional<double> unseen) const;

    routes::LayeredModel model_;
    std::string dataCentre_;
    std::map<std::string, Engine> engines_;
    std::map<std::string, InFlightLoad> ownLoad_;
    std::map<std::string, InFlightLoad> peerLoad_;
    std::map<std::string, base::TimePoint> suspectUntil_;
    base::Random random_;
    std::uint32_t entryVmCount_ = 1;
    DecayedRate arrivals_;
};

} // namespace arbutus::routing
