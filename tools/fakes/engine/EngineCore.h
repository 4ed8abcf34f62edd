#pragma once

#include "include/streams/Step.h"
#include "tools/fakes/common/ReferenceModel.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::fakes {

struct EngineSpec {
    std::uint32_t firstLayer = 0;
    std::uint32_t lastLayer = 0;
    std::uint32_t layerCount = 0;
    std::uint32_t maximumBatch = 64;
    // Step time: stepBase, plus stepPerSequence for each sequence, plus
    // stepPerPrefillPosition for each prefill position outside the prefix cache.
    std::chrono::microseconds stepBase { 2000 };
    std::chrono::microseconds stepPerSequence { 50 };
    std::chrono::microseconds stepPerPrefillPosition { 20 };
    std::size_t prefixCacheEntries = 128;
    // A prompt that contains this word crashes the engine. Empty disables this.
    std::string crashWord;
};

// A result and the channel to which it is returned.
struct RoutedResult {
    std::string channel;
    streams::StageResult result;
};

struct Batch {
    std::vector<RoutedResult> results;
    std::chrono::microseconds duration { 0 };
    bool crashes = false;
};

// A fake model engine for a range of layers, with continuous batching by priority,
// a KV cache for each attempt of a stream and a bounded prefix cache. Not thread-safe.
class EngineCore {
public:
    explicit EngineCore(EngineSpec spec)
        : spec_(std::move(spec))
    {
    }

    void addModel(const std::string& model, const std::string& version) { models_.insert({ model, version }); }
    void removeModel(const std::string& model, const std::string& version) { models_.erase({ model, version }); }
    const std::set<std::pair<std::string, std::string>>& models() const { return models_; }

    void submit(const std::string& channel, streams::StageStep step);
    // Cancels all attempts of the stream if `attempt` is 0.
    void cancel(const std::string& stream, std::uint32_t attempt);
    // Discards the queued steps and the attempts of the channel.
    void dropChannel(const std::string& channel);

    bool hasWork() const { return !queue_.empty(); }
    // Runs the next batch. The caller returns its results after Batch::duration.
    Batch runBatch();

    std::uint32_t queuedCount() const { return static_cast<std::uint32_t>(queue_.size()); }
    std::uint32_t runningCount() const { return static_cast<std::uint32_t>(attempts_.size()); }
    std::uint64_t memoryBytes() const { return memoryBytes_; }
    std::uint64_t refusedCount() const { return refusedCount_; }
    std::uint64_t newStreamCount() const { return newStreamCount_; }

private:
    struct Queued {
        std::string channel;
        streams::StageStep step;
    };

    struct Attempt {
        std::string channel;
        std::vector<LayerCache> layers;
        std::uint64_t sequenceLength = 0;
        std::uint32_t nextPosition = 0;
    };
    using AttemptKey = std::pair<std::string, std::uint32_t>;

    streams::StageResult run(const Queued&, std::chrono::microseconds& cost);
    std::vector<std::uint64_t> inputsOf(const streams::StageStep&, const Attempt&) const;
    std::size_t uncachedPositions(const streams::StageStep&, std::size_t positions);
    void eraseAttempt(std::map<AttemptKey, Attempt>::iterator);

    const EngineSpec spec_;
    std::set<std::pair<std::string, std::string>> models_;
    std::list<Queued> queue_;
    std::map<AttemptKey, Attempt> attempts_;
    // Hashes of prompts whose prefill is cached, least recently used first.
    std::list<std::uint64_t> prefixCache_;
    std::uint64_t memoryBytes_ = 0;
    std::uint64_t refusedCount_ = 0;
    std::uint64_t newStreamCount_ = 0;
};

} // namespace arbutus::fakes
