#include "include/routing/LayerPathSelector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace arbutus::routing {

using fleet::UpstreamRecord;

static constexpr double bytesPerMegabyte = 1e6;
// Fraction of an engine's cache memory that may be reserved. Answers often exceed
// their estimated length, and an engine that runs out of memory preempts streams.
static constexpr double usableMemoryShare = 0.95;
// A stream holds its prompt and the answer tokens generated so far. Averaged over
// its lifetime this is half of the answer; the excess covers variation in length.
static constexpr double reservedAnswerShare = 0.65;
// Cost of an engine whose memory is full, relative to an empty one. Spreads streams
// that several entry VMs place at the same time over the model copies.
static constexpr double fullMemoryFactor = 2.5;
// One-way delay between data centres, added for each token.
static constexpr double crossLinkMilliseconds = 0.5;
// Cost of each hop to another data centre within a path, whose links all streams share.
static constexpr double crossingMilliseconds = 300;
// Cost of a first engine outside this VM's data centre.
static constexpr double remoteFirstStageMilliseconds = 40;
// Cost of each end at which a path uses only part of an engine's layer range.
// Streams on many different paths fragment the batches of the engines. Throughput
// then drops until no stream finishes and all memory is full.
static constexpr double splitRangeMilliseconds = 300;
// Age of the load that other entry VMs report: the interval of the reports and their way.
static constexpr std::chrono::milliseconds peerLoadAge(150);
// How many streams the other entry VMs may send to a copy before this VM learns of them.
static constexpr double maxUnseenPerCopy = 2;
// A choice among fewer copies would often be a bad one.
static constexpr double minCandidates = 2;
// The part of the unseen streams that may have taken the same copy, when hardly any copy
// has room.
static constexpr double contestedShare = 0.4;
// The same among the copies of one data centre, which are fewer. With 0.4 engines refused 12
// to 17 in 100 attempts at a load of 1.2 (tests/CrossSiteTest.cpp), with 1 about 4.
static constexpr double contestedShareOfDataCentre = 1;
// Demand that is older says nothing about the present one.
static constexpr std::chrono::seconds maxDemandAge(2);
// Limits the time spent on plans; demand is averaged over a second.
static constexpr std::chrono::milliseconds planInterval(200);
// Maximum time per token. An event of several tokens must arrive within the gap that
// a caller accepts.
static constexpr double maxTokenMilliseconds = 50;
// Maximum number of answer tokens included in the cost. The end of a long answer
// matters less than its start.
static constexpr double maxCostedAnswerTokens = 120;

void LayerPathSelector::setEngine(const UpstreamRecord& record)
{
    const auto* kind = model_.findAcceleratorKind(record.accelerator);
    bool hasLayers = record.layers.from >= 0 && record.layers.count() > 0 && record.layers.to <= model_.layers;
    if (!kind || record.state != fleet::UpstreamState::Ready || !hasLayers) {
        removeEngine(record.id);
        return;
    }
    auto& engine = engines_[record.id];
    auto progressAt = engine.progressAt ? engine.progressAt : std::make_shared<base::TimePoint>();
    engine = { record, kind->megabytes, kind->stepTimeFactor * std::max(1.0, record.slowdownFactor), kind->prefillTimeFactor * std::max(1.0, record.slowdownFactor), std::move(progressAt) };
}

void LayerPathSelector::removeEngine(const std::string& upstream) { engines_.erase(upstream); }

void LayerPathSelector::markSuspect(const std::string& upstream, base::TimePoint until)
{
    auto& current = suspectUntil_[upstream];
    current = std::max(current, until);
}

void LayerPathSelector::setPeerLoad(std::map<std::string, InFlightLoad> load, base::TimePoint now)
{
    peerLoad_ = std::move(load);
    std::map<std::string, double> refusals;
    for (const auto& [id, entry] : peerLoad_)
        refusals[id] = entry.refusals;
    refusals_.setPeers(refusals, now);
}

