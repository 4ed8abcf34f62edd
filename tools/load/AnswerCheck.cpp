#include "tools/load/AnswerCheck.h"

#include "include/base/Digest.h"

#include <algorithm>

namespace arbutus::load {

// A token has 65,536 values, so two answers often share single tokens. The
// probability that three consecutive tokens match by chance is 1 in 2^48.
static constexpr std::size_t ngramLength = 3;

static Outcome compareWithExpected(const std::vector<std::string>& expected, std::uint32_t maxTokens, const ReceivedAnswer& answer)
{
    auto [received, remaining] = std::mismatch(answer.tokens.begin(), answer.tokens.end(), expected.begin(), expected.end());
    if (received != answer.tokens.end())
        return Outcome::Wrong;
    if (answer.finishReason.empty() || !answer.isDone)
        return Outcome::Cut;
    if (remaining != expected.end())
        return Outcome::Missing;
    // The last token of an answer at the token limit may also be the end token.
    bool isAtLimit = expected.size() == maxTokens;
    if (answer.finishReason != "stop" && !(isAtLimit && answer.finishReason == "length"))
        return Outcome::Wrong;
    return Outcome::Whole;
}

Outcome checkAnswer(const PlannedRequest& request, const ReceivedAnswer& answer)
{
    // Whole is the best outcome. A prefix of any accepted answer is not Wrong.
    Outcome best = Outcome::Wrong;
    for (const auto& expected : request.acceptedAnswers) {
        Outcome outcome = compareWithExpected(expected, request.maxTokens, answer);
        if (outcome == Outcome::Whole)
            return outcome;
        if (outcome != Outcome::Wrong)
            best = outcome;
    }
    return best;
}

static std::uint64_t ngramHash(const std::vector<std::string>& tokens, std::size_t index)
{
    std::string ngram;
    for (std::size_t i = 0; i < ngramLength; ++i)
        ngram += tokens[index + i];
    return base::hash64(ngram);
}

ForeignTokenIndex::ForeignTokenIndex(const std::vector<PlannedRequest>& requests)
{
    for (std::size_t number = 0; number < requests.size(); ++number) {
        for (const auto& expected : requests[number].acceptedAnswers) {
            for (std::size_t i = 0; i + ngramLength <= expected.size(); ++i)
                owners_.emplace(ngramHash(expected, i), number);
        }
    }
}

bool ForeignTokenIndex::contains(std::size_t number, const ReceivedAnswer& answer) const
{
    for (std::size_t i = 0; i + ngramLength <= answer.tokens.size(); ++i) {
        if (auto it = owners_.find(ngramHash(answer.tokens, i)); it != owners_.end() && it->second != number)
            return true;
    }
    return false;
}

} // namespace arbutus::load
