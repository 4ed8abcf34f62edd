#include "include/routing/PipelineSelector.h"

#include "include/base/Digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace arbutus::routing {

// Maximum number of partial pipelines per layer boundary.
static constexpr std::size_t maxFrontSize = 8;
static constexpr std::size_t noPartial = static_cast<std::size_t>(-1);
// Above this memory usage, an engine may delay new streams.
static constexpr double fullMemoryShare = 0.9;
static constexpr double fullMemoryPenalty = 3;

static double toSeconds(std::chrono::nanoseconds time) { return std::chrono::duration<double>(time).count(); }

static std::chrono::nanoseconds toNanoseconds(double seconds)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
}

PipelineSelector::PipelineSelector(std::string nodeId, std::string dataCentre, const Options& options, std::uint64_t seed)
    : nodeId_(std::move(nodeId))
    , dataCentre_(std::move(dataCentre))
    , options_(options)
    , random_(seed)
{
    assert(options.maxCandidates);
}

void PipelineSelector::addToGroups(Engine& engine)
{
    for (const auto& range : engine.info.ranges) {
        assert(range.first <= range.last);
        auto& groups = groups_[{ range.model, range.version }];
        auto group = std::find_if(groups.begin(), groups.end(), [&](const EngineGroup& candidate) { return candidate.first == range.first && candidate.last == range.last; });
        if (group == groups.end()) {
            const auto position = std::find_if(groups.begin(), groups.end(), [&](const EngineGroup& candidate) { return candidate.first > range.first; });
            group = groups.insert(position, EngineGroup { range.first, range.last, {} });
        }
        const auto isBefore = [](const Engine* left, const Engine* right) { return left->rank < right->rank; };
        group->engines.insert(std::upper_bound(group->engines.begin(), group->engines.end(), &engine, isBefore), &engine);
    }
}

void PipelineSelector::removeFromGroups(Engine& engine)
{
    for (const auto& range : engine.info.ranges) {
        const auto found = groups_.find({ range.model, range.version });
        if (found == groups_.end())
            continue;
        auto& groups = found->second;
        for (auto& group : groups)
            group.engines.erase(std::remove(group.engines.begin(), group.engines.end(), &engine), group.engines.end());
        groups.erase(std::remove_if(groups.begin(), groups.end(), [](const EngineGroup& group) { return group.engines.empty(); }), groups.end());
        if (groups.empty())
            groups_.erase(found);
    }
}

void PipelineSelector::setEngine(const EngineInfo& info)
{
    assert(info.kind < acceleratorKindCount);
    auto& engine = engines_[info.id];
    if (engine) {
        removeFromGroups(*engine);
        if (engine->info.kind != info.kind)
            engine->load = UpstreamLoad(kindEstimators_[info.kind]);
        engine->info = info;
    } else {
        engine = std::make_unique<Engine>(Engine { info, UpstreamLoad(kindEstimators_[info.kind]), base::hash64(info.id, base::hash64(nodeId_)) });
    }
    addToGroups(*engine);
}

void PipelineSelector::removeEngine(const std::string& id)
{
    const auto found = engines_.find(id);
    if (found == engines_.end())
        return;
    removeFromGroups(*found->second);
    engines_.erase(found);
}

void PipelineSelector::setLeaving(const std::string& id, bool isLeaving)
{
    if (const auto found = engines_.find(id); found != engines_.end())
        found->second->info.isLeaving = isLeaving;
}

UpstreamLoad* PipelineSelector::load(const std::string& id)
{
    const auto found = engines_.find(id);
    return found == engines_.end() ? nullptr : &found->second->load;
}

static bool isExcluded(const std::string& id, const PipelineQuery& query)
{
    return std::find(query.excluded.begin(), query.excluded.end(), id) != query.excluded.end();
}

bool PipelineSelector::isAvailable(const Engine& engine, const PipelineQuery& query, base::TimePoint now)
{
    return !engine.info.isLeaving && engine.load.health().isAvailable(now) && !isExcluded(engine.info.id, query);
}

// Adds a partial pipeline to the Pareto front of its boundary, unless another one
// dominates it. Keeps only the cheapest ones.
void PipelineSelector::addPartial(std::size_t boundary, const PartialPipeline& partial)
{
    auto& front = fronts_[boundary];
    const auto dominates = [](const PartialPipeline& left, const PartialPipeline& right) {
        return left.timeToFirstToken <= right.timeToFirstToken && left.slowestStage <= right.slowestStage && left.stageSum <= right.stageSum;
    };
    for (std::size_t index : front) {
        if (dominates(partials_[index], partial))
            return;
    }
    front.erase(std::remove_if(front.begin(), front.end(), [&](std::size_t index) { return dominates(partial, partials_[index]); }), front.end());
    const auto isCheaper = [&](double cost, std::size_t index) { return cost < partials_[index].cost; };
    const auto position = std::upper_bound(front.begin(), front.end(), partial.cost, isCheaper);
    if (front.size() == maxFrontSize) {
        if (position == front.end())
            return;
        front.insert(position, partials_.size());
        front.pop_back();
    } else {
        front.insert(position, partials_.size());
    }
    partials_.push_back(partial);
}