std::map<std::string, InFlightLoad> LayerPathSelector::ownLoad(base::TimePoint now) const
{
    auto result = ownLoad_;
    for (const auto& [id, count] : refusals_.ownRecent(now))
        result[id].refusals = count;
    return result;
}

InFlightLoad LayerPathSelector::loadAt(const std::string& upstream) const
{
    InFlightLoad sum;
    for (const auto* source : { &ownLoad_, &peerLoad_ }) {
        if (auto found = source->find(upstream); found != source->end()) {
            sum.running += found->second.running;
            sum.cacheTokenLayers += found->second.cacheTokenLayers;
        }
    }
    return sum;
}

static double reservedTokens(const StreamSize& size) { return size.prompt + reservedAnswerShare * size.answer; }

// Returns the cache memory available to streams, in tokens times layers.
double LayerPathSelector::cacheCapacity(const Engine& engine) const
{
    double free = (engine.megabytes - engine.record.layers.count() * model_.layerMegabytes) * bytesPerMegabyte;
    return std::max(1.0, free * usableMemoryShare / (model_.cacheBytesPerToken / model_.layers));
}

InFlightLoad LayerPathSelector::believedLoad(const Engine& engine, base::TimePoint now) const
{
    auto load = loadAt(engine.record.id);
    if (!limitsRefusing_)
        return load;
    double level = refusals_.level(engine.record.id, now);
    load.cacheTokenLayers = std::max(load.cacheTokenLayers, cacheCapacity(engine) * level / (1 + level));
    return load;
}

bool LayerPathSelector::hasCapacity(const Engine& engine, int layers, const StreamSize& size, const InFlightLoad& load, double unseen) const
{
    return load.cacheTokenLayers + reservedTokens(size) * layers * (1 + unseen) <= cacheCapacity(engine);
}

double LayerPathSelector::tokenMilliseconds(const Engine& engine, int layers, const InFlightLoad& load) const
{
    double layerFraction = static_cast<double>(layers) / model_.layers;
    double context = load.cacheTokenLayers / std::max(1, engine.record.layers.count()) / 1000;
    return layerFraction * engine.stepTimeFactor * (model_.stepMilliseconds + model_.perSequenceMilliseconds * (load.running + 1) + model_.contextMillisecondsPerThousandTokens * context);
}

double LayerPathSelector::prefillMilliseconds(const Engine& engine, int layers, double prompt) const
{
    double layerFraction = static_cast<double>(layers) / model_.layers;
    return prompt / std::max(1.0, model_.prefillTokensPerSecond) * 1000 * engine.prefillTimeFactor * layerFraction;
}

double LayerPathSelector::stageCost(const Engine& engine, int layers, const StreamSize& size, const InFlightLoad& load) const
{
    double prefill = prefillMilliseconds(engine, layers, size.prompt);
    double fill = std::min(1.0, load.cacheTokenLayers / cacheCapacity(engine));
    double pressure = 1 + (fullMemoryFactor - 1) * fill * fill;
    return pressure * (prefill + std::min(size.answer, maxCostedAnswerTokens) * tokenMilliseconds(engine, layers, load));
}

double LayerPathSelector::linkCost(const Engine* previous, const Engine& next, const StreamSize& size) const
{
    if (!previous)
        return next.record.dataCentre == dataCentre_ ? 0 : remoteFirstStageMilliseconds;
    if (previous->record.dataCentre == next.record.dataCentre)
        return 0;
    double bits = model_.activationBytesPerToken * 8 * (size.prompt + size.answer);
    double transfer = model_.crossDataCentreMegabitsPerSecond > 0 ? bits / (model_.crossDataCentreMegabitsPerSecond * 1000) : 0;
    // Counts the transfer twice, because all streams share the link between data centres.
    return crossingMilliseconds + 2 * transfer + crossLinkMilliseconds * std::min(size.answer, maxCostedAnswerTokens);
}

static double splitRangeCost(fleet::LayerRange held, fleet::LayerRange used)
{
    return ((used.from != held.from ? 1 : 0) + (used.to != held.to ? 1 : 0)) * splitRangeMilliseconds;
}

