#pragma once

#include "tools/load/LoadPlan.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::load {

enum class Outcome {
    // All tokens in order, the finish record and [DONE].
    Whole,
    // Answered by an error before the first token.
    Refused,
    // A token that differs from the expected one, or one too many.
    Wrong,
    // Wrong, and the tokens are those of another request.
    Foreign,
    // A finish record before the last expected token.
    Missing,
    // The connection ended without [DONE], or an error record came after tokens.
    Cut,
    // No response came.
    Unreachable,
    // Still open when the run ended.
    Unfinished,
};

// What one caller received.
struct ReceivedAnswer {
    std::vector<std::string> tokens;
    std::string finishReason;
    bool isDone = false;
};

// Compares the answer with every accepted one. Returns Whole, Wrong, Missing or Cut.
Outcome checkAnswer(const PlannedRequest&, const ReceivedAnswer&);

// Finds out whether wrong tokens belong to other requests.
class ForeignTokenIndex {
public:
    explicit ForeignTokenIndex(const std::vector<PlannedRequest>&);

    // Whether a run of tokens of `answer` is expected by another request than `number`.
    bool contains(std::size_t number, const ReceivedAnswer& answer) const;

private:
    // From a hash of three successive tokens to the request that expects them.
    std::unordered_map<std::uint64_t, std::size_t> owners_;
};

} // namespace arbutus::load
