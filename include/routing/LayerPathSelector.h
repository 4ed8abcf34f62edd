#pragma once

#include "include/base/Time.h"
#include "include/fleet/UpstreamFact.h"
#include "include/routes/RouteConfiguration.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace arbutus::routing {

// A part of a path: the layers that one engine runs.
struct PathStage {
    std::string upstream;
    net::Endpoint endpoint;
    fleet::LayerRange layers;
    // When any stream of this VM last got something through this engine; shared by
    // all paths that use it.
    std::shared_ptr<base::TimePoint> progressAt;
};

using LayerPath = std::vector<PathStage>;

// The size of a request, in tokens.
struct StreamSize {
    double prompt = 0;
    double answer = 0;
};

// The work at one engine.
struct InFlightLoad {
    double running = 0;
    // Reserved cache, in tokens times layers.
    double cacheTokenLayers = 0;
};

// Chooses the engines that an answer's tokens run through: every layer once and
// in order, with room in the memory of each engine, the least expected time, and
// the caller's data centre where that costs little. It counts what this VM has
// sent itself and what others say that they have sent.
class LayerPathSelector {
public:
    // Internal to the search.
    struct Engine {
        fleet::UpstreamFact fact;
        double megabytes = 0;
        double pace = 1;
        double readFactor = 1;
        std::shared_ptr<base::TimePoint> progressAt;
    };
    struct SearchPosition {
        int layer = 0;
        std::string dataCentre;
        friend bool operator<(const SearchPosition& left, const SearchPosition& right) { return std::tie(left.layer, left.dataCentre) < std::tie(right.layer, right.dataCentre); }
    };
    struct SearchStep {
        double cost = 0;
        // Time of one token so far.
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

    // Replaces what is known of one engine; an engine that takes no work is removed.
    void setEngine(const fleet::UpstreamFact&);
    void removeEngine(const std::string& upstream);
    void setRemoteLoad(std::map<std::string, InFlightLoad> load) { remoteLoad_ = std::move(load); }

    // Avoids an engine until `until`, after a failure on it.
    void markSuspect(const std::string& upstream, base::TimePoint until);
    void clearSuspect(const std::string& upstream) { suspectUntil_.erase(upstream); }

    // Returns nothing if no complete path has room. Engines in `avoided` are left out.
    std::optional<LayerPath> choose(const StreamSize&, const std::set<std::string>& avoided, base::TimePoint now) const;
    // Whether any complete path exists, with room or not.
    bool hasPath(base::TimePoint now) const;
    void reserve(const LayerPath&, const StreamSize&);
    void release(const LayerPath&, const StreamSize&);

    // What this VM has at each engine.
    const std::map<std::string, InFlightLoad>& localLoad() const { return localLoad_; }

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
    std::map<std::string, InFlightLoad> localLoad_;
    std::map<std::string, InFlightLoad> remoteLoad_;
    std::map<std::string, base::TimePoint> suspectUntil_;
};

} // namespace arbutus::routing
