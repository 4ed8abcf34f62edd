#pragma once

#include "include/routing/LayerPathSelector.h"

#include <chrono>
#include <string>
#include <vector>

namespace arbutus {

// What the plays of many entry VMs in virtual time share: a model with one engine a copy, a
// third of the engines fast, and streams of one usual size.
struct SpreadModel {
    using Time = base::TimePoint;
    using Milliseconds = std::chrono::milliseconds;

    static constexpr double streamsPerCopy = 30;
    // The part of the memory that the selectors use.
    static constexpr double usableShare = 0.95;
    static constexpr double promptTokens = 770;
    static constexpr double answerTokens = 200;
    static constexpr Milliseconds fastPrefill { 16 };
    static constexpr Milliseconds slowPrefill { 50 };
    static constexpr Milliseconds fastTokenTime { 10 };
    static constexpr Milliseconds slowTokenTime { 25 };
    static constexpr Milliseconds objective { 500 };
    static constexpr Milliseconds reportInterval { 120 };
    static constexpr int maxSends = 4;

    static routes::LayeredModel model()
    {
        routes::LayeredModel result;
        result.layers = 80;
        result.layerMegabytes = 1000;
        result.cacheBytesPerToken = 1'000'000;
        result.stepMilliseconds = 1;
        result.prefillTokensPerSecond = 128'000;
        result.typicalPromptTokens = promptTokens;
        result.typicalAnswerTokens = answerTokens;
        result.acceleratorKinds = { { "fast", megabytes(), 10, 2.7 }, { "slow", megabytes(), 25, 8.3 } };
        return result;
    }

    static double heldTokens() { return promptTokens + 0.65 * answerTokens; }
    static double capacityTokens() { return streamsPerCopy * heldTokens(); }
    static double megabytes() { return 80'000 + capacityTokens() / usableShare; }
    static bool isFast(std::size_t copy) { return copy % 3 == 0; }
    static double meanHoldSeconds() { return answerTokens * (fastTokenTime + 2 * slowTokenTime).count() / 3.0 / 1000; }

    static fleet::UpstreamRecord recordOf(std::size_t copy, const std::string& dataCentre)
    {
        fleet::UpstreamRecord result;
        result.id = "copy" + std::to_string(copy);
        result.accelerator = isFast(copy) ? "fast" : "slow";
        result.layers = { 0, 80 };
        result.dataCentre = dataCentre;
        result.ip = static_cast<std::uint32_t>(copy + 1);
        return result;
    }

    // The mean share of the copies' memory that is in use.
    template <typename Copy>
    static double meanUse(const std::vector<Copy>& copies)
    {
        double sum = 0;
        for (const auto& copy : copies)
            sum += copy.usedTokens / capacityTokens();
        return sum / static_cast<double>(copies.size());
    }
};

} // namespace arbutus