void PipelineSelector::extendPartials(const EngineGroup& group, const PipelineQuery& query, base::TimePoint now)
{
    const auto laterTokens = static_cast<double>(std::max<std::size_t>(query.expectedTokens, 1) - 1);
    std::size_t candidateCount = 0;
    for (const Engine* engine : group.engines) {
        if (candidateCount == options_.maxCandidates)
            break;
        if (!isAvailable(*engine, query, now))
            continue;
        ++candidateCount;
        std::size_t uncached = query.promptTokens;
        for (const auto& hint : query.prefixHints) {
            if (hint.engine == engine->info.id)
                uncached = query.promptTokens - std::min(query.promptTokens, hint.cachedTokens);
        }
        const auto& load = engine->load;
        // Several VMs see the same reports. A random factor within the tolerance
        // makes them choose differently among engines of similar cost. The tolerance
        // grows with the age of the report, because old differences mean less.
        const double staleness = std::min(toSeconds(load.reportAge(now)) / toSeconds(options_.staleAge), 1.0);
        const double factor = 1 + (options_.tolerance + options_.staleTolerance * staleness) * random_.unit();
        const double memoryFactor = 1 + fullMemoryPenalty * std::max(load.memoryUsed() - fullMemoryShare, 0.0) / (1 - fullMemoryShare);
        const double link = toSeconds(roundTrips_.expected(dataCentre_, engine->info.dataCentre, now));
        const double step = (toSeconds(load.expectedStep(now)) + link) * factor;
        const double prefill = (toSeconds(load.expectedPrefill(uncached, now)) * memoryFactor + link) * factor;

        for (std::size_t previous : fronts_[group.first]) {
            const PartialPipeline& before = partials_[previous];
            PartialPipeline partial { before.timeToFirstToken + prefill, std::max(before.slowestStage, step), before.stageSum + step, 0, engine, &group, previous };
            const double tokenInterval = partial.slowestStage + options_.stageSumWeight * (partial.stageSum - partial.slowestStage);
            partial.cost = partial.timeToFirstToken + laterTokens * tokenInterval;
            addPartial(group.last + 1, partial);
        }
    }
}

base::Result<Pipeline> PipelineSelector::select(const PipelineQuery& query, base::TimePoint now)
{
    assert(query.layerCount);
    const auto found = groups_.find({ query.model, query.version });
    if (found == groups_.end())
        return makeNoUpstreamError(nullptr, query, now);
    partials_.clear();
    if (fronts_.size() < query.layerCount + 1)
        fronts_.resize(query.layerCount + 1);
    for (std::size_t boundary = 0; boundary <= query.layerCount; ++boundary)
        fronts_[boundary].clear();
    partials_.push_back(PartialPipeline { 0, 0, 0, 0, nullptr, nullptr, noPartial });
    fronts_[0].push_back(0);
    // Groups are sorted by first layer, so the front at the start of a group is
    // final when the group is reached.
    for (const auto& group : found->second) {
        if (group.last < query.layerCount && !fronts_[group.first].empty())
            extendPartials(group, query, now);
    }
    const auto& complete = fronts_[query.layerCount];
    if (complete.empty())
        return makeNoUpstreamError(&found->second, query, now);

    const PartialPipeline& best = partials_[complete.front()];
    Pipeline pipeline;
    for (const PartialPipeline* partial = &best; partial->engine; partial = &partials_[partial->previous])
        pipeline.stages.push_back({ partial->engine->info.id, partial->group->first, partial->group->last });
    std::reverse(pipeline.stages.begin(), pipeline.stages.end());
    pipeline.timeToFirstToken = toNanoseconds(best.timeToFirstToken);
    pipeline.timeBetweenTokens = toNanoseconds(best.slowestStage + options_.stageSumWeight * (best.stageSum - best.slowestStage));
    pipeline.completionTime = toNanoseconds(best.cost);
    return pipeline;
}

base::Error PipelineSelector::makeNoUpstreamError(const std::vector<EngineGroup>* groups, const PipelineQuery& query, base::TimePoint now) const
{
    std::vector<bool> isReached(query.layerCount + 1);
    std::vector<bool> reachesEnd(query.layerCount + 1);
    isReached[0] = true;
    reachesEnd[query.layerCount] = true;
    std::size_t leavingCount = 0;
    std::size_t failingCount = 0;
    std::size_t excludedCount = 0;
    if (groups) {
        const auto hasEngine = [&](const EngineGroup& group) {
            return std::any_of(group.engines.begin(), group.engines.end(), [&](const Engine* engine) { return isAvailable(*engine, query, now); });
        };
        for (auto group = groups->begin(); group != groups->end(); ++group) {
            if (group->last < query.layerCount && isReached[group->first] && hasEngine(*group))
                isReached[group->last + 1] = true;
        }
        for (auto group = groups->rbegin(); group != groups->rend(); ++group) {
            if (group->last < query.layerCount && reachesEnd[group->last + 1] && hasEngine(*group))
                reachesEnd[group->first] = true;
        }
    }
    // Among all pairs of a boundary reachable from layer 0 and a boundary from which
    // the end is reachable, the closest pair names the fewest missing layers.
    std::size_t first = 0;
    std::size_t end = query.layerCount;
    std::size_t reached = 0;
    for (std::size_t boundary = 1; boundary <= query.layerCount; ++boundary) {
        if (reachesEnd[boundary] && boundary - reached < end - first) {
            first = reached;
            end = boundary;
        }
        if (isReached[boundary])
            reached = boundary;
    }
    if (groups) {
        for (const auto& group : *groups) {
            if (group.last < first || group.first >= end)
                continue;
            for (const Engine* engine : group.engines) {
                if (engine->info.isLeaving)
                    ++leavingCount;
                else if (!engine->load.health().isAvailable(now))
                    ++failingCount;
                else if (isExcluded(engine->info.id, query))
                    ++excludedCount;
            }
        }
    }
    return base::makeError(base::ErrorKind::NoUpstream, fmt::format("no engine for layers {} to {} of model {} version {} ({} leaving, {} failing, {} excluded)", first, end - 1, query.model, query.version, leavingCount, failingCount, excludedCount));
}

} // namespace arbutus::routing
