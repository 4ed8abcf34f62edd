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
        return makeError(ErrorKind::InvalidRequest, "a stream needs a name and a model");
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

    StageStep step = stepFor(0, firstTokenOfAttempt_);
    step.isPrefill = true;
    step.prompt = spec_.prompt;
    return dispatchTo(0, std::move(step), stepDeadline);
}

StageStep StreamSession::stepFor(std::uint32_t position, std::uint32_t count) const
{
    StageStep step;
    step.name.stream = spec_.stream;
    step.name.attempt = attempt_;
    step.name.position = position;
    step.name.count = count;
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
    step.name.firstLayer = pipeline_[stage].firstLayer;
    step.name.lastLayer = pipeline_[stage].lastLayer;
    awaited_ = Awaited { step.name, stage, deadline };
    return Dispatch { pipeline_[stage].engine, std::move(step) };
}

Progress StreamSession::receive(const StageResult& result, TimePoint stepDeadline)
{
    Progress progress;
    if (!awaited_ || result.name != awaited_->name) {
        ++droppedCount_;
        progress.wasDropped = true;
        return progress;
    }
    bool isLastStage = awaited_->stage + 1 == pipeline_.size();
    if (!result.error.empty() || (isLastStage && !result.token)) {
        endAttempt();
        progress.needsAttempt = true;
        return progress;
    }
    if (isLastStage)
        return receiveToken(result, stepDeadline);

    StageStep step = stepFor(result.name.position, result.name.count);
    // Only the first stage reads tokens and the prompt.
    step.tokens.clear();
    step.isPrefill = !result.name.position && result.name.count == firstTokenOfAttempt_;
    step.activation = result.activation;
    progress.dispatch = dispatchTo(awaited_->stage + 1, std::move(step), stepDeadline);
    return progress;
}

Progress StreamSession::receiveToken(const StageResult& result, TimePoint stepDeadline)
{
    Progress progress;
    tokens_.push_back(*result.token);
    progress.token = *result.token;
    if (result.isEnd)
        finish_ = FinishReason::Stop;
    else if (tokens_.size() >= spec_.maxTokens)
        finish_ = FinishReason::Length;

    if (finish_) {
        progress.finish = finish_;
        endAttempt();
        return progress;
    }
    auto position = static_cast<std::uint32_t>(tokens_.size()) - 1;
    progress.dispatch = dispatchTo(0, stepFor(position, 1), stepDeadline);
    return progress;
}

bool StreamSession::loseEngine(const std::string& engine)
{
    if (!awaited_)
        return false;
    bool isUsed = std::any_of(pipeline_.begin(), pipeline_.end(), [&](const Stage& stage) { return stage.engine == engine; });
    if (isUsed)
        endAttempt();
    return isUsed;
}

std::optional<std::string> StreamSession::expire(TimePoint now)
{
    if (!awaited_ || now < awaited_->deadline)
        return std::nullopt;
    std::string engine = pipeline_[awaited_->stage].engine;
    endAttempt();
    return engine;
}

void StreamSession::endAttempt()
{
    if (!awaited_)
        return;
    awaited_.reset();
    for (const auto& stage : pipeline_)
        cancellations_.push_back({ stage.engine, attempt_ });
}

void StreamSession::abandon() { endAttempt(); }

std::vector<StreamSession::Cancellation> StreamSession::takeCancellations()
{
    return std::exchange(cancellations_, {});
}

} // namespace arbutus::streams
