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

// A contiguous range of a model's layers, both ends included.
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

// The content of a cache event; it may be late, and others may be missing.
struct PrefixHint {
    std::string engine;
    std::size_t cachedTokens = 0;
};

// For a resumed stream, the expected tokens of the query are at most this many:
// its caller waits for the next token, and all streams of an engine that died
// prefill at the same time, so their first tokens must not queue on the fastest engines.
constexpr std::size_t maxResumeExpectedTokens = 4;

struct PipelineQuery {
    std::string model;
    std::string version;
    std::size_t layerCount = 0;
    std::size_t promptTokens = 0;
    std::size_t expectedTokens = 1;
    // Upstreams already tried, or kept free for crash suspects.
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
    // The sum over the stages.
    std::chrono::nanoseconds timeToFirstToken {};
    // See PipelineSelector::Options::sumShare.
    std::chrono::nanoseconds timeBetweenTokens {};
    // Until the last of the expected tokens.
    std::chrono::nanoseconds completionTime {};
};

// The engines that this VM knows and the choice of a pipeline among them. Not
// safe to use from several threads.
class PipelineSelector {
public:
    struct Options {
        // Candidates for each layer range, chosen by rendezvous hashing among
        // the engines that are available.
        std::size_t maxCandidates = 16;
        // Costs that differ by less than this share count as equal. A report of
        // `staleAge` or older adds `staleTolerance`.
        double tolerance = 0.05;
        double staleTolerance = 0.25;
        std::chrono::nanoseconds staleAge = std::chrono::seconds(1);
        // Pace of a stream: 0 takes the slowest stage, 1 the sum of the stages.
        // docs/routing.md compares the two.
        double stageSumWeight = 0;
    };

    PipelineSelector(std::string nodeId, std::string dataCentre, const Options&, std::uint64_t seed);

    // Adds the engine, or replaces what it announced; what was learned about it
    // stays unless the accelerator kind changes.
    void setEngine(const EngineInfo&);
    void removeEngine(const std::string& id);
    void setLeaving(const std::string& id, bool isLeaving);
    std::size_t engineCount() const { return engines_.size(); }

    // Returns null when the engine is unknown.
    UpstreamLoad* load(const std::string& id);
    RoundTripEstimator& roundTrips() { return roundTrips_; }

    // Returns the pipeline with the shortest expected completion, or one near
    // it. Fails with NoUpstream naming the layers that no available engine holds.
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
        // In rendezvous order.
        std::vector<Engine*> engines;
    };
    // A partial pipeline that ends before some layer.
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
    // Groups of a model are sorted by first layer.
    std::map<ModelKey, std::vector<EngineGroup>> groups_;
    // Scratch space of select(), kept to avoid allocations.
    std::vector<PartialPipeline> partials_;
    std::vector<std::vector<std::size_t>> fronts_;
};

} // namespace arbutus::routing
