#include "tools/load/LoadReport.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

namespace arbutus::load {

using base::TimePoint;

// A larger p99 send delay noticeably distorts the time to the first token.
static constexpr double maxSendDelayMs = 5;

static double milliseconds(std::chrono::nanoseconds time) { return std::chrono::duration<double, std::milli>(time).count(); }

Quantiles computeQuantiles(std::vector<double> samples)
{
    if (samples.empty())
        return {};
    std::sort(samples.begin(), samples.end());
    auto at = [&](double fraction) {
        auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(samples.size())));
        return samples[std::max<std::size_t>(rank, 1) - 1];
    };
    return { at(0.5), at(0.95), at(0.99), samples.back() };
}

LoadReport LoadReport::Make(const LoadPlan& plan, const LoadRun& run, double processorSeconds)
{
    LoadReport report;
    report.requests = plan.requests.size();
    std::optional<ForeignTokenIndex> foreign;
    std::vector<double> gaps;
    std::vector<double> sendDelay;
    std::size_t finished = 0;
    std::size_t tokens = 0;
    TimePoint windowBegin = run.start() + plan.warmUp;
    TimePoint windowEnd = run.start() + plan.duration;
    auto isInWindow = [&](TimePoint time) { return time >= windowBegin && time < windowEnd; };
    for (std::size_t number = 0; number < plan.requests.size(); ++number) {
        const auto& record = run.records()[number];
        Outcome outcome = record.outcome;
        if (outcome == Outcome::Wrong) {
            if (!foreign)
                foreign.emplace(plan.requests);
            if (foreign->contains(number, record.answer))
                outcome = Outcome::Foreign;
        }
        ++report.outcomes[outcome];
        if (outcome == Outcome::Refused)
            ++report.refusals[record.reason];
        else if (!record.reason.empty())
            ++report.failures[record.reason];

        const auto& times = record.tokenTimes;
        tokens += static_cast<std::size_t>(std::count_if(times.begin(), times.end(), isInWindow));
        if (outcome == Outcome::Whole && !times.empty() && isInWindow(times.back()))
            ++finished;
        TimePoint arrival = run.start() + plan.requests[number].arrival;
        if (arrival < windowBegin || outcome == Outcome::Unfinished)
            continue;
        sendDelay.push_back(milliseconds(record.sent - arrival));
        if (times.empty())
            continue;
        report.firstTokenSamples.push_back(milliseconds(times.front() - arrival));
        for (std::size_t i = 1; i < times.size(); ++i) {
            double gap = milliseconds(times[i] - times[i - 1]);
            gaps.push_back(gap);
            if (gap <= report.longestGap)
                continue;
            report.longestGap = gap;
            report.longestGapAt = milliseconds(times[i - 1] - run.start());
        }
    }
    double seconds = milliseconds(plan.duration - plan.warmUp) / 1000;
    report.requestsPerSecond = static_cast<double>(finished) / seconds;
    report.tokensPerSecond = static_cast<double>(tokens) / seconds;
    report.firstToken = computeQuantiles(report.firstTokenSamples);
    report.betweenTokens = computeQuantiles(std::move(gaps));
    report.sendDelay = computeQuantiles(std::move(sendDelay));
    report.clientCores = processorSeconds / (milliseconds(std::chrono::steady_clock::now() - run.start()) / 1000);
    return report;
}

std::size_t LoadReport::count(Outcome outcome) const
{
    auto it = outcomes.find(outcome);
    return it == outcomes.end() ? 0 : it->second;
}

std::size_t LoadReport::errorCount() const { return requests - count(Outcome::Whole) - count(Outcome::Refused); }

bool LoadReport::isClientLate() const { return sendDelay.p99 > maxSendDelayMs; }

static constexpr std::array outcomeNames {
    std::pair { Outcome::Whole, "whole" },
    std::pair { Outcome::Refused, "refused" },
    std::pair { Outcome::Wrong, "wrong" },
    std::pair { Outcome::Foreign, "foreign" },
    std::pair { Outcome::Missing, "missing" },
    std::pair { Outcome::Cut, "cut" },
    std::pair { Outcome::Unreachable, "unreachable" },
    std::pair { Outcome::Unfinished, "unfinished" },
};

static std::string quantileLine(const char* name, const Quantiles& quantiles)
{
    return fmt::format("{:<16} p50 {:8.2f}  p95 {:8.2f}  p99 {:8.2f}  max {:8.2f} ms\n", name, quantiles.median, quantiles.p95, quantiles.p99, quantiles.maximum);
}

std::string LoadReport::text() const
{
    std::string text = fmt::format("requests         {}\n", requests);
    for (const auto& [outcome, name] : outcomeNames)
        text += fmt::format("  {:<14} {}\n", name, count(outcome));
    for (const auto& [kind, number] : refusals)
        text += fmt::format("  refusal {:<20} {}\n", kind, number);
    for (const auto& [reason, number] : failures)
        text += fmt::format("  error {:<20} {}\n", reason, number);
    text += quantileLine("first token", firstToken);
    text += quantileLine("between tokens", betweenTokens);
    text += fmt::format("longest gap      {:.1f} ms, from {:.0f} ms after the start\n", longestGap, longestGapAt);
    text += fmt::format("throughput       {:.2f} requests/s, {:.1f} tokens/s\n", requestsPerSecond, tokensPerSecond);
    text += quantileLine("sent late by", sendDelay);
    text += fmt::format("client           {:.2f} cores\n", clientCores);
    if (isClientLate())
        text += fmt::format("WARNING: the client sent late (p99 above {} ms); the latencies include its own delay\n", maxSendDelayMs);
    return text;
}

std::string LoadReport::csvHeader()
{
    std::string header = "label,seed,rate,requests";
    for (const auto& [outcome, name] : outcomeNames)
        header += fmt::format(",{}", name);
    return header + ",first_p50_ms,first_p95_ms,first_p99_ms,between_p50_ms,between_p95_ms,between_p99_ms,longest_gap_ms,longest_gap_at_ms,requests_per_s,tokens_per_s,late_p50_ms,late_p99_ms,late_max_ms,client_cores\n";
}

std::string LoadReport::csvLine(const std::string& label, const LoadPlan& plan) const
{
    std::string line = fmt::format("{},{},{},{}", label, plan.seed, plan.rate, requests);
    for (const auto& [outcome, name] : outcomeNames)
        line += fmt::format(",{}", count(outcome));
    for (const auto* quantiles : { &firstToken, &betweenTokens })
        line += fmt::format(",{:.2f},{:.2f},{:.2f}", quantiles->median, quantiles->p95, quantiles->p99);
    return line + fmt::format(",{:.1f},{:.0f},{:.2f},{:.1f},{:.2f},{:.2f},{:.2f},{:.2f}\n", longestGap, longestGapAt, requestsPerSecond, tokensPerSecond, sendDelay.median, sendDelay.p99, sendDelay.maximum, clientCores);
}

} // namespace arbutus::load
