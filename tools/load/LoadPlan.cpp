#include "tools/load/LoadPlan.h"

#include "tools/fakes/common/ReferenceModel.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <map>

namespace arbutus::load {

using base::ErrorKind;
using base::makeError;
using base::Result;

static constexpr std::uint32_t maxTokenCount = 8192;
static constexpr std::size_t maxRequests = 2000000;

static Result<std::uint32_t> parseLength(const std::string& text)
{
    std::uint32_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || !number || number > maxTokenCount)
        return makeError(ErrorKind::InvalidSetting, fmt::format("\"{}\" is not a token count from 1 to {}", text, maxTokenCount));
    return number;
}

Result<LengthDistribution> LengthDistribution::Make(const std::string& text)
{
    auto parts = base::splitText(text, ':');
    LengthDistribution lengths;
    if (parts.size() == 2 && parts[0] == "fixed") {
        BOOST_OUTCOME_TRY(length, parseLength(parts[1]));
        lengths.lowOrMean_ = lengths.high_ = length;
        return lengths;
    }
    if (parts.size() != 3 || (parts[0] != "uniform" && parts[0] != "exponential"))
        return makeError(ErrorKind::InvalidSetting, fmt::format("\"{}\" is not fixed:N, uniform:LOW:HIGH or exponential:MEAN:HIGH", text));
    BOOST_OUTCOME_TRY(first, parseLength(parts[1]));
    BOOST_OUTCOME_TRY(high, parseLength(parts[2]));
    if (first > high)
        return makeError(ErrorKind::InvalidSetting, fmt::format("the first value of \"{}\" is greater than the upper bound", text));
    lengths.shape_ = parts[0] == "uniform" ? Shape::Uniform : Shape::Exponential;
    lengths.lowOrMean_ = first;
    lengths.high_ = high;
    return lengths;
}

std::uint32_t LengthDistribution::draw(base::Random& random) const
{
    if (shape_ == Shape::Uniform)
        return lowOrMean_ + static_cast<std::uint32_t>(random.below(high_ - lowOrMean_ + 1));
    double length = -std::log(1 - random.unit()) * lowOrMean_;
    return static_cast<std::uint32_t>(std::min<double>(high_, std::max(1.0, std::round(length))));
}

std::vector<base::SettingSpec> LoadPlan::settingSpecs()
{
    return {
        { "entries", "URLs of entry VMs, comma-separated; each request uses a random one", std::nullopt },
        { "team-tokens-file", "file with one \"token team\" line for each caller", std::nullopt },
        { "model", "model to request", std::nullopt },
        { "versions", "versions whose answers are accepted, comma-separated", std::nullopt },
        { "layers", "number of layers of the model", std::nullopt },
        { "adapters", "adapters of teams: team:adapter,...", "" },
        { "mix", "weights of teams: team:weight,...; empty for equal weights of all teams", "" },
        { "rate", "arrivals per 1000 s", "10000" },
        { "duration-ms", "duration of the arrivals", "10000" },
        { "warm-up-ms", "initial time in which answers are checked but not measured", "2000" },
        { "drain-ms", "time after the arrivals in which answers may finish", "20000" },
        { "seed", "seed of arrivals, teams, prompts and lengths", "1" },
        { "prompt-tokens", "length of prompts: fixed:N, uniform:LOW:HIGH or exponential:MEAN:HIGH", "uniform:8:64" },
        { "answer-tokens", "token limit of answers, in the same format", "uniform:16:128" },
        { "csv", "file to which one row of results is appended", "" },
        { "label", "value of the label column in the row of results", "" },
        { "plot", "PNG file for the latency distribution, drawn if gnuplot is installed", "" },
    };
}

namespace {

struct Team {
    std::string token;
    std::string adapter;
    // Sum of the weights of this team and all teams before it.
    double cumulativeWeight = 0;
};

} // namespace

// Parses "name:value,..." into a map.
static Result<std::map<std::string, std::string>> parsePairs(const base::Settings& settings, const std::string& name)
{
    std::map<std::string, std::string> pairs;
    for (const auto& item : settings.list(name)) {
        auto parts = base::splitText(item, ':');
        if (parts.size() != 2)
            return makeError(ErrorKind::InvalidSetting, fmt::format("--{} contains \"{}\", which is not name:value", name, item));
        pairs[parts[0]] = parts[1];
    }
    return pairs;
}

