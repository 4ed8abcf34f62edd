#include "include/placement/PlacementPlanner.h"

#include <algorithm>
#include <optional>

namespace arbutus::placement {

// Matches upstreams of every class in the sheet.
static constexpr const char* anyClass = "any";
static constexpr std::uint32_t maxBackoffDoublings = 10;

// The versions that the sheet names, and the engines that hold each layer range.
struct PlacementPlanner::PlacementSnapshot {
    using RangeKey = std::tuple<std::string, std::string, std::uint32_t, std::uint32_t>;

    // By accelerator.
    std::map<std::string, std::set<ModelVersion>> wanted;
    // By accelerator, model, first and last layer.
    std::map<RangeKey, std::set<const EngineView*>> ranges;

    bool isWanted(const std::string& accelerator, const ModelVersion& version) const { return wanted.at(accelerator).count(version); }
};

std::string_view toString(PlacementAction action) { return action == PlacementAction::Load ? "load" : "unload"; }

static bool holds(const EngineView& engine, const std::pair<std::string, std::string>& version)
{
    return std::any_of(engine.holdings.begin(), engine.holdings.end(), [&](const auto& holding) { return holding.model == version.first && holding.version == version.second; });
}

PlacementPlanner::PlacementSnapshot PlacementPlanner::makeSnapshot(const sheet::Sheet& sheet, const std::vector<EngineView>& engines) const
{
    PlacementSnapshot result;
    for (const auto& engine : engines) {
        if (auto [wanted, isNew] = result.wanted.try_emplace(engine.accelerator); isNew) {
            for (const auto& row : sheet.modelRows()) {
                if (row.upstreams.empty() || row.upstreams == anyClass || row.upstreams == engine.accelerator)
                    wanted->second.insert({ row.model, row.version });
            }
        }
        for (const auto& holding : engine.holdings)
            result.ranges[{ engine.accelerator, holding.model, holding.firstLayer, holding.lastLayer }].insert(&engine);
    }
    return result;
}

std::vector<PlacementCommand> PlacementPlanner::plan(const sheet::Sheet& sheet, const std::vector<EngineView>& engines, std::uint64_t fencingNumber, base::TimePoint now)
{
    fencingNumber_ = fencingNumber;
    PlacementSnapshot snapshot = makeSnapshot(sheet, engines);
    reconcileInFlight(snapshot, engines, now);
    std::vector<PlacementCommand> commands;
    planLoads(snapshot, engines, commands, now);
    planUnloads(snapshot, engines, commands, now);
    return commands;
}

// Removes commands in flight that have taken effect or failed, and failures that no
// longer apply.
void PlacementPlanner::reconcileInFlight(const PlacementSnapshot& snapshot, const std::vector<EngineView>& engines, base::TimePoint now)
{
    std::map<std::string, const EngineView*> byId;
    for (const auto& engine : engines)
        byId[engine.id] = &engine;
    auto engineOf = [&](const std::string& id) {
        auto it = byId.find(id);
        return it == byId.end() ? nullptr : it->second;
    };
    for (auto it = inFlight_.begin(); it != inFlight_.end();) {
        InFlight entry = it->second;
        const PlacementCommand& command = entry.command;
        const EngineView* engine = engineOf(it->first);
        bool hasRestarted = engine && engine->incarnation != command.engineIncarnation;
        bool hasEffect = engine && holds(*engine, { command.model, command.version }) == (command.action == PlacementAction::Load);
        bool isOverdue = entry.isExecuted && !hasEffect && now >= entry.reportDeadline;
        // A command to an engine that is gone stays in flight until its call ends.
        bool isOver = hasRestarted || (entry.isExecuted && (hasEffect || !engine || isOverdue));
        it = isOver ? inFlight_.erase(it) : std::next(it);
        if (isOver && engine && !hasRestarted && isOverdue)
            recordFailure(command, "the engine does not report the effect of the command", now);
    }
    for (auto it = failures_.begin(); it != failures_.end();) {
        const FailedCommand& failure = it->second;
        const EngineView* engine = engineOf(failure.engine);
        ModelVersion version { failure.model, failure.version };
        bool isLoad = failure.action == PlacementAction::Load;
        bool applies = engine && engine->incarnation == failure.engineIncarnation && holds(*engine, version) != isLoad && snapshot.isWanted(engine->accelerator, version) == isLoad;
        it = applies ? std::next(it) : failures_.erase(it);
    }
}

// Returns whether every layer range of `engine` keeps enough other serving engines during
// a change. A busy engine may serve more slowly, or not at all if it cannot hold two
// versions. A range with a single engine is changed regardless.
bool PlacementPlanner::keepsMinServing(const PlacementSnapshot& snapshot, const EngineView& engine) const
{
    for (const auto& [key, members] : snapshot.ranges) {
        if (!engine.isServing || !members.count(&engine))
            continue;
        std::size_t serving = 0;
        std::size_t remaining = 0;
        for (const auto* member : members) {
            serving += member->isServing;
            remaining += member->isServing && member != &engine && !inFlight_.count(member->id);
        }
        if (remaining < std::min(options_.minServing, serving - 1))
            return false;
    }
    return true;
}

bool PlacementPlanner::mayIssue(const EngineView& engine, PlacementAction action, const ModelVersion& version, base::TimePoint now) const
{
    if (inFlight_.count(engine.id))
        return false;
    auto failure = failures_.find({ engine.id, action, version.first, version.second });
    return failure == failures_.end() || now >= failure->second.retryAt;
}

void PlacementPlanner::issue(const EngineView& engine, PlacementAction action, const ModelVersion& version, std::vector<PlacementCommand>& commands)
{
    PlacementCommand command { nextCommandId_++, fencingNumber_, engine.id, engine.incarnation, action, version.first, version.second };
    inFlight_[engine.id] = { command, false, {} };
    commands.push_back(std::move(command));
}

std::size_t PlacementPlanner::downloadCount() const
{
    return static_cast<std::size_t>(std::count_if(inFlight_.begin(), inFlight_.end(), [](const auto& entry) { return entry.second.command.action == PlacementAction::Load && !entry.second.isExecuted; }));
}

// Ranges with the fewest engines of a new version are loaded first, so that every range
// can serve the version early.
void PlacementPlanner::planLoads(const PlacementSnapshot& snapshot, const std::vector<EngineView>& engines, std::vector<PlacementCommand>& commands, base::TimePoint now)
{
    auto holderCount = [&](const EngineView& engine, const ModelVersion& version) {
        std::size_t count = 0;
        for (const auto& [key, members] : snapshot.ranges) {
            if (std::get<0>(key) != engine.accelerator || std::get<1>(key) != version.first || !members.count(&engine))
                continue;
            for (const auto* member : members) {
                auto flight = inFlight_.find(member->id);
                bool isLoading = flight != inFlight_.end() && flight->second.command.action == PlacementAction::Load && flight->second.command.model == version.first && flight->second.command.version == version.second;
                count += isLoading || holds(*member, version);
            }
        }
        return count;
    };
    while (downloadCount() < options_.maxDownloads) {
        const EngineView* best = nullptr;
        ModelVersion bestVersion;
        std::size_t bestCount = 0;
        for (const auto& engine : engines) {
            for (const auto& version : snapshot.wanted.at(engine.accelerator)) {
                if (holds(engine, version) || !mayIssue(engine, PlacementAction::Load, version, now) || !keepsMinServing(snapshot, engine))
                    continue;
                std::size_t count = holderCount(engine, version);
                if (!best || count < bestCount) {
                    best = &engine;
                    bestVersion = version;
                    bestCount = count;
                }
            }
        }
        if (!best)
            return;
        issue(*best, PlacementAction::Load, bestVersion, commands);
    }
}

// An old version is dispensable if every layer range of its model has enough serving
// engines that hold all versions which the sheet names instead.
bool PlacementPlanner::isDispensable(const PlacementSnapshot& snapshot, const std::string& accelerator, const ModelVersion& old) const
{
    std::vector<ModelVersion> successors;
    for (const auto& version : snapshot.wanted.at(accelerator)) {
        if (version.first == old.first)
            successors.push_back(version);
    }
    if (successors.empty())
        return true;
    for (const auto& [key, members] : snapshot.ranges) {
        if (std::get<0>(key) != accelerator || std::get<1>(key) != old.first)
            continue;
        std::size_t serving = 0;
        std::size_t ready = 0;
        for (const auto* member : members) {
            serving += member->isServing;
            ready += member->isServing && std::all_of(successors.begin(), successors.end(), [&](const auto& version) { return holds(*member, version); });
        }
        if (ready < std::min(options_.minServing, serving))
            return false;
    }
    return true;
}

void PlacementPlanner::planUnloads(const PlacementSnapshot& snapshot, const std::vector<EngineView>& engines, std::vector<PlacementCommand>& commands, base::TimePoint now)
{
    std::map<std::tuple<std::string, std::string, std::string>, base::TimePoint> since;
    for (const auto& engine : engines) {
        for (const auto& holding : engine.holdings) {
            ModelVersion version { holding.model, holding.version };
            std::tuple<std::string, std::string, std::string> key { engine.accelerator, holding.model, holding.version };
            if (snapshot.isWanted(engine.accelerator, version) || !isDispensable(snapshot, engine.accelerator, version))
                continue;
            auto known = dispensableSince_.find(key);
            base::TimePoint start = known == dispensableSince_.end() ? now : known->second;
            since[key] = start;
            if (now >= start + options_.unloadGrace && mayIssue(engine, PlacementAction::Unload, version, now) && keepsMinServing(snapshot, engine))
                issue(engine, PlacementAction::Unload, version, commands);
        }
    }
    dispensableSince_ = std::move(since);
}

void PlacementPlanner::recordFailure(const PlacementCommand& command, const std::string& detail, base::TimePoint now)
{
    auto& failure = failures_[{ command.engine, command.action, command.model, command.version }];
    auto doublings = std::min(failure.failures, maxBackoffDoublings);
    auto delay = std::min(options_.maxRetryDelay, options_.firstRetryDelay * (std::int64_t { 1 } << doublings));
    failure = { command.engine, command.engineIncarnation, command.action, command.model, command.version, failure.failures + 1, now + delay, detail };
}

void PlacementPlanner::finish(std::uint64_t commandId, bool hasSucceeded, const std::string& detail, base::TimePoint now)
{
    auto it = std::find_if(inFlight_.begin(), inFlight_.end(), [&](const auto& entry) { return entry.second.command.id == commandId; });
    if (it == inFlight_.end())
        return;
    if (hasSucceeded) {
        it->second.isExecuted = true;
        it->second.reportDeadline = now + options_.reportTimeout;
        return;
    }
    recordFailure(it->second.command, detail, now);
    inFlight_.erase(it);
}

void PlacementPlanner::reset()
{
    inFlight_.clear();
    failures_.clear();
    dispensableSince_.clear();
}

bool PlacementPlanner::isConverged(const sheet::Sheet& sheet, const std::vector<EngineView>& engines) const
{
    if (!inFlight_.empty())
        return false;
    PlacementSnapshot snapshot = makeSnapshot(sheet, engines);
    return std::all_of(engines.begin(), engines.end(), [&](const EngineView& engine) {
        const auto& wanted = snapshot.wanted.at(engine.accelerator);
        return std::all_of(wanted.begin(), wanted.end(), [&](const auto& version) { return holds(engine, version); })
            && std::all_of(engine.holdings.begin(), engine.holdings.end(), [&](const auto& holding) { return wanted.count({ holding.model, holding.version }); });
    });
}

std::vector<PlacementCommand> PlacementPlanner::commandsInFlight() const
{
    std::vector<PlacementCommand> commands;
    for (const auto& [engine, entry] : inFlight_)
        commands.push_back(entry.command);
    return commands;
}

std::vector<FailedCommand> PlacementPlanner::failedCommands() const
{
    std::vector<FailedCommand> failures;
    for (const auto& [key, failure] : failures_)
        failures.push_back(failure);
    return failures;
}

} // namespace arbutus::placement
