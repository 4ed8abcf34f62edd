#pragma once

#include "tools/load/LoadPlan.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::load {

enum class Outcome {
    // All tokens arrived in order, followed by the finish record and [DONE].
    Whole,
    // The response was an error before the first token.
    Refused,
    // A token or the finish reason differs from the expected one, or there are
    // extra tokens.
    Wrong,
    // Wrong, and tokens belong to the answer of another request.
    Foreign,
    // The finish record arrived before the last expected token.
    Missing,
    // The stream ended without a finish record or [DONE], for instance after an
    // error record.
    Cut,
    // No response arrived.
    Unreachable,
    // Still in progress when the run ended.
    Unfinished,
};

// The answer that one caller received.
struct ReceivedAnswer {
    std::vector<std::string> tokens;
    std::string finishReason;
    bool isDone = false;
};

// Compares the answer with every accepted one. Returns Whole, Wrong, Missing or Cut.
Outcome checkAnswer(const PlannedRequest&, const ReceivedAnswer&);

// Index of the expected tokens of all requests. Detects tokens that were delivered
// to the wrong caller.
class ForeignTokenIndex {
public:
    explicit ForeignTokenIndex(const std::vector<PlannedRequest>&);

    // Returns whether three consecutive tokens of `answer` belong to the expected
    // answer of a request other than `number`.
    bool contains(std::size_t number, const ReceivedAnswer& answer) const;

private:
    // Maps the hash of three consecutive tokens to the request that expects them.
    std::unordered_map<std::uint64_t, std::size_t> owners_;
};

} // namespace arbutus::load
