#pragma once

#include "include/base/Random.h"
#include "include/base/Settings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::load {

// One request of a run. All requests are generated before the run starts.
struct PlannedRequest {
    // Since the start of the run.
    std::chrono::nanoseconds arrival {};
    std::size_t entry = 0;
    std::string token;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    // The expected token texts, one list for each accepted version.
    std::vector<std::vector<std::string>> acceptedAnswers;
};

// Distribution of token counts: fixed:N, uniform:LOW:HIGH or exponential:MEAN:HIGH.
class LengthDistribution {
public:
    static base::Result<LengthDistribution> Make(const std::string& text);

    // Returns a random token count of at least 1.
    std::uint32_t draw(base::Random&) const;

private:
    enum class Shape {
        Uniform,
        Exponential,
    };
    LengthDistribution() = default;

    Shape shape_ = Shape::Uniform;
    // Lower bound for Uniform, mean for Exponential.
    std::uint32_t lowOrMean_ = 1;
    std::uint32_t high_ = 1;
};

struct LoadPlan {
    std::vector<std::string> entryUrls;
    std::string model;
    std::uint64_t seed = 0;
    // Arrivals per second.
    double rate = 0;
    std::chrono::milliseconds duration {};
    std::chrono::milliseconds warmUp {};
    // Time after the arrivals in which answers may still finish.
    std::chrono::milliseconds drain {};
    std::vector<PlannedRequest> requests;

    static std::vector<base::SettingSpec> settingSpecs();
    // Generates all arrivals, teams, prompts and lengths from the seed. Fails if a
    // setting is invalid.
    static base::Result<LoadPlan> Make(const base::Settings&);
};

} // namespace arbutus::load
