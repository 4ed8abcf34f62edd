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

// Stages whose layer ranges cover a model in order.
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

// A step and the engine to send it to.
struct Dispatch {
    std::string engine;
    StageStep step;
};

// What the owner of a session must do after a result.
struct ReceiveOutcome {
    std::optional<Dispatch> dispatch;
    std::optional<Token> token;
    std::optional<FinishReason> finish;
    // True if the attempt failed, so that a new one must be started.
    bool needsNewAttempt = false;
    // True if the result was not the awaited one and had no effect.
    bool wasDropped = false;
};

// Generates the tokens of one stream on the stages of a pipeline. Awaits at most one
// result at a time and compares its full StepId, so results that are repeated or
// belong to another attempt or stream never reach the caller. Not thread-safe.
class StreamSession {
public:
    // Fails with InvalidRequest if the stream id, model, layer count or token limit is missing.
    static base::Result<StreamSession> Make(StreamSpec);

    // Starts a new attempt and cancels the previous one. Fails with NoUpstream if
    // `pipeline` does not cover layers 0 to layerCount - 1 without gap or overlap.
    // The first step expires at `stepDeadline`.
    base::Result<Dispatch> startAttempt(Pipeline, base::TimePoint stepDeadline);

    // Handles a result from any stage of any attempt. `stepDeadline` applies to the
    // next step, if any.
    ReceiveOutcome receive(const StageResult&, base::TimePoint stepDeadline);

    // Ends the attempt if it uses `engine`. Returns true if it did.
    bool handleEngineLoss(const std::string& engine);

    // Ends the attempt if the awaited step is past its deadline. Returns the engine
    // that did not respond, or nullopt if the step is not overdue.
    std::optional<std::string> expireStep(base::TimePoint now);

    // An ended attempt and an engine that may still hold state of it.
    struct Cancellation {
        std::string engine;
        std::uint32_t attempt = 0;
    };
    // Returns the pending cancellations and removes them.
    std::vector<Cancellation> extractCancellations();
    // Ends the current attempt, if any, and adds its cancellations.
    void abandon();

    const StreamSpec& spec() const { return spec_; }
    const std::vector<Token>& tokens() const { return tokens_; }
    const Pipeline& pipeline() const { return pipeline_; }
    std::uint32_t attempt() const { return attempt_; }
    bool hasAttempt() const { return awaitedStep_.has_value(); }
    // Engine of the awaited step, or nullptr if no attempt is running.
    const std::string* awaitedEngine() const { return awaitedStep_ ? &pipeline_[awaitedStep_->stage].engine : nullptr; }
    // True if expireStep() would end the attempt.
    bool isStepOverdue(base::TimePoint now) const { return awaitedStep_ && now >= awaitedStep_->deadline; }
    bool isFinished() const { return finish_.has_value(); }
    // Number of tokens generated since the last attempt started.
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