bool LayerPathSelector::isSuspect(const std::string& upstream, base::TimePoint now) const
{
    auto suspicion = suspectUntil_.find(upstream);
    return suspicion != suspectUntil_.end() && now < suspicion->second;
}

std::vector<const LayerPathSelector::Engine*> LayerPathSelector::usableEngines(const std::set<std::string>& avoided, base::TimePoint now) const
{
    std::vector<const Engine*> usable;
    for (const auto& [id, engine] : engines_) {
        if (!isSuspect(id, now) && !avoided.count(id))
            usable.push_back(&engine);
    }
    return usable;
}

LayerPathSelector::EngineSet LayerPathSelector::drawRefusing(const std::vector<const Engine*>& engines, base::TimePoint now)
{
    EngineSet refusing;
    if (!limitsRefusing_)
        return refusing;
    auto sinceLastChoice = now - lastChoiceAt_;
    lastChoiceAt_ = now;
    for (const auto* engine : engines) {
        double probability = refusals_.tryProbability(engine->record.id, sinceLastChoice, entryVmCount_, now);
        if (probability < 1 && random_.unit() >= probability)
            refusing.insert(engine);
    }
    return refusing;
}

using SearchPosition = LayerPathSelector::SearchPosition;
using SearchSteps = std::map<SearchPosition, LayerPathSelector::SearchStep>;

// Whether the path to `at` already contains `engine`. A path may use an engine only once.
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

