#include "include/serving/CompletionService.h"

#include "include/base/Digest.h"
#include "include/base/LockRanks.h"
#include "include/base/Logger.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace arbutus::serving {

using base::Error;
using base::ErrorKind;
using base::makeError;
using base::RankedLock;
using base::Result;

static constexpr base::Logger logger("streams");
static constexpr std::size_t maxSuspectRecords = 4096;
static constexpr std::chrono::milliseconds resumeRetryDelay(20);
static constexpr int stepTimeoutFactor = 8;

static std::size_t wordCount(const std::string& text)
{
    std::size_t count = 0;
    bool isInside = false;
    for (char c : text) {
        bool isSpace = c == ' ' || c == '\n' || c == '\t';
        count += !isSpace && !isInside;
        isInside = !isSpace;
    }
    return count;
}

static std::string fingerprintOf(const CompletionRequest& request)
{
    return base::sha256Hex(fmt::format("{}\n{}\n{}\n{}", request.team, request.model, request.maxTokens, request.prompt));
}

static routing::AdmissionController::Options admissionOptions(const CompletionService::Options& options)
{
    routing::AdmissionController::Options result;
    result.slots = options.slots;
    result.maxQueued = options.maxQueued;
    result.initialTokenTime = std::chrono::milliseconds(10);
    return result;
}

CompletionService::CompletionService(const base::Clock& clock, base::Timeline& timeline, const Options& options, EngineLinks& links, Callbacks callbacks)
    : clock_(clock)
    , timeline_(timeline)
    , options_(options)
    , links_(links)
    , callbacks_(std::move(callbacks))
    , mutex_(base::lock_rank::entryStreams)
    , admission_(admissionOptions(options))
    , selector_(options.vm, options.dataCentre, {}, options.seed)
    , suspects_(maxSuspectRecords)
{
}

void CompletionService::setConfiguration(ConfigurationPointer configuration)
{
    RankedLock lock(mutex_);
    configuration_ = std::move(configuration);
    // A team's rule combines its rows: summed limits, highest weight, most urgent priority.
    std::map<std::string, routing::TeamRule> rules;
    for (const auto& row : configuration_->sheet->modelRows()) {
        auto [it, inserted] = rules.emplace(row.team, routing::TeamRule { row.team, static_cast<int>(9 - row.priority), row.weight.value(), row.maxRunning, row.maxRate.value() });
        if (inserted)
            continue;
        it->second.priority = std::min(it->second.priority, static_cast<int>(9 - row.priority));
        it->second.weight = std::max(it->second.weight, row.weight.value());
        it->second.maxRunning += row.maxRunning;
        it->second.maxRate += row.maxRate.value();
    }
    std::vector<routing::TeamRule> list;
    list.reserve(rules.size());
    for (auto& [team, rule] : rules)
        list.push_back(std::move(rule));
    admission_.setRules(list, clock_.now());
    for (const auto& fingerprint : configuration_->blamedFingerprints) {
        // A fingerprint that is already blamed keeps its time, so that the blame expires on schedule.
        if (!suspects_.checkNotBlamed(fingerprint, clock_.now()))
            continue;
        routing::CrashSuspectTracker::Record record = suspects_.record(fingerprint);
        record.fingerprint = fingerprint;
        record.crashCount = std::max(record.crashCount, 3);
        record.lastCrashAt = clock_.now();
        suspects_.merge(record, clock_.now());
    }
    for (auto& [id, engine] : engines_)
        updateSelector(engine);
}

// A loaded engine is slow without being stalled, so the timeout scales with the
// expected step time.
base::TimePoint CompletionService::stepDeadline(const std::string& engine, std::size_t prefillTokens)
{
    auto now = clock_.now();
    auto limit = options_.minStepTimeout;
    if (auto* load = selector_.load(engine))
        limit = std::max(limit, stepTimeoutFactor * (prefillTokens ? load->expectedPrefill(prefillTokens, now) : load->expectedStep(now)));
    return now + limit;
}

