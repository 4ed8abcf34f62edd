#include "tools/fakes/engine/EngineCore.h"

#include "include/base/Digest.h"

#include <algorithm>

namespace arbutus::fakes {

using streams::StageResult;
using streams::StageStep;

// Reported KV cache size of one position of one layer.
static constexpr std::uint64_t kvBytesPerPosition = 4096;

void EngineCore::submit(const std::string& channel, StageStep step)
{
    // Higher priorities first; FIFO within a priority.
    auto after = std::find_if(queue_.begin(), queue_.end(), [&](const Queued& queued) { return queued.step.priority < step.priority; });
    queue_.insert(after, { channel, std::move(step) });
}

void EngineCore::eraseAttempt(std::map<AttemptKey, Attempt>::iterator it)
{
    memoryBytes_ -= it->second.sequenceLength * it->second.layers.size() * kvBytesPerPosition;
    attempts_.erase(it);
}

void EngineCore::cancel(const std::string& stream, std::uint32_t attempt)
{
    auto matches = [&](const std::string& otherStream, std::uint32_t otherAttempt) { return otherStream == stream && (!attempt || otherAttempt == attempt); };
    queue_.remove_if([&](const Queued& queued) { return matches(queued.step.id.stream, queued.step.id.attempt); });
    for (auto it = attempts_.lower_bound({ stream, attempt }); it != attempts_.end() && matches(it->first.first, it->first.second);)
        eraseAttempt(it++);
}

void EngineCore::dropChannel(const std::string& channel)
{
    queue_.remove_if([&](const Queued& queued) { return queued.channel == channel; });
    for (auto it = attempts_.begin(); it != attempts_.end();) {
        auto next = std::next(it);
        if (it->second.channel == channel)
            eraseAttempt(it);
        it = next;
    }
}

Batch EngineCore::runBatch()
{
    Batch batch;
    batch.duration = spec_.stepBase;
    while (!queue_.empty() && batch.results.size() < spec_.maximumBatch) {
        Queued queued = std::move(queue_.front());
        queue_.pop_front();
        if (!spec_.crashWord.empty() && queued.step.prompt.find(spec_.crashWord) != std::string::npos)
            batch.crashes = true;
        StageResult result = run(queued, batch.duration);
        if (!result.error.empty())
            ++refusedCount_;
        batch.duration += spec_.stepPerSequence;
        batch.results.push_back({ queued.channel, std::move(result) });
    }
    return batch;
}

std::size_t EngineCore::uncachedPositions(const StageStep& step, std::size_t positions)
{
    std::uint64_t prefix = base::hash64(step.model + '\n' + step.version + '\n' + step.adapter + '\n' + step.prompt);
    auto it = std::find(prefixCache_.begin(), prefixCache_.end(), prefix);
    bool isCached = it != prefixCache_.end();
    if (isCached)
        prefixCache_.erase(it);
    prefixCache_.push_back(prefix);
    if (prefixCache_.size() > spec_.prefixCacheEntries)
        prefixCache_.pop_front();
    return isCached ? std::min(positions, step.tokens.size()) : positions;
}

std::vector<std::uint64_t> EngineCore::inputsOf(const StageStep& step, const Attempt& attempt) const
{
    if (spec_.firstLayer)
        return decodeActivations(step.activation);
    auto ids = step.isPrefill ? tokenize(step.prompt) : std::vector<std::uint32_t>();
    ids.insert(ids.end(), step.tokens.begin(), step.tokens.end());
    std::vector<std::uint64_t> inputs;
    for (std::size_t i = 0; i < ids.size(); ++i)
        inputs.push_back(embed(step.model, step.version, step.adapter, ids[i], attempt.sequenceLength + i));
    return inputs;
}

StageResult EngineCore::run(const Queued& queued, std::chrono::microseconds& cost)
{
    const StageStep& step = queued.step;
    StageResult result;
    result.id = step.id;
    if (step.id.firstLayer != spec_.firstLayer || step.id.lastLayer != spec_.lastLayer) {
        result.error = "the layer range of the step is not the range of this engine";
        return result;
    }
    if (!models_.count({ step.model, step.version })) {
        result.error = "the model is not loaded on this engine";
        return result;
    }
    AttemptKey key { step.id.stream, step.id.attempt };
    auto it = attempts_.find(key);
    if (step.isPrefill != (it == attempts_.end())) {
        result.error = step.isPrefill ? "the attempt has already started" : "the attempt is unknown";
        return result;
    }
    if (it == attempts_.end()) {
        it = attempts_.emplace(key, Attempt { queued.channel, std::vector<LayerCache>(spec_.lastLayer - spec_.firstLayer + 1), 0, 0 }).first;
        ++newStreamCount_;
    }
    Attempt& attempt = it->second;
    if (step.id.position != attempt.nextPosition) {
        result.error = "the position is out of sequence";
        return result;
    }
    auto values = inputsOf(step, attempt);
    if (values.empty()) {
        result.error = "the step has no input";
        return result;
    }
    if (step.isPrefill)
        cost += spec_.stepPerPrefillPosition * static_cast<std::int64_t>(uncachedPositions(step, values.size()));

    for (auto& value : values) {
        for (std::uint32_t layer = spec_.firstLayer; layer <= spec_.lastLayer; ++layer)
            value = attempt.layers[layer - spec_.firstLayer].run(layer, value);
    }
    attempt.nextPosition += step.id.count;
    attempt.sequenceLength += values.size();
    memoryBytes_ += values.size() * attempt.layers.size() * kvBytesPerPosition;

    if (spec_.lastLayer + 1 == spec_.layerCount) {
        result.token = tokenFor(values.back());
        result.isEndOfSequence = isEndToken(*result.token);
    } else
        result.activation = encodeActivations(values);
    return result;
}

} // namespace arbutus::fakes
