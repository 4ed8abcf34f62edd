#include "bench/RoutingSimulation.h"

#include <algorithm>
#include <cmath>

using namespace arbutus;
using namespace std::chrono_literals;

struct StepTimes {
    double baseSeconds;
    double sequenceSeconds;
    double prefillTokenSeconds;
};
static constexpr StepTimes stepTimes[routing::acceleratorKindCount] = {
    { 0.008, 0.00015, 0.000010 },
    { 0.010, 0.00020, 0.000015 },
    { 0.012, 0.00025, 0.000020 },
    { 0.016, 0.00035, 0.000030 },
    { 0.020, 0.00050, 0.000040 },
};
static constexpr std::size_t engineCount = 30;
static constexpr std::size_t rangeCount = 3;
static constexpr std::size_t vmCount = 3;
static constexpr std::size_t teamCount = 10;
static constexpr std::size_t smallTeam = 2;
static constexpr std::size_t maxBatch = 32;
static constexpr std::size_t layersPerRange = 10;
static constexpr std::size_t minPromptTokens = 64;
static constexpr std::size_t maxPromptTokens = 512;
static constexpr std::size_t minOutputTokens = 32;
static constexpr std::size_t maxOutputTokens = 128;
// A prompt token costs an engine about 1/40 of the time of an output token.
static constexpr std::size_t promptTokensPerOutputToken = 40;
static constexpr std::chrono::nanoseconds requestTimeout = 20s;
static constexpr std::chrono::nanoseconds windowBegin = 20s;
static constexpr std::chrono::nanoseconds windowEnd = 60s;
static constexpr std::chrono::nanoseconds faultBegin = 25s;
static constexpr std::chrono::nanoseconds faultEnd = 35s;
static constexpr std::chrono::nanoseconds crashDetectionDelay = 50ms;

static std::size_t acceleratorKindOf(std::size_t engine) { return engine / rangeCount % routing::acceleratorKindCount; }

static double milliseconds(std::chrono::nanoseconds time) { return std::chrono::duration<double, std::milli>(time).count(); }

static std::chrono::nanoseconds toNanoseconds(double seconds) { return std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9)); }

static std::size_t expectedCost(std::size_t prompt, std::size_t output) { return output + prompt / promptTokensPerOutputToken; }

double RoutingSimulation::maxStreamsPerSecond()
{
    constexpr double meanOutput = (minOutputTokens + maxOutputTokens) / 2.0;
    constexpr double meanPrompt = (minPromptTokens + maxPromptTokens) / 2.0;
    std::array<double, rangeCount> perRange {};
    for (std::size_t i = 0; i < engineCount; ++i) {
        const StepTimes& times = stepTimes[acceleratorKindOf(i)];
        const double secondsPerOutputToken = times.baseSeconds / maxBatch + times.sequenceSeconds;
        perRange[i % rangeCount] += 1 / (meanOutput * secondsPerOutputToken + meanPrompt * times.prefillTokenSeconds);
    }
    return *std::min_element(perRange.begin(), perRange.end());
}

RoutingSimulation::RoutingSimulation(const Scenario& scenario)
    : scenario_(scenario)
    , random_(scenario.seed)
    , start_(base::TimePoint(1h))
    , now_(start_)
{
    for (std::size_t i = 0; i < engineCount; ++i) {
        Engine engine {};
        engine.range = i % rangeCount;
        engine.dataCentre = i / rangeCount % vmCount;
        engine.kind = acceleratorKindOf(i);
        engine.id = "engine-" + std::to_string(i);
        engines_.push_back(engine);
    }
    std::vector<routing::TeamRule> rules;
    for (std::size_t i = 0; i < teamCount; ++i)
        rules.push_back({ "team-" + std::to_string(i), 0, 1, 0, 0 });
    for (std::size_t i = 0; i < vmCount; ++i) {
        routing::PipelineSelector::Options options;
        options.stageSumWeight = scenario.stageSumWeight;
        Vm vm;
        vm.selector = std::make_unique<routing::PipelineSelector>("vm-" + std::to_string(i), "dc-" + std::to_string(i), options, scenario.seed + i);
        for (const auto& engine : engines_) {
            const std::size_t first = engine.range * layersPerRange;
            vm.selector->setEngine({ engine.id, "dc-" + std::to_string(engine.dataCentre), static_cast<routing::AcceleratorKind>(engine.kind), { { "m", "1", first, first + layersPerRange - 1 } }, false });
        }
        vm.admission = std::make_unique<routing::AdmissionController>(routing::AdmissionController::Options { 4096, 1024, scenario.slotsPerVm, 60ms });
        vm.admission->setRules(rules, now_);
        vms_.push_back(std::move(vm));
    }
}

void RoutingSimulation::schedule(base::TimePoint at, EventKind kind, std::size_t subject, std::uint32_t attempt)
{
    events_.push({ at, nextSequence_++, kind, subject, attempt });
}

std::chrono::nanoseconds RoutingSimulation::oneWayLatency(std::size_t vm, std::size_t engine) const
{
    return engines_[engine].dataCentre == vm ? 50us : 250us;
}

