#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::streams {

struct Token {
    std::uint32_t id = 0;
    std::string text;

    MSGPACK_DEFINE(id, text)
};

// Identifies a step and its result. A result belongs to a step only if all fields
// are equal.
struct StepId {
    std::string stream;
    std::uint32_t attempt = 0;
    // Number of generated tokens that the attempt had consumed before this step.
    std::uint32_t position = 0;
    // Number of generated tokens that this step consumes.
    std::uint32_t count = 0;
    std::uint32_t firstLayer = 0;
    std::uint32_t lastLayer = 0;

    MSGPACK_DEFINE(stream, attempt, position, count, firstLayer, lastLayer)

    friend bool operator==(const StepId& left, const StepId& right)
    {
        return left.position == right.position && left.attempt == right.attempt && left.count == right.count
            && left.firstLayer == right.firstLayer && left.lastLayer == right.lastLayer && left.stream == right.stream;
    }
    friend bool operator!=(const StepId& left, const StepId& right) { return !(left == right); }
};

// Instructs one stage to run its layers on the given input.
struct StageStep {
    StepId id;
    std::string model;
    std::string version;
    std::string adapter;
    int priority = 0;
    // True for the first step of an attempt, which carries the prompt and all tokens
    // generated so far.
    bool isPrefill = false;
    std::string prompt;
    // Input of the first stage: ids of the generated tokens that the step consumes.
    std::vector<std::uint32_t> tokens;
    // Input of later stages: output of the previous stage.
    std::string activation;

    MSGPACK_DEFINE(id, model, version, adapter, priority, isPrefill, prompt, tokens, activation)
};

// Load of an engine as the engine reports it.
struct EngineLoad {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t memoryBytes = 0;
    bool isLeaving = false;

    MSGPACK_DEFINE(running, queued, memoryBytes, isLeaving)
};

// Output of one step, or the reason why the engine refused it.
struct StageResult {
    StepId id;
    std::string activation;
    // Set only by the last stage.
    std::optional<Token> token;
    // True if the model ended its output with this token.
    bool isEndOfSequence = false;
    // Reason why the engine refused the step; empty on success.
    std::string error;
    EngineLoad load;

    MSGPACK_DEFINE(id, activation, token, isEndOfSequence, error, load)
};

// Instructs an engine to release the state of an attempt; 0 means all attempts of the
// stream.
struct CancelStream {
    std::string stream;
    std::uint32_t attempt = 0;

    MSGPACK_DEFINE(stream, attempt)
};

} // namespace arbutus::streams
