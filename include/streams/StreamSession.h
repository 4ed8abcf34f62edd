#pragma once

#include "include/base/Error.h"
#include "include/base/Time.h"
#include "include/streams/Step.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::streams {

struct Stage {
    std::string engine;
    std::uint32_t firstLayer = 0;
    std::uint32_t lastLayer = 0;
};

// Engines whose layer ranges cover a model in order.
using Pipeline = std::vector<Stage>;

struct StreamSpec {
    std::string stream;
    std::string model;
    std::string version;
    std::string adapter;
    int priority = 0;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    std::uint32_t layerCount = 0;
};

enum class FinishReason {
    Stop,
    Length,
};

// A step and the engine it goes to.
struct Dispatch {
    std::string engine;
    StageStep step;
};

// What the caller of a session has to do after a call.
struct ReceiveOutcome {
    std::optional<Dispatch> dispatch;
    std::optional<Token> token;
    std::optional<FinishReason> finish;
    // The attempt ended without finishing the answer; a new one is needed.
    bool needsNewAttempt = false;
    // The result was not the expected one and had no effect.
    bool wasDropped = false;
};

// One caller's answer over the stages of a pipeline. At any time it waits for
// at most one result, which it knows by its full name; so no other attempt,
// stream or repeated result can reach the caller. Not thread-safe.
class StreamSession {
public:
    // Fails with InvalidRequest if the spec has no stream, model, layers or tokens to generate.
    static base::Result<StreamSession> Make(StreamSpec);

    // Starts a new attempt and abandons the one before. `pipeline` must cover
    // layers 0 to layerCount - 1 without gap or overlap; fails with NoUpstream
    // if it does not. A step that is not answered by `stepDeadline` is lost.
    base::Result<Dispatch> startAttempt(Pipeline, base::TimePoint stepDeadline);

    // Handles a result from any stage of any attempt. The deadline is for the
    // step that follows from it.
    ReceiveOutcome receive(const StageResult&, base::TimePoint stepDeadline);

    // Ends the attempt if it uses `engine`. Returns whether it did.
    bool handleEngineLoss(const std::string& engine);

    // Ends the attempt if the awaited step is past its deadline. Returns the
    // engine that did not answer.
    std::optional<std::string> expireStep(base::TimePoint now);

    // Engines that hold state of the current or an abandoned attempt and have
    // to be told to cancel it, each with the attempt's number.
    struct Cancellation {
        std::string engine;
        std::uint32_t attempt = 0;
    };
    std::vector<Cancellation> extractCancellations();
    // Ends the stream: the current attempt, if any, is to be cancelled.
    void abandon();

    const StreamSpec& spec() const { return spec_; }
    const std::vector<Token>& tokens() const { return tokens_; }
    const Pipeline& pipeline() const { return pipeline_; }
    std::uint32_t attempt() const { return attempt_; }
    bool hasAttempt() const { return awaitedStep_.has_value(); }
    // The engine that holds the awaited step; null without an attempt.
    const std::string* awaitedEngine() const { return awaitedStep_ ? &pipeline_[awaitedStep_->stage].engine : nullptr; }
    // Whether expire() would end the attempt.
    bool isStepOverdue(base::TimePoint now) const { return awaitedStep_ && now >= awaitedStep_->deadline; }
    bool isFinished() const { return finish_.has_value(); }
    // Tokens given since the current attempt started.
    std::uint32_t tokensInAttempt() const { return static_cast<std::uint32_t>(tokens_.size()) - firstTokenOfAttempt_; }
    std::uint64_t droppedCount() const { return droppedCount_; }

private:
    explicit StreamSession(StreamSpec spec)
        : spec_(std::move(spec))
    {
    }

    struct AwaitedStep {
        StepId id;
        std::size_t stage = 0;
        base::TimePoint deadline;
    };

    void endAttempt();
    Dispatch dispatchTo(std::size_t stage, StageStep, base::TimePoint deadline);
    StageStep makeStep(std::uint32_t position, std::uint32_t count) const;
    ReceiveOutcome receiveToken(const StageResult&, base::TimePoint stepDeadline);

    StreamSpec spec_;
    Pipeline pipeline_;
    std::vector<Token> tokens_;
    std::uint32_t attempt_ = 0;
    std::uint32_t firstTokenOfAttempt_ = 0;
    std::optional<AwaitedStep> awaitedStep_;
    std::optional<FinishReason> finish_;
    std::vector<Cancellation> cancellations_;
    std::uint64_t droppedCount_ = 0;
};

} // namespace arbutus::streams