Result<std::unique_ptr<CompletionService::ActiveStream>> CompletionService::enqueue(const CompletionRequest& request, const state::Configuration& configuration)
{
    const auto* row = configuration.sheet->findModel(request.team, request.model);
    if (!row)
        return makeError(ErrorKind::UnknownModel, fmt::format("the sheet does not allow team {} to use model {}", request.team, request.model));
    streams::StreamSpec spec;
    spec.stream = request.id;
    spec.model = row->model;
    spec.version = row->version;
    spec.adapter = row->adapter;
    spec.priority = static_cast<int>(row->priority);
    spec.prompt = request.prompt;
    spec.maxTokens = request.maxTokens;
    spec.layerCount = row->layers;
    BOOST_OUTCOME_TRY(session, streams::StreamSession::Make(std::move(spec)));
    auto stream = std::make_unique<ActiveStream>(std::move(session), request);
    stream->upstreamClass = row->upstreams;
    stream->fingerprint = fingerprintOf(request);
    stream->promptTokens = wordCount(request.prompt);
    stream->admissionId = nextAdmissionId_++;
    if (auto checked = suspects_.checkNotBlamed(stream->fingerprint, clock_.now()); !checked)
        return checked.error();
    routing::AdmissionRequest admission;
    admission.id = stream->admissionId;
    admission.team = request.team;
    admission.expectedTokens = request.maxTokens;
    admission.deadline = request.deadline;
    admission.fingerprint = base::hash64(stream->fingerprint);
    if (auto offered = admission_.enqueue(admission, clock_.now()); !offered)
        return offered.error();
    return stream;
}

void CompletionService::refuse(ResponseSink& sink, const CompletionRequest& request, const Error& error)
{
    ++counters_.refused;
    timeline_.record("request-refused", { { "request", request.id }, { "team", request.team }, { "kind", std::string(base::errorRule(error.kind).name) } });
    callbacks_.onRefusal(request.team, error.kind);
    sink.fail(error, clock_.now());
}

void CompletionService::submit(const CompletionRequest& request, const ConfigurationPointer& configuration, const MakeSink& makeSink)
{
    auto sink = makeSink([this, id = request.id] { callerDisconnected(id); });
    RankedLock lock(mutex_);
    ++counters_.requests;
    auto enqueued = enqueue(request, *configuration);
    if (!enqueued) {
        refuse(*sink, request, enqueued.error());
        return;
    }
    auto stream = std::move(enqueued).value();
    stream->sink = std::move(sink);
    timeline_.record("request-accepted", { { "request", request.id }, { "team", request.team }, { "model", request.model } });
    streamByAdmission_[stream->admissionId] = request.id;
    streams_.emplace(request.id, std::move(stream));
    startAdmitted();
}

void CompletionService::startAdmitted()
{
    while (auto id = admission_.startNext(clock_.now())) {
        auto found = streamByAdmission_.find(*id);
        if (found == streamByAdmission_.end())
            continue;
        ActiveStream& stream = *streams_.at(found->second);
        stream.isAdmitted = true;
        startAttempt(stream);
    }
}

