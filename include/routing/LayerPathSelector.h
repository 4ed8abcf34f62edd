#pragma once

#include "include/base/Time.h"
#include "include/fleet/UpstreamRecord.h"
#include "include/routes/RouteConfiguration.h"

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

    LayerPathSelector(routes::LayeredModel model, std::string dataCentre)
        : model_(std::move(model))
        , dataCentre_(std::move(dataCentre))
    {
    }

    void setModel(routes::LayeredModel model) { model_ = std::move(model); }
    const routes::LayeredModel& model() const { return model_; }

    // Adds or replaces an engine. An engine that is not ready, holds no layers or some
    // that the model lacks, or has an unknown accelerator kind is removed.
    void setEngine(const fleet::UpstreamRecord&);
    void removeEngine(const std::string& upstream);
    // Sets the load that other entry VMs report, by engine.
    void setPeerLoad(std::map<std::string, InFlightLoad> load) { peerLoad_ = std::move(load); }

    // Excludes an engine from selection until `until`. Call after a failure on it.
    void markSuspect(const std::string& upstream, base::TimePoint until);

    // Returns the cheapest path without suspect engines and those in `avoided`, or
    // nullopt if no complete path has enough capacity.
    std::optional<LayerPath> choose(const StreamSize&, const std::set<std::string>& avoided, base::TimePoint now) const;
    // Whether any complete path without suspect engines and those in `avoided` exists,
    // regardless of capacity.
    bool hasPath(const std::set<std::string>& avoided, base::TimePoint now) const;
    // Adds a stream to the load of the engines on its path, or removes it. Both calls
    // must get the same arguments.
    void reserve(const LayerPath&, const StreamSize&);
    void release(const LayerPath&, const StreamSize&);

    // Load of this VM's own streams, by engine.
    const std::map<std::string, InFlightLoad>& ownLoad() const { return ownLoad_; }

private:
    InFlightLoad loadAt(const std::string& upstream) const;
    double cacheCapacity(const Engine&) const;
    bool hasCapacity(const Engine&, int layers, const StreamSize&, const InFlightLoad&) const;
    double tokenMilliseconds(const Engine&, int layers, const InFlightLoad&) const;
    double stageCost(const Engine&, int layers, const StreamSize&, const InFlightLoad&) const;
    double linkCost(const Engine* previous, const Engine& next, const StreamSize&) const;
    std::vector<const Engine*> usableEngines(const std::set<std::string>& avoided, base::TimePoint now) const;
    std::optional<LayerPath> search(const std::vector<const Engine*>&, const StreamSize&, bool requiresCapacity) const;

    routes::LayeredModel model_;
    std::string dataCentre_;
    std::map<std::string, Engine> engines_;
    std::map<std::string, InFlightLoad> ownLoad_;
    std::map<std::string, InFlightLoad> peerLoad_;
    std::map<std::string, base::TimePoint> suspectUntil_;
};

} // namespace arbutus::routing
