#include "include/routing/LayerPathSelector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace arbutus::routing {

using fleet::UpstreamFact;

static constexpr double bytesPerMegabyte = 1e6;
// Part of an engine's memory that is planned for; the estimates of answers are
// often exceeded, and an overfull engine preempts streams.
static constexpr double usableMemoryShare = 0.95;
// A stream holds its prompt and the part of its answer that is written so far; on
// average over its life that is half of the answer, and answers vary.
static constexpr double reservedAnswerShare = 0.65;
// Cost of an engine whose memory is full, against an empty one. Spreads streams
// that several entry VMs place at the same time over the copies.
static constexpr double fullMemoryFactor = 2.5;
// One-way delay between data centres, paid by each token that crosses.
static constexpr double crossingMilliseconds = 0.5;
// Preference for a first engine near the caller over an equal one elsewhere.
static constexpr double remoteFirstStageMilliseconds = 40;
// Price of each end of an engine's layers that a path leaves out. An engine works
// in batches, and streams on many different paths break its batches up: the same
// engines then make fewer tokens, until no stream finishes and all memory is full.
static constexpr double splitRangeMilliseconds = 300;
// The longest time for one token: an event of several tokens must stay within the
// pause that a caller accepts.
static constexpr double maxTokenMilliseconds = 50;
// Answer tokens that the choice is weighed with; the end of a long answer is
// less important than its start.
static constexpr double maxCostedAnswerTokens = 120;

void LayerPathSelector::setEngine(const UpstreamFact& fact)
{
    const auto* kind = model_.kind(fact.accelerator);
    if (!kind || fact.state != fleet::UpstreamState::Ready || fact.layers.count() <= 0) {
        removeEngine(fact.id);
        return;
    }
    auto& engine = engines_[fact.id];
    auto progressAt = engine.progressAt ? engine.progressAt : std::make_shared<base::TimePoint>();
    engine = { fact, kind->megabytes, kind->pace * std::max(1.0, fact.pace), kind->readFactor * std::max(1.0, fact.pace), std::move(progressAt) };
}

void LayerPathSelector::removeEngine(const std::string& upstream) { engines_.erase(upstream); }

void LayerPathSelector::markSuspect(const std::string& upstream, base::TimePoint until)
{
    auto& current = suspectUntil_[upstream];
    current = std::max(current, until);
}

InFlightLoad LayerPathSelector::loadAt(const std::string& upstream) const
{
    InFlightLoad sum;
    for (const auto* source : { &localLoad_, &remoteLoad_ }) {
        if (auto found = source->find(upstream); found != source->end()) {
            sum.running += found->second.running;
            sum.cacheTokenLayers += found->second.cacheTokenLayers;
        }
    }
    return sum;
}

static double reservedTokens(const StreamSize& size) { return size.prompt + reservedAnswerShare * size.answer; }

// What the engine holds for requests, in tokens times layers.
double LayerPathSelector::cacheCapacity(const Engine& engine) const
{
    double free = (engine.megabytes - engine.fact.layers.count() * model_.layerMegabytes) * bytesPerMegabyte;
    return std::max(1.0, free * usableMemoryShare / (model_.cacheBytesPerToken / model_.layers));
}

bool LayerPathSelector::hasCapacity(const Engine& engine, int layers, const StreamSize& size, const InFlightLoad& load) const
{
    return load.cacheTokenLayers + reservedTokens(size) * layers <= cacheCapacity(engine);
}

double LayerPathSelector::tokenMilliseconds(const Engine& engine, int layers, const InFlightLoad& load) const
{
    double share = static_cast<double>(layers) / model_.layers;
    double context = load.cacheTokenLayers / std::max(1, engine.fact.layers.count()) / 1000;
    return share * engine.pace * (model_.stepMilliseconds + model_.perSequenceMilliseconds * (load.running + 1) + model_.contextMillisecondsPerThousand * context);
}

double LayerPathSelector::stageCost(const Engine& engine, int layers, const StreamSize& size, const InFlightLoad& load) const
{
    double share = static_cast<double>(layers) / model_.layers;
    double prefill = size.prompt / std::max(1.0, model_.readTokensPerSecond) * 1000 * engine.readFactor * share;
    double fill = std::min(1.0, load.cacheTokenLayers / cacheCapacity(engine));
    double pressure = 1 + (fullMemoryFactor - 1) * fill * fill;
    return pressure * (prefill + std::min(size.answer, maxCostedAnswerTokens) * tokenMilliseconds(engine, layers, load));
}

double LayerPathSelector::linkCost(const Engine* previous, const Engine& next, const StreamSize& size) const
{
    if (!previous)
        return next.fact.dataCentre == dataCentre_ ? 0 : remoteFirstStageMilliseconds;
    if (previous->fact.dataCentre == next.fact.dataCentre)
        return 0;
    double bits = model_.activationBytesPerToken * 8 * (size.prompt + size.answer);
    double transfer = model_.crossLinkMegabits > 0 ? bits / (model_.crossLinkMegabits * 1000) : 0;
    // The link between data centres is shared by everybody, so its use is weighed double.
    return 2 * transfer + crossingMilliseconds * std::min(size.answer, maxCostedAnswerTokens);
}