void RoutingSimulation::handleArrival()
{
    Stream stream {};
    const double draw = random_.unit();
    stream.team = draw < 0.35 ? 0 : draw < 0.7 ? 1
                                               : 2 + random_.below(teamCount - 2);
    stream.vm = random_.below(vmCount);
    stream.prompt = minPromptTokens + random_.below(maxPromptTokens - minPromptTokens + 1);
    stream.output = minOutputTokens + random_.below(maxOutputTokens - minOutputTokens + 1);
    stream.arrivedAt = now_;
    streams_.push_back(stream);
    const std::size_t id = streams_.size() - 1;
    ++report_.offered;
    if (stream.team == smallTeam)
        ++report_.smallTeamOffered;
    Vm& vm = vms_[stream.vm];
    if (scenario_.policy == Policy::Baseline)
        vm.fifo.push_back(id);
    else if (!vm.admission->enqueue({ id, "team-" + std::to_string(stream.team), expectedCost(stream.prompt, stream.output), now_ + requestTimeout, 0 }, now_))
        ++report_.refused;
    startQueued(stream.vm);
    schedule(now_ + toNanoseconds(-std::log(1 - random_.unit()) / (scenario_.load * maxStreamsPerSecond())), EventKind::Arrival);
}

void RoutingSimulation::startQueued(std::size_t index)
{
    Vm& vm = vms_[index];
    if (scenario_.policy == Policy::Baseline) {
        while (!vm.fifo.empty() && vm.running < scenario_.slotsPerVm) {
            ++vm.running;
            const std::size_t id = vm.fifo.front();
            vm.fifo.pop_front();
            startAttempt(id);
        }
        return;
    }
    report_.expired += vm.admission->removeExpired(now_).size();
    while (const auto id = vm.admission->startNext(now_))
        startAttempt(*id);
}

void RoutingSimulation::startAttempt(std::size_t id)
{
    Stream& stream = streams_[id];
    Vm& vm = vms_[stream.vm];
    ++stream.attempt;
    stream.stage = 0;
    stream.isPrefill = true;
    stream.startedAt = now_;
    if (scenario_.policy == Policy::Baseline) {
        for (std::size_t range = 0; range < rangeCount; ++range) {
            std::size_t engine = 0;
            do
                engine = vm.nextEngine[range]++ % (engineCount / rangeCount) * rangeCount + range;
            while (engines_[engine].hasCrashed);
            stream.engines[range] = engine;
        }
    } else {
        const std::size_t rest = stream.output - stream.produced;
        const std::size_t horizon = stream.wasInterrupted ? std::min(rest, routing::maxResumeExpectedTokens) : rest;
        routing::PipelineQuery query { "m", "1", rangeCount * layersPerRange, stream.prompt + stream.produced, horizon, {}, {} };
        const auto pipeline = vm.selector->select(query, now_);
        for (std::size_t range = 0; range < rangeCount; ++range) {
            const auto& id = pipeline.value().stages[range].engine;
            stream.engines[range] = static_cast<std::size_t>(std::stoul(id.substr(id.find('-') + 1)));
            vm.selector->load(id)->streamStarted(query.promptTokens, now_);
        }
    }
    for (std::size_t engine : stream.engines)
        ++engines_[engine].residentStreams;
    sendStep(id);
}

void RoutingSimulation::sendStep(std::size_t id)
{
    Stream& stream = streams_[id];
    stream.sentAt = now_;
    schedule(now_ + oneWayLatency(stream.vm, stream.engines[stream.stage]), EventKind::StepReceived, id, stream.attempt);
}

void RoutingSimulation::startBatch(std::size_t index)
{
    Engine& engine = engines_[index];
    if (engine.isBusy || engine.hasCrashed || engine.waiting.empty())
        return;
    const StepTimes& times = stepTimes[engine.kind];
    double seconds = times.baseSeconds;
    while (!engine.waiting.empty() && engine.batch.size() < maxBatch) {
        const Stream& stream = streams_[engine.waiting.front()];
        seconds += times.sequenceSeconds;
        if (stream.isPrefill)
            seconds += times.prefillTokenSeconds * static_cast<double>(stream.prompt + stream.produced);
        engine.batch.push_back(engine.waiting.front());
        engine.waiting.pop_front();
    }
    engine.isBusy = true;
    schedule(now_ + toNanoseconds(seconds * engine.slowdown), EventKind::BatchDone, index);
}

void RoutingSimulation::handleBatchDone(std::size_t index)
{
    Engine& engine = engines_[index];
    if (engine.hasCrashed)
        return;
    for (std::size_t id : engine.batch)
        schedule(now_ + oneWayLatency(streams_[id].vm, index), EventKind::ResultReceived, id, streams_[id].attempt);
    engine.batch.clear();
    engine.isBusy = false;
    startBatch(index);
}

