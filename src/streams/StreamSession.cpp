#include "include/streams/StreamSession.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace arbutus::streams {

using base::ErrorKind;
using base::makeError;
using base::Result;
using base::TimePoint;

static bool coversAllLayers(const Pipeline& pipeline, std::uint32_t layerCount)
{
    std::uint32_t next = 0;
    for (const auto& stage : pipeline) {
        if (stage.firstLayer != next || stage.lastLayer < stage.firstLayer)
            return false;
        next = stage.lastLayer + 1;
    }
    return next == layerCount;
}

Result<StreamSession> StreamSession::Make(StreamSpec spec)
{
    if (spec.stream.empty() || spec.model.empty())
        return makeError(ErrorKind::InvalidRequest, "a stream needs an id and a model");
    if (!spec.maxTokens || !spec.layerCount)
        return makeError(ErrorKind::InvalidRequest, "a stream needs at least one token and one layer");
    return StreamSession(std::move(spec));
}

Result<Dispatch> StreamSession::startAttempt(Pipeline pipeline, TimePoint stepDeadline)
{
    assert(!finish_);
    if (!coversAllLayers(pipeline, spec_.layerCount))
        return makeError(ErrorKind::NoUpstream, fmt::format("the pipeline does not cover the {} layers of {} once", spec_.layerCount, spec_.model));
    endAttempt();
    pipeline_ = std::move(pipeline);
    ++attempt_;
    firstTokenOfAttempt_ = static_cast<std::uint32_t>(tokens_.size());

    StageStep step = makeStep(0, firstTokenOfAttempt_);
    step.isPrefill = true;
    step.prompt = spec_.prompt;
    return dispatchTo(0, std::move(step), stepDeadline);
}

StageStep StreamSession::makeStep(std::uint32_t position, std::uint32_t count) const
{
    StageStep step;
    step.id.stream = spec_.stream;
    step.id.attempt = attempt_;
    step.id.position = position;
    step.id.count = count;
    step.model = spec_.model;
    step.version = spec_.version;
    step.adapter = spec_.adapter;
    step.priority = spec_.priority;
    for (std::uint32_t i = position; i < position + count; ++i)
        step.tokens.push_back(tokens_[i].id);
    return step;
}

Dispatch StreamSession::dispatchTo(std::size_t stage, StageStep step, TimePoint deadline)
{
    step.id.firstLayer = pipeline_[stage].firstLayer;
    step.id.lastLayer = pipeline_[stage].lastLayer;
    awaitedStep_ = AwaitedStep { step.id, stage, deadline };
    return Dispatch { pipeline_[stage].engine, std::move(step) };
}

ReceiveOutcome StreamSession::receive(const StageResult& result, TimePoint stepDeadline)
{
    ReceiveOutcome outcome;
    if (!awaitedStep_ || result.id != awaitedStep_->id) {
        ++droppedCount_;
        outcome.wasDropped = true;
        return outcome;
    }
    bool isLastStage = awaitedStep_->stage + 1 == pipeline_.size();
    if (!result.error.empty() || (isLastStage && !result.token)) {
        endAttempt();
        outcome.needsNewAttempt = true;
        return outcome;
    }
    if (isLastStage)
        return receiveToken(result, stepDeadline);

    StageStep step = makeStep(result.id.position, result.id.count);
    // Only the first stage needs the tokens and the prompt.
    step.tokens.clear();
    step.isPrefill = !result.id.position && result.id.count == firstTokenOfAttempt_;
    step.activation = result.activation;
    outcome.dispatch = dispatchTo(awaitedStep_->stage + 1, std::move(step), stepDeadline);
    return outcome;
}

ReceiveOutcome StreamSession::receiveToken(const StageResult& result, TimePoint stepDeadline)
{
    ReceiveOutcome outcome;
    tokens_.push_back(*result.token);
    outcome.token = *result.token;
    if (result.isEndOfSequence)
        finish_ = FinishReason::Stop;
    else if (tokens_.size() >= spec_.maxTokens)
        finish_ = FinishReason::Length;

    if (finish_) {
        outcome.finish = finish_;
        endAttempt();
        return outcome;
    }
    auto position = static_cast<std::uint32_t>(tokens_.size()) - 1;
    outcome.dispatch = dispatchTo(0, makeStep(position, 1), stepDeadline);
    return outcome;
}

bool StreamSession::handleEngineLoss(const std::string& engine)
{
    if (!awaitedStep_)
        return false;
    bool isUsed = std::any_of(pipeline_.begin(), pipeline_.end(), [&](const Stage& stage) { return stage.engine == engine; });
    if (isUsed)
        endAttempt();
    return isUsed;
}

std::optional<std::string> StreamSession::expireStep(TimePoint now)
{
    if (!awaitedStep_ || now < awaitedStep_->deadline)
        return std::nullopt;
    std::string engine = pipeline_[awaitedStep_->stage].engine;
    endAttempt();
    return engine;
}

void StreamSession::endAttempt()
{
    if (!awaitedStep_)
        return;
    awaitedStep_.reset();
    for (const auto& stage : pipeline_)
        cancellations_.push_back({ stage.engine, attempt_ });
}

void StreamSession::abandon() { endAttempt(); }

std::vector<StreamSession::Cancellation> StreamSession::extractCancellations()
{
    return std::exchange(cancellations_, {});
}

} // namespace arbutus::streams