static double splitRangeCost(fleet::LayerRange held, fleet::LayerRange used)
{
    return ((used.from != held.from ? 1 : 0) + (used.to != held.to ? 1 : 0)) * splitRangeMilliseconds;
}

std::vector<const LayerPathSelector::Engine*> LayerPathSelector::usableEngines(const std::set<std::string>& avoided, base::TimePoint now) const
{
    std::vector<const Engine*> usable;
    for (const auto& [id, engine] : engines_) {
        auto suspicion = suspectUntil_.find(id);
        bool isSuspect = suspicion != suspectUntil_.end() && now < suspicion->second;
        if (!isSuspect && !avoided.count(id))
            usable.push_back(&engine);
    }
    return usable;
}

using SearchPosition = LayerPathSelector::SearchPosition;
using SearchSteps = std::map<SearchPosition, LayerPathSelector::SearchStep>;

// Whether the path that led to `at` runs through `engine`; an engine may stand in
// a path only once.
static bool pathContains(const SearchSteps& best, SearchPosition at, const LayerPathSelector::Engine& engine)
{
    while (at.layer > 0) {
        const auto& step = best.at(at);
        if (step.engine == &engine)
            return true;
        at = step.previous;
    }
    return false;
}

// The least cost from layer 0 to the last over the boundaries of the engines'
// ranges. A position also holds the data centre, because the cost of going on
// depends on where the path is.
std::optional<LayerPath> LayerPathSelector::search(const std::vector<const Engine*>& engines, const StreamSize& size, bool requiresCapacity) const
{
    std::set<int> boundaries { 0, model_.layers };
    std::vector<InFlightLoad> loads;
    loads.reserve(engines.size());
    for (const auto* engine : engines) {
        boundaries.insert(engine->fact.layers.from);
        boundaries.insert(engine->fact.layers.to);
        loads.push_back(loadAt(engine->fact.id));
    }
    SearchSteps best;
    best[{ 0, {} }] = {};
    // The positions are visited by layer, and a step only leads to a higher one.
    for (auto reached = best.begin(); reached != best.end(); ++reached) {
        const auto [at, step] = *reached;
        if (at.layer == model_.layers)
            break;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            const auto& engine = *engines[i];
            if (engine.fact.layers.from > at.layer || engine.fact.layers.to <= at.layer || pathContains(best, at, engine))
                continue;
            for (auto next = boundaries.upper_bound(at.layer); next != boundaries.end() && *next <= engine.fact.layers.to; ++next) {
                int layers = *next - at.layer;
                double tokenTime = step.tokenTime + tokenMilliseconds(engine, layers, loads[i]);
                if (requiresCapacity && (!hasCapacity(engine, layers, size, loads[i]) || tokenTime > maxTokenMilliseconds))
                    continue;
                double cost = step.cost + stageCost(engine, layers, size, loads[i]) + linkCost(step.engine, engine, size) + splitRangeCost(engine.fact.layers, { at.layer, *next });
                auto [known, inserted] = best.try_emplace({ *next, engine.fact.dataCentre }, SearchStep { cost, tokenTime, &engine, at });
                if (!inserted && cost < known->second.cost)
                    known->second = { cost, tokenTime, &engine, at };
            }
        }
    }
    auto last = best.end();
    for (auto it = best.lower_bound({ model_.layers, {} }); it != best.end(); ++it) {
        if (last == best.end() || it->second.cost < last->second.cost)
            last = it;
    }
    if (last == best.end())
        return std::nullopt;
    LayerPath path;
    for (auto at = last->first; at.layer > 0; at = best.at(at).previous) {
        const auto& step = best.at(at);
        path.insert(path.begin(), { step.engine->fact.id, step.engine->fact.endpoint(), { step.previous.layer, at.layer }, step.engine->progressAt });
    }
    return path;
}

std::optional<LayerPath> LayerPathSelector::choose(const StreamSize& size, const std::set<std::string>& avoided, base::TimePoint now) const
{
    return search(usableEngines(avoided, now), size, true);
}

bool LayerPathSelector::hasPath(base::TimePoint now) const { return search(usableEngines({}, now), {}, false).has_value(); }

void LayerPathSelector::reserve(const LayerPath& path, const StreamSize& size)
{
    for (const auto& stage : path) {
        auto& load = localLoad_[stage.upstream];
        load.running += 1;
        load.cacheTokenLayers += reservedTokens(size) * stage.layers.count();
    }
}

void LayerPathSelector::release(const LayerPath& path, const StreamSize& size)
{
    for (const auto& stage : path) {
        auto found = localLoad_.find(stage.upstream);
        if (found == localLoad_.end())
            continue;
        found->second.running -= 1;
        found->second.cacheTokenLayers -= reservedTokens(size) * stage.layers.count();
        if (found->second.running < 0.5)
            localLoad_.erase(found);
    }
}

} // namespace arbutus::routing
