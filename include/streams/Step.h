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

// What a step and its result are called. A result belongs to a step only if
// every field is equal.
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

// One order to one stage: run these layers over this input.
struct StageStep {
    StepId id;
    std::string model;
    std::string version;
    std::string adapter;
    int priority = 0;
    // The first step of an attempt; it carries the prompt and every token that the caller has.
    bool isPrefill = false;
    std::string prompt;
    // Input of the first stage: the ids of the generated tokens that the step consumes.
    std::vector<std::uint32_t> tokens;
    // Input of later stages: the output of the stage before.
    std::string activation;

    MSGPACK_DEFINE(id, model, version, adapter, priority, isPrefill, prompt, tokens, activation)
};

struct EngineLoad {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t memoryBytes = 0;
    bool isLeaving = false;

    MSGPACK_DEFINE(running, queued, memoryBytes, isLeaving)
};

struct StageResult {
    StepId id;
    std::string activation;
    // Present from the last stage.
    std::optional<Token> token;
    // The model ended its answer with this token.
    bool isEndOfSequence = false;
    // Not empty when the engine refused the step.
    std::string error;
    EngineLoad load;

    MSGPACK_DEFINE(id, activation, token, isEndOfSequence, error, load)
};

// Makes an engine free what it holds for an attempt; 0 stands for every attempt.
struct CancelStream {
    std::string stream;
    std::uint32_t attempt = 0;

    MSGPACK_DEFINE(stream, attempt)
};

} // namespace arbutus::streams