static Result<std::vector<Team>> parseTeams(const base::Settings& settings)
{
    BOOST_OUTCOME_TRY(text, settings.secretFromFile("team-tokens-file"));
    BOOST_OUTCOME_TRY(adapters, parsePairs(settings, "adapters"));
    BOOST_OUTCOME_TRY(mix, parsePairs(settings, "mix"));
    std::vector<Team> teams;
    double sum = 0;
    for (const auto& line : base::splitText(text, '\n')) {
        auto fields = base::splitText(line, ' ');
        if (fields.size() != 2 || line[0] == '#' || (!mix.empty() && !mix.count(fields[1])))
            continue;
        sum += mix.empty() ? 1 : std::strtod(mix[fields[1]].c_str(), nullptr);
        teams.push_back({ fields[0], adapters[fields[1]], sum });
    }
    if (!(sum > 0))
        return makeError(ErrorKind::InvalidSetting, "no team of --team-tokens-file has a positive weight in --mix");
    return teams;
}

static std::string makePrompt(std::uint64_t seed, std::size_t number, std::uint32_t length, base::Random& random)
{
    // The first word makes the prompt and therefore the whole answer unique.
    std::string prompt = fmt::format("s{}n{}", seed, number);
    for (std::uint32_t i = 1; i < length; ++i)
        prompt += fmt::format(" v{}", random.below(5000));
    return prompt;
}

Result<LoadPlan> LoadPlan::Make(const base::Settings& settings)
{
    LoadPlan plan;
    plan.entryUrls = settings.list("entries");
    plan.model = settings.text("model");
    auto versions = settings.list("versions");
    if (plan.entryUrls.empty() || versions.empty())
        return makeError(ErrorKind::InvalidSetting, "--entries and --versions must not be empty");
    BOOST_OUTCOME_TRY(layers, settings.integer("layers", 1, 10000));
    BOOST_OUTCOME_TRY(rate, settings.integer("rate", 1, 1000000000));
    BOOST_OUTCOME_TRY(seed, settings.integer("seed", 0, INT64_MAX));
    BOOST_OUTCOME_TRY(duration, settings.milliseconds("duration-ms", std::chrono::milliseconds(1), std::chrono::hours(1)));
    BOOST_OUTCOME_TRY(warmUp, settings.milliseconds("warm-up-ms", std::chrono::milliseconds(0), duration - std::chrono::milliseconds(1)));
    BOOST_OUTCOME_TRY(drain, settings.milliseconds("drain-ms", std::chrono::milliseconds(0), std::chrono::hours(1)));
    BOOST_OUTCOME_TRY(promptLengths, LengthDistribution::Make(settings.text("prompt-tokens")));
    BOOST_OUTCOME_TRY(answerLengths, LengthDistribution::Make(settings.text("answer-tokens")));
    BOOST_OUTCOME_TRY(teams, parseTeams(settings));
    plan.rate = static_cast<double>(rate) / 1000;
    plan.seed = static_cast<std::uint64_t>(seed);
    plan.duration = duration;
    plan.warmUp = warmUp;
    plan.drain = drain;

    base::Random random(plan.seed);
    std::chrono::duration<double> arrival(0);
    while (true) {
        arrival += std::chrono::duration<double>(-std::log(1 - random.unit()) / plan.rate);
        if (arrival >= duration)
            return plan;
        if (plan.requests.size() == maxRequests)
            return makeError(ErrorKind::InvalidSetting, fmt::format("--rate and --duration-ms result in more than {} requests", maxRequests));
        PlannedRequest request;
        request.arrival = std::chrono::duration_cast<std::chrono::nanoseconds>(arrival);
        request.entry = random.below(plan.entryUrls.size());
        double weight = random.between(0, teams.back().cumulativeWeight);
        const Team* team = teams.data();
        while (weight >= team->cumulativeWeight && team != &teams.back())
            ++team;
        request.token = team->token;
        request.prompt = makePrompt(plan.seed, plan.requests.size(), promptLengths.draw(random), random);
        request.maxTokens = answerLengths.draw(random);
        for (const auto& version : versions) {
            auto& texts = request.acceptedAnswers.emplace_back();
            for (const auto& token : fakes::expectedAnswer(plan.model, version, team->adapter, request.prompt, static_cast<std::uint32_t>(layers), request.maxTokens))
                texts.push_back(token.text);
        }
        plan.requests.push_back(std::move(request));
    }
}

} // namespace arbutus::load