Result<streams::Pipeline> CompletionService::choosePipeline(ActiveStream& stream, bool requiresIdleEngines)
{
    const auto& spec = stream.session.spec();
    routing::PipelineQuery query;
    query.model = spec.model;
    query.version = spec.version;
    query.layerCount = spec.layerCount;
    query.promptTokens = stream.promptTokens + stream.session.tokens().size();
    query.expectedTokens = spec.maxTokens - stream.session.tokens().size();
    if (stream.wasDispatched)
        query.expectedTokens = std::min(query.expectedTokens, routing::maxResumeExpectedTokens);
    query.excluded = stream.avoidedEngines;
    auto otherClass = enginesOfOtherClass(stream.upstreamClass);
    query.excluded.insert(query.excluded.end(), otherClass.begin(), otherClass.end());
    if (requiresIdleEngines) {
        auto busy = busyEngines(stream.fingerprint);
        query.excluded.insert(query.excluded.end(), busy.begin(), busy.end());
    } else {
        for (const auto& [id, engine] : engines_) {
            if (!engine.reservedFor.empty())
                query.excluded.push_back(id);
        }
    }
    auto selected = selector_.select(query, clock_.now());
    if (!selected && !requiresIdleEngines && !stream.avoidedEngines.empty()) {
        // Falls back to avoided engines if no other pipeline is available.
        query.excluded = otherClass;
        selected = selector_.select(query, clock_.now());
    }
    if (!selected)
        return selected.error();
    streams::Pipeline pipeline;
    for (const auto& stage : selected.value().stages)
        pipeline.push_back({ stage.engine, static_cast<std::uint32_t>(stage.first), static_cast<std::uint32_t>(stage.last) });
    return pipeline;
}

void CompletionService::startAttempt(ActiveStream& stream)
{
    auto pipeline = choosePipeline(stream, false);
    if (!pipeline) {
        // A request that was never sent can be refused as not run. One that was
        // sent retries until its deadline.
        if (stream.wasDispatched)
            stream.resumeAt = clock_.now() + resumeRetryDelay;
        else
            fail(stream, pipeline.error());
        return;
    }
    startOnPipeline(stream, std::move(pipeline).value());
}

bool CompletionService::startOnPipeline(ActiveStream& stream, streams::Pipeline pipeline)
{
    auto now = clock_.now();
    std::size_t prefillTokens = stream.promptTokens + stream.session.tokens().size();
    auto deadline = stepDeadline(pipeline.front().engine, prefillTokens);
    auto first = stream.session.startAttempt(pipeline, deadline);
    if (!first) {
        // This error kind states that the request did not run, which is only true if nothing was sent.
        if (stream.wasDispatched)
            stream.resumeAt = now + resumeRetryDelay;
        else
            fail(stream, first.error());
        return false;
    }
    stream.resumeAt.reset();
    stream.isAwaitingIsolation = false;
    stream.attemptStartedAt = now;
    std::string engines;
    for (const auto& stage : pipeline) {
        engines_[stage.engine].streams.insert(stream.request.id);
        if (auto* load = selector_.load(stage.engine))
            load->streamStarted(prefillTokens, now);
        engines += (engines.empty() ? "" : " ") + stage.engine;
    }
    bool isResume = stream.wasDispatched;
    counters_.resumes += isResume;
    timeline_.record(isResume ? "stream-resumed" : "stream-started",
        { { "request", stream.request.id }, { "attempt", std::to_string(stream.session.attempt()) }, { "engines", engines }, { "token", std::to_string(stream.session.tokens().size()) } });
    dispatch(stream, first.value());
    return true;
}

void CompletionService::dispatch(ActiveStream& stream, const streams::Dispatch& dispatch)
{
    stream.stepSentAt = clock_.now();
    if (links_.send(dispatch.engine, dispatch.step)) {
        stream.wasDispatched = true;
        return;
    }
    // The link was just lost. engineLost() or the step deadline ends the attempt.
}

void CompletionService::engineMessage(const std::string& engine, const streams::ChannelMessage& message)
{
    RankedLock lock(mutex_);
    if (const auto* result = std::get_if<streams::StageResult>(&message)) {
        updateEngineLoad(engine, result->load);
        receiveResult(engine, *result);
    } else if (const auto* load = std::get_if<streams::EngineLoad>(&message))
        updateEngineLoad(engine, *load);
}

