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

Quantiles computeQuantiles(std::vector<double> samples);

struct LoadReport {
    std::size_t requests = 0;
    std::map<Outcome, std::size_t> outcomes;
    std::map<std::string, std::size_t> refusals;
    std::map<std::string, std::size_t> failures;
    // From the intended arrival, of requests that arrived after the warm-up.
    Quantiles firstToken;
    Quantiles betweenTokens;
    // How late requests were sent.
    Quantiles sendDelay;
    // Of answers that ended and of tokens that came between warm-up and end of arrivals.
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    // Longest time between two tokens of one stream, and when it began, in ms.
    double longestGap = 0;
    double longestGapAt = 0;
    // Processor time of this client as a share of one core.
    double clientCores = 0;
    std::vector<double> firstTokenSamples;

    static LoadReport Make(const LoadPlan&, const LoadRun&, double processorSeconds);

    std::size_t count(Outcome) const;
    // Answers that must not happen: all but whole ones and refusals.
    std::size_t errorCount() const;
    // Whether the client itself distorts the latencies.
    bool isClientLate() const;
    std::string text() const;
    static std::string csvHeader();
    std::string csvLine(const std::string& label, const LoadPlan&) const;
};

} // namespace arbutus::load
