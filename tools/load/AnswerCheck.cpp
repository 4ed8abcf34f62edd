#include "tools/load/AnswerCheck.h"

#include "include/base/Digest.h"

#include <algorithm>

namespace arbutus::load {

// One token has 65,536 values, so single tokens of two answers are often equal;
// three successive ones are equal by chance once in 2^48.
static constexpr std::size_t runLength = 3;

static Outcome compare(const std::vector<std::string>& expected, std::uint32_t maxTokens, const ReceivedAnswer& answer)
{
    auto [received, wanted] = std::mismatch(answer.tokens.begin(), answer.tokens.end(), expected.begin(), expected.end());
    if (received != answer.tokens.end())
        return Outcome::Wrong;
    if (answer.finishReason.empty() || !answer.isDone)
        return Outcome::Cut;
    if (wanted != expected.end())
        return Outcome::Missing;
    // An answer at the limit may also end by its last token.
    bool isAtLimit = expected.size() == maxTokens;
    if (answer.finishReason != "stop" && !(isAtLimit && answer.finishReason == "length"))
        return Outcome::Wrong;
    return Outcome::Whole;
}

Outcome checkAnswer(const PlannedRequest& request, const ReceivedAnswer& answer)
{
    // Whole is the best outcome; a prefix of any accepted answer is not wrong.
    Outcome best = Outcome::Wrong;
    for (const auto& expected : request.acceptedAnswers) {
        Outcome outcome = compare(expected, request.maxTokens, answer);
        if (outcome == Outcome::Whole)
            return outcome;
        if (outcome != Outcome::Wrong)
            best = outcome;
    }
    return best;
}

static std::uint64_t runAt(const std::vector<std::string>& tokens, std::size_t index)
{
    std::string run;
    for (std::size_t i = 0; i < runLength; ++i)
        run += tokens[index + i];
    return base::hash64(run);
}

ForeignTokens::ForeignTokens(const std::vector<PlannedRequest>& requests)
{
    for (std::size_t number = 0; number < requests.size(); ++number) {
        for (const auto& expected : requests[number].acceptedAnswers) {
            for (std::size_t i = 0; i + runLength <= expected.size(); ++i)
                owners_.emplace(runAt(expected, i), number);
        }
    }
}

bool ForeignTokens::contains(std::size_t number, const ReceivedAnswer& answer) const
{
    for (std::size_t i = 0; i + runLength <= answer.tokens.size(); ++i) {
        if (auto it = owners_.find(runAt(answer.tokens, i)); it != owners_.end() && it->second != number)
            return true;
    }
    return false;
}

} // namespace arbutus::load
