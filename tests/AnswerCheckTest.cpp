#include "tools/load/AnswerCheck.h"
#include "tools/load/LoadReport.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus::load;

static PlannedRequest request(std::vector<std::string> expected, std::uint32_t maxTokens)
{
    PlannedRequest planned;
    planned.maxTokens = maxTokens;
    planned.acceptedAnswers = { std::move(expected) };
    return planned;
}

// Guards against a load run that passes although an answer was truncated.
BOOST_AUTO_TEST_CASE(IncompleteAnswersAreErrors)
{
    auto planned = request({ "a", "b", "c" }, 3);
    BOOST_TEST((checkAnswer(planned, { { "a", "b", "c" }, "length", true }) == Outcome::Whole));
    BOOST_TEST((checkAnswer(planned, { { "a", "b" }, "length", true }) == Outcome::Missing));
    BOOST_TEST((checkAnswer(planned, { { "a", "b", "c" }, "length", false }) == Outcome::Cut));
    BOOST_TEST((checkAnswer(planned, { { "a" }, "", false }) == Outcome::Cut));
    BOOST_TEST((checkAnswer(planned, { {}, "", false }) == Outcome::Cut));
}

// Guards against repeated, skipped or extra tokens that are not counted as errors.
BOOST_AUTO_TEST_CASE(DifferingTokensAreWrong)
{
    auto planned = request({ "a", "b", "c" }, 3);
    BOOST_TEST((checkAnswer(planned, { { "a", "a", "b", "c" }, "length", true }) == Outcome::Wrong));
    BOOST_TEST((checkAnswer(planned, { { "a", "c" }, "length", true }) == Outcome::Wrong));
    BOOST_TEST((checkAnswer(planned, { { "a", "b", "c", "d" }, "length", true }) == Outcome::Wrong));
    BOOST_TEST((checkAnswer(planned, { { "x" }, "", false }) == Outcome::Wrong));
    // "length" is wrong if the expected answer ends before the token limit.
    auto ended = request({ "a", "b" }, 3);
    BOOST_TEST((checkAnswer(ended, { { "a", "b" }, "length", true }) == Outcome::Wrong));
    BOOST_TEST((checkAnswer(ended, { { "a", "b" }, "stop", true }) == Outcome::Whole));
}

// Guards against accepting an answer that mixes tokens of two versions.
BOOST_AUTO_TEST_CASE(MixedVersionsAreWrong)
{
    auto planned = request({ "a", "b", "c" }, 3);
    planned.acceptedAnswers.push_back({ "x", "y", "z" });
    BOOST_TEST((checkAnswer(planned, { { "x", "y", "z" }, "length", true }) == Outcome::Whole));
    BOOST_TEST((checkAnswer(planned, { { "a", "y", "z" }, "length", true }) == Outcome::Wrong));
}

// Guards against failing to identify tokens of another caller's answer.
BOOST_AUTO_TEST_CASE(TokensOfAnotherRequestAreForeign)
{
    std::vector<PlannedRequest> requests { request({ "a", "b", "c", "d" }, 4), request({ "p", "q", "r", "s" }, 4) };
    ForeignTokenIndex foreign(requests);
    BOOST_TEST(foreign.contains(0, { { "a", "q", "r", "s" }, "length", true }));
    BOOST_TEST(!foreign.contains(0, { { "a", "b", "b", "c" }, "length", true }));
    BOOST_TEST(!foreign.contains(1, { { "p", "q", "r", "s" }, "length", true }));
}

// Guards against quantiles that omit the worst samples.
BOOST_AUTO_TEST_CASE(QuantilesUseTheNearestRank)
{
    std::vector<double> samples;
    for (int i = 100; i >= 1; --i)
        samples.push_back(i);
    auto quantiles = computeQuantiles(samples);
    BOOST_TEST(quantiles.median == 50);
    BOOST_TEST(quantiles.p95 == 95);
    BOOST_TEST(quantiles.p99 == 99);
    BOOST_TEST(quantiles.maximum == 100);
    BOOST_TEST(computeQuantiles({ 7 }).p99 == 7);
    BOOST_TEST(computeQuantiles({}).p99 == 0);
}

// Guards against lengths out of bounds and lengths that differ for the same seed.
BOOST_AUTO_TEST_CASE(LengthsStayInTheirBounds)
{
    for (const char* text : { "fixed:5", "uniform:2:9", "exponential:20:40" }) {
        auto lengths = LengthDistribution::Make(text);
        BOOST_REQUIRE(lengths);
        arbutus::base::Random left(3);
        arbutus::base::Random right(3);
        for (int i = 0; i < 1000; ++i) {
            auto length = lengths.value().draw(left);
            BOOST_TEST(length == lengths.value().draw(right));
            BOOST_TEST((length >= 1 && length <= 40));
        }
    }
    for (const char* text : { "", "fixed:0", "fixed:x", "uniform:9:2", "uniform:2", "other:1:2" })
        BOOST_TEST(!LengthDistribution::Make(text));
}