void CompletionService::receiveResult(const std::string& engine, const streams::StageResult& result)
{
    auto found = streams_.find(result.id.stream);
    if (found == streams_.end()) {
        ++counters_.droppedResults;
        return;
    }
    ActiveStream& stream = *found->second;
    // Only the engine that is assigned to a stage may send its result.
    const auto& stages = stream.session.pipeline();
    bool isFromStage = std::any_of(stages.begin(), stages.end(), [&](const streams::Stage& stage) { return stage.engine == engine && stage.firstLayer == result.id.firstLayer; });
    if (!isFromStage) {
        ++counters_.droppedResults;
        return;
    }
    auto now = clock_.now();
    auto sentAt = stream.stepSentAt;
    bool isPrefill = !result.id.position && result.id.count == stream.session.tokens().size() - stream.session.tokensInAttempt();
    auto outcome = stream.session.receive(result, stepDeadline(engine, isPrefill ? stream.promptTokens + result.id.count : 0));
    if (outcome.wasDropped) {
        ++counters_.droppedResults;
        return;
    }
    if (outcome.needsNewAttempt) {
        logger.warning("An engine refused a step.", { { "engine", engine }, { "request", stream.request.id }, { "reason", result.error } });
        scheduleResume(stream, { engine }, "step-refused");
        return;
    }
    if (auto* load = selector_.load(engine)) {
        if (isPrefill)
            load->prefillReturned(stream.attemptStartedAt, stream.promptTokens + result.id.count, now - sentAt, now);
        else
            load->stepReturned(now - sentAt, now);
    }
    if (outcome.token) {
        ++counters_.tokens;
        clearCountedCrash(stream, false);
        if (!stream.sink->token(*outcome.token)) {
            fail(stream, makeError(ErrorKind::StreamFailed, "the caller disconnected or reads too slowly"));
            return;
        }
    }
    if (outcome.finish)
        finish(stream, *outcome.finish);
    else if (outcome.dispatch)
        dispatch(stream, *outcome.dispatch);
}

// Clears the last crash in the replicated state too, once this VM's tracker has
// cleared it. Otherwise unrelated engine failures would add up there, and a request
// that many callers send would be blamed for them.
void CompletionService::clearCountedCrash(ActiveStream& stream, bool didComplete)
{
    if (!stream.crashedEngine)
        return;
    int crashCount = suspects_.record(stream.fingerprint).crashCount;
    if (didComplete)
        suspects_.requestCompleted(stream.fingerprint);
    else
        suspects_.tokensProduced(stream.fingerprint, stream.session.tokensInAttempt());
    if (suspects_.record(stream.fingerprint).crashCount >= crashCount)
        return;
    callbacks_.onCrashCleared(stream.fingerprint, stream.crashedEngine);
    stream.crashedEngine.reset();
}

void CompletionService::releasePipeline(ActiveStream& stream)
{
    auto now = clock_.now();
    for (const auto& stage : stream.session.pipeline()) {
        auto found = engines_.find(stage.engine);
        if (found == engines_.end() || !found->second.streams.erase(stream.request.id))
            continue;
        if (auto* load = selector_.load(stage.engine))
            load->streamEnded(stream.attemptStartedAt, now);
        if (found->second.reservedFor == stream.fingerprint)
            found->second.reservedFor.clear();
    }
}

void CompletionService::sendCancellations(ActiveStream& stream)
{
    for (const auto& cancellation : stream.session.extractCancellations())
        links_.send(cancellation.engine, streams::CancelStream { stream.request.id, cancellation.attempt });
}

void CompletionService::scheduleResume(ActiveStream& stream, const std::vector<std::string>& avoided, const std::string& reason)
{
    releasePipeline(stream);
    sendCancellations(stream);
    stream.avoidedEngines.insert(stream.avoidedEngines.end(), avoided.begin(), avoided.end());
    stream.resumeAt = clock_.now();
    std::string engines;
    for (const auto& engine : avoided)
        engines += (engines.empty() ? "" : " ") + engine;
    timeline_.record("attempt-ended", { { "request", stream.request.id }, { "attempt", std::to_string(stream.session.attempt()) }, { "engine", engines }, { "reason", reason } });
}