void RoutingSimulation::handleResult(std::size_t id)
{
    Stream& stream = streams_[id];
    const std::size_t index = stream.engines[stream.stage];
    const Engine& engine = engines_[index];
    if (scenario_.policy == Policy::Routing) {
        auto* load = vms_[stream.vm].selector->load(engine.id);
        const auto link = oneWayLatency(stream.vm, index);
        load->applyReport({ engine.residentStreams, 0, 0, now_ - link });
        const auto time = now_ - stream.sentAt - 2 * link;
        if (stream.isPrefill)
            load->prefillReturned(stream.startedAt, stream.prompt + stream.produced, time, now_);
        else
            load->stepReturned(time, now_);
    }
    if (++stream.stage < rangeCount) {
        sendStep(id);
        return;
    }
    handleToken(id);
}

void RoutingSimulation::handleToken(std::size_t id)
{
    Stream& stream = streams_[id];
    const bool isInWindow = now_ >= start_ + windowBegin && now_ < start_ + windowEnd;
    ++stream.produced;
    tokensInWindow_ += isInWindow ? 1 : 0;
    if (stream.produced == 1) {
        if (isInWindow) {
            report_.firstTokenMs.push_back(milliseconds(now_ - stream.arrivedAt));
            if (stream.team == smallTeam)
                report_.smallTeamFirstTokenMs.push_back(report_.firstTokenMs.back());
        }
    } else {
        const double gap = milliseconds(now_ - stream.lastTokenAt);
        stream.longestGapMs = std::max(stream.longestGapMs, gap);
        if (isInWindow)
            report_.interTokenMs.push_back(gap);
    }
    stream.lastTokenAt = now_;
    stream.stage = 0;
    stream.isPrefill = false;
    if (stream.produced < stream.output) {
        sendStep(id);
        return;
    }
    releaseEngines(stream);
    report_.finishedLate += now_ > stream.arrivedAt + requestTimeout ? 1 : 0;
    if (stream.team == smallTeam)
        ++report_.smallTeamFinished;
    if (stream.wasInterrupted)
        report_.resumeGapsMs.push_back(stream.longestGapMs);
    Vm& vm = vms_[stream.vm];
    if (scenario_.policy == Policy::Routing)
        vm.admission->requestFinished(id, expectedCost(stream.prompt, stream.output), now_);
    else
        --vm.running;
    startQueued(stream.vm);
}

void RoutingSimulation::releaseEngines(Stream& stream)
{
    for (std::size_t engine : stream.engines) {
        --engines_[engine].residentStreams;
        if (scenario_.policy == Policy::Routing) {
            if (auto* load = vms_[stream.vm].selector->load(engines_[engine].id))
                load->streamEnded(stream.startedAt, now_);
        }
    }
}

void RoutingSimulation::crashEngine(std::size_t index)
{
    engines_[index].hasCrashed = true;
    for (std::size_t id = 0; id < streams_.size(); ++id) {
        Stream& stream = streams_[id];
        const bool isRunning = stream.attempt && stream.produced < stream.output;
        if (!isRunning || std::find(stream.engines.begin(), stream.engines.end(), index) == stream.engines.end())
            continue;
        // Makes the pending steps and results of the lost attempt stale.
        ++stream.attempt;
        stream.wasInterrupted = true;
        for (auto& engine : engines_) {
            engine.waiting.erase(std::remove(engine.waiting.begin(), engine.waiting.end(), id), engine.waiting.end());
            engine.batch.erase(std::remove(engine.batch.begin(), engine.batch.end(), id), engine.batch.end());
        }
        releaseEngines(stream);
        schedule(now_ + crashDetectionDelay, EventKind::Resume, id, stream.attempt);
    }
    for (auto& vm : vms_)
        vm.selector->removeEngine(engines_[index].id);
}

RoutingSimulation::Report RoutingSimulation::run()
{
    schedule(now_, EventKind::Arrival);
    schedule(start_ + faultBegin, EventKind::FaultBegins);
    schedule(start_ + faultEnd, EventKind::FaultEnds);
    while (events_.top().at < start_ + windowEnd) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        const bool isStale = event.attempt && streams_[event.subject].attempt != event.attempt;
        switch (event.kind) {
        case EventKind::Arrival:
            handleArrival();
            break;
        case EventKind::StepReceived:
            if (isStale)
                break;
            engines_[streams_[event.subject].engines[streams_[event.subject].stage]].waiting.push_back(event.subject);
            startBatch(streams_[event.subject].engines[streams_[event.subject].stage]);
            break;
        case EventKind::BatchDone:
            handleBatchDone(event.subject);
            break;
        case EventKind::ResultReceived:
            if (!isStale)
                handleResult(event.subject);
            break;
        case EventKind::Resume:
            startAttempt(event.subject);
            break;
        case EventKind::FaultBegins:
            engines_[0].slowdown = scenario_.slowdown;
            if (scenario_.hasEngineCrash)
                crashEngine(0);
            break;
        case EventKind::FaultEnds:
            engines_[0].slowdown = 1;
            break;
        }
    }
    constexpr double meanOutput = (minOutputTokens + maxOutputTokens) / 2.0;
    const double seconds = std::chrono::duration<double>(windowEnd - windowBegin).count();
    report_.throughput = static_cast<double>(tokensInWindow_) / seconds / (maxStreamsPerSecond() * meanOutput);
    return report_;
}
