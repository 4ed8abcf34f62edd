#pragma once

#include "include/base/Error.h"
#include "include/base/Random.h"
#include "include/routing/RoundTripEstimator.h"
#include "include/routing/UpstreamLoad.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace arbutus::routing {

// A contiguous range of a model's layers; both ends are inclusive.
struct LayerRange {
    std::string model;
    std::string version;
    std::size_t first = 0;
    std::size_t last = 0;
};

struct EngineInfo {
    std::string id;
    std::string dataCentre;
    AcceleratorKind kind = 0;
    std::vector<LayerRange> ranges;
    bool isLeaving = false;
};

// Content of an engine's prefix cache event. Events may be late or missing, so this is only a hint.
struct PrefixHint {
    std::string engine;
    std::size_t cachedTokens = 0;
};

// Upper bound of PipelineQuery::expectedTokens for a resumed stream. Its caller is
// waiting for the next token, and all streams of an engine that crashed prefill at the
// same time. A low value keeps these prefills from queueing on the fastest engines.
constexpr std::size_t maxResumeExpectedTokens = 4;

struct PipelineQuery {
    std::string model;
    std::string version;
    std::size_t layerCount = 0;
    std::size_t promptTokens = 0;
    std::size_t expectedTokens = 1;
    // Upstreams already tried, or reserved for crash suspects.
    std::vector<std::string> excluded;
    std::vector<PrefixHint> prefixHints;
};

struct Stage {
    std::string engine;
    std::size_t first = 0;
    std::size_t last = 0;
};

struct Pipeline {
    std::vector<Stage> stages;
    // Sum over the stages.
    std::chrono::nanoseconds timeToFirstToken {};
    // Combines the stage times according to PipelineSelector::Options::stageSumWeight.
    std::chrono::nanoseconds timeBetweenTokens {};
    // Time to the last expected token.
    std::chrono::nanoseconds completionTime {};
};

// Holds the engines known to this VM and selects pipelines among them. Not thread-safe.
class PipelineSelector {
public:
    struct Options {
        // Maximum number of candidates per layer range, chosen among the available
        // engines by rendezvous hashing.
        std::size_t maxCandidates = 16;
        // Costs that differ by less than this fraction count as equal. The fraction
        // grows with the age of the load report, by `staleTolerance` at `staleAge`
        // and beyond.
        double tolerance = 0.05;
        double staleTolerance = 0.25;
        std::chrono::nanoseconds staleAge = std::chrono::seconds(1);
        // How stage times combine into the time between tokens: 0 uses the slowest
        // stage, 1 the sum of all stages. docs/routing.md compares the two.
        double stageSumWeight = 0;
    };

    PipelineSelector(std::string nodeId, std::string dataCentre, const Options&, std::uint64_t seed);

    // Adds an engine, or replaces its announced properties. Learned load and speed
    // are kept unless the accelerator kind changes.
    void setEngine(const EngineInfo&);
    void removeEngine(const std::string& id);
    void setLeaving(const std::string& id, bool isLeaving);
    std::size_t engineCount() const { return engines_.size(); }

    // Returns nullptr if the engine is unknown.
    UpstreamLoad* load(const std::string& id);
    RoundTripEstimator& roundTrips() { return roundTrips_; }

    // Returns a pipeline whose expected completion time is the shortest within the
    // tolerance. Fails with NoUpstream, which names the layers that no available
    // engine holds.
    base::Result<Pipeline> select(const PipelineQuery&, base::TimePoint now);

private:
    struct Engine {
        EngineInfo info;
        UpstreamLoad load;
        std::uint64_t rank;
    };
    struct EngineGroup {
        std::size_t first;
        std::size_t last;
        // Sorted by rendezvous rank.
        std::vector<Engine*> engines;
    };
    // A pipeline from layer 0 to some layer boundary.
    struct PartialPipeline {
        double timeToFirstToken;
        double slowestStage;
        double stageSum;
        double cost;
        const Engine* engine;
        const EngineGroup* group;
        std::size_t previous;
    };
    using ModelKey = std::pair<std::string, std::string>;

    void addToGroups(Engine&);
    void removeFromGroups(Engine&);
    static bool isAvailable(const Engine&, const PipelineQuery&, base::TimePoint now);
    void extendPartials(const EngineGroup&, const PipelineQuery&, base::TimePoint now);
    void addPartial(std::size_t boundary, const PartialPipeline&);
    base::Error makeNoUpstreamError(const std::vector<EngineGroup>*, const PipelineQuery&, base::TimePoint now) const;

    std::string nodeId_;
    std::string dataCentre_;
    Options options_;
    base::Random random_;
    RoundTripEstimator roundTrips_;
    std::array<StepTimeEstimator, acceleratorKindCount> kindEstimators_;
    std::unordered_map<std::string, std::unique_ptr<Engine>> engines_;
    // The groups of each model, sorted by first layer.
    std::map<ModelKey, std::vector<EngineGroup>> groups_;
    // Scratch buffers of select(), reused to avoid allocations.
    std::vector<PartialPipeline> partials_;
    std::vector<std::vector<std::size_t>> fronts_;
};

} // namespace arbutus::routing