void CompletionService::startDueResumes()
{
    auto now = clock_.now();
    std::vector<std::string> due;
    for (const auto& [id, stream] : streams_) {
        if (stream->resumeAt && *stream->resumeAt <= now)
            due.push_back(id);
    }
    for (const auto& id : due) {
        ActiveStream& stream = *streams_.at(id);
        if (stream.isAwaitingIsolation)
            suspects_.startIsolatedRun(stream.fingerprint);
        startAttempt(stream);
    }
}

void CompletionService::expireSteps()
{
    auto now = clock_.now();
    std::vector<std::string> pastDeadline;
    std::vector<std::string> stalled;
    for (const auto& [id, stream] : streams_) {
        if (stream->isAdmitted && now >= stream->request.deadline)
            pastDeadline.push_back(id);
        else if (stream->session.hasAttempt() && stream->session.isStepOverdue(now))
            stalled.push_back(id);
    }
    for (const auto& id : pastDeadline) {
        ActiveStream& stream = *streams_.at(id);
        // A request without a sent step has not run.
        auto kind = stream.wasDispatched ? ErrorKind::RequestTimeout : ErrorKind::DeadlineUnreachable;
        fail(stream, makeError(kind, "the request deadline has passed"));
    }
    for (const auto& id : stalled) {
        ActiveStream& stream = *streams_.at(id);
        auto engine = stream.session.expireStep(now).value_or("");
        if (auto* load = selector_.load(engine))
            load->stepFailed(now);
        suspects_.isolationInterrupted(stream.fingerprint);
        scheduleResume(stream, { engine }, "step-timeout");
    }
}

void CompletionService::tick()
{
    RankedLock lock(mutex_);
    auto now = clock_.now();
    for (const auto& refusal : admission_.removeExpired(now)) {
        auto found = streamByAdmission_.find(refusal.id);
        if (found != streamByAdmission_.end())
            fail(*streams_.at(found->second), refusal.error);
    }
    expireSteps();
    startIsolatedRuns();
    startDueResumes();
    startAdmitted();
}

void CompletionService::callerDisconnected(const std::string& id)
{
    RankedLock lock(mutex_);
    auto found = streams_.find(id);
    if (found == streams_.end())
        return;
    timeline_.record("caller-gone", { { "request", id } });
    fail(*found->second, makeError(ErrorKind::StreamFailed, "the caller disconnected"));
}

void CompletionService::finish(ActiveStream& stream, streams::FinishReason reason)
{
    ++counters_.finished;
    timeline_.record("request-finished", { { "request", stream.request.id }, { "tokens", std::to_string(stream.session.tokens().size()) } });
    stream.sink->finish(reason, stream.promptTokens, stream.session.tokens().size());
    endRequest(stream, true);
}

void CompletionService::fail(ActiveStream& stream, const Error& error)
{
    ++counters_.failed;
    timeline_.record("request-failed", { { "request", stream.request.id }, { "kind", std::string(base::errorRule(error.kind).name) } });
    callbacks_.onRefusal(stream.request.team, error.kind);
    stream.sink->fail(error, clock_.now());
    endRequest(stream, false);
}

void CompletionService::endRequest(ActiveStream& stream, bool didComplete)
{
    releasePipeline(stream);
    stream.session.abandon();
    sendCancellations(stream);
    clearCountedCrash(stream, didComplete);
    suspects_.requestCancelled(stream.fingerprint);
    if (stream.isAdmitted)
        admission_.requestFinished(stream.admissionId, stream.session.tokens().size(), clock_.now());
    else
        admission_.cancel(stream.admissionId);
    streamByAdmission_.erase(stream.admissionId);
    streams_.erase(std::string(stream.request.id));
}

std::size_t CompletionService::openRequestCount() const
{
    RankedLock lock(mutex_);
    return streams_.size();
}

CompletionService::Counters CompletionService::counters() const
{
    RankedLock lock(mutex_);
    return counters_;
}

} // namespace arbutus::serving
