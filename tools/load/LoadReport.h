#pragma once

#include "tools/load/LoadRun.h"

#include <map>
#include <string>
#include <vector>

namespace arbutus::load {

// In milliseconds.
struct Quantiles {
    double median = 0;
    double p95 = 0;
    double p99 = 0;
    double maximum = 0;
};

// Uses the nearest-rank method. Returns zeros if there are no samples.
Quantiles computeQuantiles(std::vector<double> samples);

struct LoadReport {
    std::size_t requests = 0;
    std::map<Outcome, std::size_t> outcomes;
    std::map<std::string, std::size_t> refusals;
    std::map<std::string, std::size_t> failures;
    // Measured from the planned arrival, for requests that arrive after the warm-up.
    Quantiles firstToken;
    Quantiles betweenTokens;
    // Delay between the planned and the actual send time.
    Quantiles sendDelay;
    // Count answers that finished and tokens that arrived after the warm-up and
    // before the end of the arrivals.
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    // Longest time between two tokens of one stream, and its start, both in ms.
    double longestGap = 0;
    double longestGapAt = 0;
    // CPU usage of this client in cores.
    double clientCores = 0;
    std::vector<double> firstTokenSamples;

    static LoadReport Make(const LoadPlan&, const LoadRun&, double processorSeconds);

    std::size_t count(Outcome) const;
    // Counts all outcomes other than Whole and Refused.
    std::size_t errorCount() const;
    // Returns whether the send delay of the client distorts the latencies.
    bool isClientLate() const;
    std::string text() const;
    static std::string csvHeader();
    std::string csvLine(const std::string& label, const LoadPlan&) const;
};

} // namespace arbutus::load