// Finds the cheapest path from layer 0 to the last by dynamic programming over the
// boundaries of the engines' layer ranges. The state includes the data centre,
// because the cost of the next stage depends on it.
std::optional<LayerPath> LayerPathSelector::search(const std::vector<const Engine*>& engines, const StreamSize& size, std::optional<double> unseen, base::TimePoint now) const
{
    std::set<int> boundaries { 0, model_.layers };
    std::vector<InFlightLoad> loads;
    loads.reserve(engines.size());
    for (const auto* engine : engines) {
        boundaries.insert(engine->record.layers.from);
        boundaries.insert(engine->record.layers.to);
        loads.push_back(believedLoad(*engine, now));
    }
    SearchSteps best;
    best[{ 0, {} }] = {};
    // Positions are visited in layer order, and every step leads to a higher layer.
    for (auto reached = best.begin(); reached != best.end(); ++reached) {
        const auto [at, step] = *reached;
        if (at.layer == model_.layers)
            break;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            const auto& engine = *engines[i];
            if (engine.record.layers.from > at.layer || engine.record.layers.to <= at.layer || pathContains(best, at, engine))
                continue;
            for (auto next = boundaries.upper_bound(at.layer); next != boundaries.end() && *next <= engine.record.layers.to; ++next) {
                int layers = *next - at.layer;
                double tokenTime = step.tokenTime + tokenMilliseconds(engine, layers, loads[i]);
                if (unseen && (!hasCapacity(engine, layers, size, loads[i], *unseen) || tokenTime > maxTokenMilliseconds))
                    continue;
                double cost = step.cost + stageCost(engine, layers, size, loads[i]) + linkCost(step.engine, engine, size) + splitRangeCost(engine.record.layers, { at.layer, *next });
                auto [known, inserted] = best.try_emplace({ *next, engine.record.dataCentre }, SearchStep { cost, tokenTime, &engine, at });
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
        path.insert(path.begin(), { step.engine->record.id, step.engine->record.endpoint(), { step.previous.layer, at.layer }, step.engine->progressAt });
    }
    return path;
}

double LayerPathSelector::unseenStreams(base::TimePoint now) const
{
    double others = entryVmCount_ - 1.0;
    return arrivals_.perSecond(now) * others * std::chrono::duration<double>(peerLoadAge).count();
}

static bool beginsPaths(const LayerPathSelector::Engine& engine) { return engine.record.layers.from == 0; }

static double countCopies(const std::vector<const LayerPathSelector::Engine*>& engines)
{
    return static_cast<double>(std::count_if(engines.begin(), engines.end(), [](const auto* engine) { return beginsPaths(*engine); }));
}

static double countDataCentres(const std::vector<const LayerPathSelector::Engine*>& engines)
{
    std::set<std::string> dataCentres;
    for (const auto* engine : engines)
        dataCentres.insert(engine->record.dataCentre);
    return static_cast<double>(dataCentres.size());
}

std::vector<const LayerPathSelector::Engine*> LayerPathSelector::drawCandidates(const std::vector<const Engine*>& engines, const Competition& competition)
{
    double remoteShare = std::max(maxUnseenPerCopy / std::max(1.0, competition.unseen), minCandidates / std::max(1.0, countCopies(engines)));
    double localShare = remoteShare * competition.localWeight;
    std::vector<const Engine*> drawn;
    for (const auto* engine : engines) {
        double share = engine->record.dataCentre == dataCentre_ ? localShare : remoteShare;
        if (!beginsPaths(*engine) || random_.unit() < share)
            drawn.push_back(engine);
    }
    return drawn;
}

std::optional<LayerPath> LayerPathSelector::chooseAmong(const std::vector<const Engine*>& engines, const EngineSet& refusing, const StreamSize& size, const Competition& competition, base::TimePoint now)
{
    auto withoutRefusing = [&refusing](std::vector<const Engine*> from) {
        from.erase(std::remove_if(from.begin(), from.end(), [&refusing](const Engine* engine) { return refusing.count(engine); }), from.end());
        return from;
    };
    double unseenPerCopy = std::min(maxUnseenPerCopy, 2 * competition.unseen / std::max(1.0, countCopies(engines)));
    if (auto path = search(withoutRefusing(drawCandidates(engines, competition)), size, unseenPerCopy, now))
        return path;
    return search(withoutRefusing(engines), size, competition.unseen * competition.contestedShare, now);
}

std::optional<LayerPath> LayerPathSelector::chooseByPlan(std::vector<const Engine*> engines, const EngineSet& refusing, const StreamSize& size, base::TimePoint now)
{
    const auto* shares = plannedShares(now);
    if (!shares)
        return std::nullopt;
    auto dataCentre = shareSequence_.next(*shares, dataCentre_);
    engines.erase(std::remove_if(engines.begin(), engines.end(), [&dataCentre](const Engine* engine) { return beginsPaths(*engine) && engine->record.dataCentre != dataCentre; }), engines.end());
    double others = 1 - 1.0 / std::max(1U, entryVmCount_);
    double unseen = planner_.inflow(dataCentre) * others * std::chrono::duration<double>(peerLoadAge).count();
    return chooseAmong(engines, refusing, size, { unseen, 1, contestedShareOfDataCentre }, now);
}

std::optional<LayerPath> LayerPathSelector::choose(const StreamSize& size, const std::set<std::string>& avoided, base::TimePoint now)
{
    auto engines = usableEngines(avoided, now);
    auto refusing = drawRefusing(engines, now);
    if (auto path = chooseByPlan(engines, refusing, size, now))
        return path;
    // Mostly the VMs of its own data centre choose a copy.
    return chooseAmong(engines, refusing, size, { unseenStreams(now), countDataCentres(engines), contestedShare }, now);
}

EngineShare LayerPathSelector::engineShare(const Engine& engine, base::TimePoint now) const
{
    int layers = engine.record.layers.count();
    double tokensPerStream = std::max(1.0, reservedTokens({ model_.typicalPromptTokens, model_.typicalAnswerTokens }));
    double tokenLayers = tokensPerStream * layers;
    InFlightLoad one { 1, tokenLayers, 0 };
    EngineShare share;
    share.dataCentre = engine.record.dataCentre;
    share.layers = engine.record.layers;
    share.streams = cacheCapacity(engine) / tokenLayers;
    share.running = believedLoad(engine, now).cacheTokenLayers / tokenLayers;
    share.tokenTime = FractionalMilliseconds(tokenMilliseconds(engine, layers, {}));
    share.tokenTimePerStream = FractionalMilliseconds(tokenMilliseconds(engine, layers, one)) - share.tokenTime;
    share.prefillTime = FractionalMilliseconds(prefillMilliseconds(engine, layers, model_.typicalPromptTokens));
    return share;
}

DataCentreStates LayerPathSelector::dataCentreStates(const fleet::ServiceDemands& demands, base::TimePoint now) const
{
    DataCentreStates states;
    states[dataCentre_];
    for (const auto& row : demands) {
        if (std::isfinite(row.arrivals) && row.arrivals > 0)
            states[row.dataCentre].arrivals += row.arrivals;
    }
    std::vector<EngineShare> shares;
    for (const auto& [id, engine] : engines_) {
        // An engine that refuses streams is suspect too, but it works.
        if (!isSuspect(id, now) || refusals_.level(id, now) > 0)
            shares.push_back(engineShare(engine, now));
    }
    addCopies(states, findModelCopies(std::move(shares), model_.layers), model_.tokensPerEvent, model_.typicalAnswerTokens, aims_);
    return states;
}

void LayerPathSelector::setDemand(const fleet::ServiceDemands& demands, base::TimePoint now)
{
    bool isPlanned = !demands.empty() && model_.hasDelays(dataCentre_) && model_.typicalPromptTokens + model_.typicalAnswerTokens > 0;
    if (!isPlanned) {
        demandAt_.reset();
        return;
    }
    demandAt_ = now;
    if (now < nextPlanAt_)
        return;
    nextPlanAt_ = now + planInterval;
    planner_.update(dataCentreStates(demands, now), model_, aims_, now);
}

const CrossSitePlanner::Shares* LayerPathSelector::plannedShares(base::TimePoint now) const { return demandAt_ && now < *demandAt_ + maxDemandAge ? &planner_.shares() : nullptr; }

bool LayerPathSelector::hasPath(const std::set<std::string>& avoided, base::TimePoint now) const { return search(usableEngines(avoided, now), {}, std::nullopt, now).has_value(); }

// The room of all layers is that of the layer with the least.
double LayerPathSelector::freeStreams(base::TimePoint now) const
{
    double tokens = std::max(1.0, reservedTokens({ model_.typicalPromptTokens, model_.typicalAnswerTokens }));
    // How the room changes from one layer to the next.
    std::map<int, double> changes { { 0, 0 }, { model_.layers, 0 } };
    for (const auto* engine : usableEngines({}, now)) {
        const auto& layers = engine->record.layers;
        auto load = believedLoad(*engine, now);
        double room = std::max(0.0, cacheCapacity(*engine) - load.cacheTokenLayers) / (tokens * layers.count());
        if (model_.slots > 0 && beginsPaths(*engine))
            room = std::min(room, std::max(0.0, model_.slots - load.running));
        changes[layers.from] += room;
        changes[layers.to] -= room;
    }
    double room = 0;
    double least = std::numeric_limits<double>::infinity();
    for (auto it = changes.begin(); it != changes.end() && it->first < model_.layers; ++it) {
        room += it->second;
        least = std::min(least, room);
    }
    return std::isfinite(least) ? std::max(0.0, least) : 0;
}

void LayerPathSelector::reserve(const LayerPath& path, const StreamSize& size)
{
    auto first = path.empty() ? engines_.end() : engines_.find(path.front().upstream);
    crossedStreams_ += first != engines_.end() && first->second.record.dataCentre != dataCentre_ ? 1 : 0;
    for (const auto& stage : path) {
        auto& load = ownLoad_[stage.upstream];
        load.running += 1;
        load.cacheTokenLayers += reservedTokens(size) * stage.layers.count();
    }
}

void LayerPathSelector::release(const LayerPath& path, const StreamSize& size)
{
    for (const auto& stage : path) {
        auto found = ownLoad_.find(stage.upstream);
        if (found == ownLoad_.end())
            continue;
        found->second.running -= 1;
        found->second.cacheTokenLayers -= reservedTokens(size) * stage.layers.count();
        if (found->second.running < 0.5)
            ownLoad_.erase(found);
    }
}

} // namespace arbutus::routing
