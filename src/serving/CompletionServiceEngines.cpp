#include "include/serving/CompletionService.h"

#include "include/base/Logger.h"

#include <algorithm>
#include <array>

// Engine tracking of CompletionService: availability, load, and recovery from lost
// engines.

namespace arbutus::serving {

using base::ErrorKind;
using base::makeError;
using base::RankedLock;

// Value of the sheet's upstreams column that permits every class.
static constexpr const char* anyClass = "any";
// Allows for callers that are spread unevenly over the entry VMs.
static constexpr double slotMargin = 1.25;
static constexpr std::size_t minAdmissionSlots = 4;
// Most engine crashes are not caused by a request, so streams resume immediately on
// other engines after the first crash and are isolated after the second.
static constexpr int crashesBeforeIsolation = 2;
// A suspect that finds no idle pipeline within this time resumes on shared engines.
static constexpr std::chrono::seconds isolationTimeout(2);

// Converts an announced accelerator name. Unknown names map to the last kind.
static routing::AcceleratorKind acceleratorKind(const std::string& name)
{
    static constexpr std::array<std::string_view, routing::acceleratorKindCount - 1> names { "large", "standard", "small", "edge" };
    auto it = std::find(names.begin(), names.end(), name);
    return static_cast<routing::AcceleratorKind>(it - names.begin());
}

void CompletionService::setEngines(const std::vector<DescriptorPointer>& engines, std::size_t entryVms)
{
    {
        RankedLock lock(mutex_);
        std::set<std::string> usableIds;
        std::size_t batchSlots = 0;
        for (const auto& descriptor : engines) {
            batchSlots += descriptor->capacity;
            usableIds.insert(descriptor->id);
            Engine& engine = engines_[descriptor->id];
            engine.descriptor = descriptor;
            engine.isUsable = true;
            updateSelector(engine);
        }
        // An engine that is no longer usable gets no new streams. Its running streams
        // continue until its channel closes.
        for (auto& [id, engine] : engines_) {
            if (usableIds.count(id))
                continue;
            engine.isUsable = false;
            selector_.setLeaving(id, true);
        }
        // A stream occupies a batch slot on one stage at a time, so as many streams
        // as there are batch slots on all engines keep every batch full. Further
        // streams only wait in the engines' queues, where low priorities starve.
        if (batchSlots)
            admission_.setSlots(std::clamp(static_cast<std::size_t>(static_cast<double>(batchSlots) * slotMargin) / entryVms, std::min(minAdmissionSlots, options_.slots), options_.slots));
    }
    links_.setEngines(engines);
}

// Updates the selector's entry for the engine. Does nothing while its link is down.
void CompletionService::updateSelector(Engine& engine)
{
    if (!engine.isReady)
        return;
    routing::EngineInfo info;
    info.id = engine.descriptor->id;
    info.dataCentre = engine.descriptor->dataCentre;
    info.kind = acceleratorKind(engine.descriptor->accelerator);
    for (const auto& holding : engine.descriptor->holdings)
        info.ranges.push_back({ holding.model, holding.version, holding.firstLayer, holding.lastLayer });
    info.isLeaving = !engine.isUsable || engine.hasReportedLeaving || engine.descriptor->isLeaving || (configuration_ && configuration_->drainedUpstreams.count(info.id));
    selector_.setEngine(info);
}

void CompletionService::engineReady(const DescriptorPointer& descriptor)
{
    RankedLock lock(mutex_);
    Engine& engine = engines_[descriptor->id];
    engine.descriptor = descriptor;
    engine.hasReportedLeaving = false;
    engine.isReady = true;
    updateSelector(engine);
}

// Returns the engines that the sheet does not permit for the team's model.
std::vector<std::string> CompletionService::enginesOfOtherClass(const std::string& upstreamClass) const
{
    std::vector<std::string> excluded;
    if (upstreamClass.empty() || upstreamClass == anyClass)
        return excluded;
    for (const auto& [id, engine] : engines_) {
        if (engine.descriptor && engine.descriptor->accelerator != upstreamClass)
            excluded.push_back(id);
    }
    return excluded;
}

std::vector<std::string> CompletionService::busyEngines(const std::string& fingerprint) const
{
    std::vector<std::string> busy;
    for (const auto& [id, engine] : engines_) {
        bool isReservedElsewhere = !engine.reservedFor.empty() && engine.reservedFor != fingerprint;
        if (!engine.streams.empty() || engine.reportedRunning || isReservedElsewhere)
            busy.push_back(id);
    }
    return busy;
}

void CompletionService::updateEngineLoad(const std::string& engine, const streams::EngineLoad& load)
{
    auto found = engines_.find(engine);
    if (found == engines_.end() || !found->second.isReady)
        return;
    found->second.reportedRunning = load.running;
    if (auto* known = selector_.load(engine)) {
        routing::LoadReport report;
        report.running = load.running;
        report.queued = load.queued;
        report.reportedAt = clock_.now();
        known->applyReport(report);
    }
    // The engine's channel reports that it is leaving sooner than membership does.
    if (load.isLeaving) {
        found->second.hasReportedLeaving = true;
        selector_.setLeaving(engine, true);
    }
}

void CompletionService::engineLost(const std::string& engineId)
{
    RankedLock lock(mutex_);
    auto found = engines_.find(engineId);
    if (found == engines_.end())
        return;
    Engine& engine = found->second;
    engine.isReady = false;
    engine.reservedFor.clear();
    std::size_t otherStreams = engine.reportedRunning > engine.streams.size() ? engine.reportedRunning - engine.streams.size() : 0;
    engine.reportedRunning = 0;
    selector_.removeEngine(engineId);
    if (engine.streams.empty())
        return;

    ++counters_.engineCrashes;
    auto ids = std::vector<std::string>(engine.streams.begin(), engine.streams.end());
    // Only a stream whose step was on the engine can have crashed it. The others
    // were waiting for another stage of their pipeline.
    std::vector<std::string> fingerprints;
    for (const auto& id : ids) {
        const auto* awaited = streams_.at(id)->session.awaitedEngine();
        if (awaited && *awaited == engineId) {
            fingerprints.push_back(streams_.at(id)->fingerprint);
            streams_.at(id)->crashedEngine = engine.descriptor;
        }
    }
    timeline_.record("engine-lost", { { "engine", engineId }, { "streams", std::to_string(ids.size()) } });
    // The crash counts as a sole crash only if no other stream was assigned to the engine.
    otherStreams += ids.size() - fingerprints.size();
    auto outcome = suspects_.engineCrashed(fingerprints, otherStreams, clock_.now());
    for (const auto& fingerprint : std::set<std::string>(fingerprints.begin(), fingerprints.end()))
        callbacks_.onEngineCrash(fingerprint, engine.descriptor, ids.size() == 1 && !otherStreams);

    for (const auto& id : ids) {
        ActiveStream& stream = *streams_.at(id);
        stream.session.handleEngineLoss(engineId);
        scheduleResume(stream, { engineId }, "engine-lost");
        auto isIn = [&](const std::vector<std::string>& list) { return std::find(list.begin(), list.end(), stream.fingerprint) != list.end(); };
        if (isIn(outcome.blamed))
            fail(stream, makeError(ErrorKind::CrashSuspect, "the request was running on several upstreams that crashed"));
        else if (isIn(outcome.suspects) && suspects_.record(stream.fingerprint).crashCount >= crashesBeforeIsolation) {
            stream.isAwaitingIsolation = true;
            stream.resumeAt = clock_.now() + isolationTimeout;
        } else {
            suspects_.startIsolatedRun(stream.fingerprint);
            startAttempt(stream);
        }
    }
    startAdmitted();
}

// Resumes crash suspects, each on a pipeline of engines without other streams.
void CompletionService::startIsolatedRuns()
{
    std::vector<std::string> awaitingIsolation;
    for (const auto& [id, stream] : streams_) {
        if (stream->isAwaitingIsolation)
            awaitingIsolation.push_back(id);
    }
    for (const auto& id : awaitingIsolation) {
        ActiveStream& stream = *streams_.at(id);
        auto pipeline = choosePipeline(stream, true);
        if (!pipeline)
            return;
        if (!suspects_.startIsolatedRun(stream.fingerprint))
            continue;
        std::string fingerprint = stream.fingerprint;
        if (!startOnPipeline(stream, pipeline.value()))
            continue;
        for (const auto& stage : pipeline.value())
            engines_[stage.engine].reservedFor = fingerprint;
    }
}

} // namespace arbutus::serving
