#include "bench/RoutingBench.h"

#include "bench/RoutingSimulation.h"
#include "include/routing/CrashSuspectTracker.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>

using namespace arbutus;

static std::uint64_t (*allocationCounter)() = nullptr;

void setRoutingAllocationCounter(std::uint64_t (*counter)()) { allocationCounter = counter; }

static double quantile(std::vector<double>& samples, double fraction)
{
    if (samples.empty())
        return 0;
    const auto position = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + position, samples.end());
    return samples[static_cast<std::size_t>(position)];
}

static void printRun(const char* name, const RoutingSimulation::Scenario& scenario)
{
    auto report = RoutingSimulation(scenario).run();
    fmt::print("{:<26} {:>4.2f}  {:>5.3f}  {:>6.0f} {:>6.0f} {:>6.0f}  {:>5.0f} {:>5.0f} {:>5.0f}  {:>5.3f} {:>6.0f} {:>6.0f}  {:>6.3f} {:>6} {:>6}", name, scenario.load, report.throughput,
        quantile(report.firstTokenMs, 0.5), quantile(report.firstTokenMs, 0.95), quantile(report.firstTokenMs, 0.99),
        quantile(report.interTokenMs, 0.5), quantile(report.interTokenMs, 0.95), quantile(report.interTokenMs, 0.99),
        report.smallTeamFinished / std::max(report.smallTeamOffered, 1.0), quantile(report.smallTeamFirstTokenMs, 0.5), quantile(report.smallTeamFirstTokenMs, 0.95),
        static_cast<double>(report.refused) / static_cast<double>(report.offered), report.expired, report.finishedLate);
    if (!report.resumeGapsMs.empty())
        fmt::print("  resumed {} gap p50 {:.0f} max {:.0f}", report.resumeGapsMs.size(), quantile(report.resumeGapsMs, 0.5), quantile(report.resumeGapsMs, 1));
    fmt::print("\n");
}

// The cost of isolating the faulty requests in a batch whose engine crashed.
// A faulty request crashes every engine that runs it immediately. A request on an
// engine that survives a round produces enough tokens in that round to be cleared.
struct IsolationCost {
    double engineCrashes = 1;
    double innocentsBlamed = 0;
    // Rounds until the last innocent request is cleared.
    double rounds = 0;
};
using Requests = std::vector<std::size_t>;
using RequestSet = std::set<std::size_t>;

static bool containsFaulty(const Requests& group, const RequestSet& faulty)
{
    return std::any_of(group.begin(), group.end(), [&](std::size_t request) { return faulty.count(request); });
}

// Resumes all suspects at once, spread over the engines. A request is blamed after
// 2 crashes in isolated runs or 3 crashes in total.
static IsolationCost runSharedCounts(std::size_t size, const RequestSet& faulty, std::size_t engines, base::Random& random)
{
    IsolationCost result;
    std::vector<int> crashes(size, 1);
    std::vector<int> isolatedCrashes(size, size == 1 ? 1 : 0);
    Requests suspects(size);
    for (std::size_t i = 0; i < size; ++i)
        suspects[i] = i;
    while (!suspects.empty()) {
        for (std::size_t i = suspects.size(); i > 1; --i)
            std::swap(suspects[i - 1], suspects[random.below(i)]);
        std::vector<Requests> groups(engines);
        for (std::size_t i = 0; i < suspects.size(); ++i)
            groups[i % engines].push_back(suspects[i]);
        suspects.clear();
        bool isInnocentCleared = false;
        for (const auto& group : groups) {
            if (!containsFaulty(group, faulty)) {
                isInnocentCleared |= !group.empty();
                continue;
            }
            ++result.engineCrashes;
            for (std::size_t request : group) {
                isolatedCrashes[request] += group.size() == 1 ? 1 : 0;
                if (++crashes[request] < 3 && isolatedCrashes[request] < 2)
                    suspects.push_back(request);
                else
                    result.innocentsBlamed += faulty.count(request) ? 0 : 1;
            }
        }
        result.rounds += isInnocentCleared ? 1 : 0;
    }
    return result;
}

// Runs each suspect in isolation until it is cleared or has crashed two engines.
static IsolationCost runOneByOne(std::size_t size, const RequestSet& faulty, std::size_t engines, base::Random&)
{
    IsolationCost result;
    std::vector<int> isolatedCrashes(size, size == 1 ? 1 : 0);
    std::deque<std::size_t> waiting;
    for (std::size_t i = 0; i < size; ++i)
        waiting.push_back(i);
    for (double round = 1; !waiting.empty(); ++round) {
        const std::size_t count = std::min(engines, waiting.size());
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t request = waiting.front();
            waiting.pop_front();
            if (!faulty.count(request)) {
                result.rounds = round;
                continue;
            }
            ++result.engineCrashes;
            if (++isolatedCrashes[request] < 2)
                waiting.push_back(request);
        }
    }
    return result;
}

// Applies CrashSuspectTracker: small groups first, then isolated runs.
static IsolationCost runGroups(std::size_t size, const RequestSet& faulty, std::size_t engines, base::Random&)
{
    IsolationCost result;
    const base::TimePoint now(std::chrono::hours(1));
    routing::CrashSuspectTracker suspects(size);
    std::vector<std::string> batch;
    batch.reserve(size);
    for (std::size_t i = 0; i < size; ++i)
        batch.push_back(std::to_string(i));
    suspects.engineCrashed(batch, 0, now);
    const auto isFaulty = [&](const std::string& request) { return faulty.count(std::stoul(request)) > 0; };
    for (double round = 1;; ++round) {
        const auto groups = suspects.startIsolationGroups(engines);
        if (groups.empty())
            return result;
        for (const auto& group : groups) {
            if (std::any_of(group.begin(), group.end(), isFaulty)) {
                ++result.engineCrashes;
                for (const auto& request : suspects.engineCrashed(group, 0, now).blamed)
                    result.innocentsBlamed += isFaulty(request) ? 0 : 1;
                continue;
            }
            for (const auto& request : group)
                suspects.tokensProduced(request, 16);
            result.rounds = round;
        }
    }
}

// Bisects the batch until each faulty request has crashed two engines in isolated runs.
static IsolationCost runBisection(std::size_t size, const RequestSet& faulty, std::size_t engines, base::Random&)
{
    IsolationCost result;
    std::vector<int> isolatedCrashes(size, size == 1 ? 1 : 0);
    std::deque<Requests> groups;
    const auto split = [&](const Requests& group) {
        const auto middle = group.begin() + static_cast<std::ptrdiff_t>((group.size() + 1) / 2);
        groups.emplace_back(group.begin(), middle);
        if (middle != group.end())
            groups.emplace_back(middle, group.end());
    };
    Requests all(size);
    for (std::size_t i = 0; i < size; ++i)
        all[i] = i;
    split(all);
    for (double round = 1; !groups.empty(); ++round) {
        const std::size_t count = std::min(engines, groups.size());
        for (std::size_t i = 0; i < count; ++i) {
            const Requests group = groups.front();
            groups.pop_front();
            if (!containsFaulty(group, faulty)) {
                result.rounds = round;
                continue;
            }
            ++result.engineCrashes;
            if (group.size() > 1 || ++isolatedCrashes[group[0]] < 2)
                split(group);
        }
    }
    return result;
}

// Follows CompletionService: after the first crash all requests resume at once,
// spread over the busy engines. Requests on an engine that crashes then run in
// isolation, as many at a time as there are spare engines.
static IsolationCost runSpreadThenIsolated(std::size_t size, const RequestSet& faulty, std::size_t engines, base::Random& random)
{
    // RoutingSimulation has 10 engines per layer range; one of them crashed.
    constexpr std::size_t busyEngines = 9;
    IsolationCost result;
    result.rounds = 1;
    std::vector<Requests> groups(busyEngines);
    for (std::size_t i = 0; i < size; ++i)
        groups[random.below(busyEngines)].push_back(i);
    std::deque<std::size_t> waiting;
    for (const auto& group : groups) {
        if (!containsFaulty(group, faulty))
            continue;
        ++result.engineCrashes;
        waiting.insert(waiting.end(), group.begin(), group.end());
    }
    for (double round = 2; !waiting.empty(); ++round) {
        for (std::size_t i = std::min(engines, waiting.size()); i > 0; --i) {
            // A faulty request is rejected after its third crash.
            if (faulty.count(waiting.front()))
                ++result.engineCrashes;
            else
                result.rounds = round;
            waiting.pop_front();
        }
    }
    return result;
}

static void benchSuspectIsolation()
{
    struct Strategy {
        const char* name;
        IsolationCost (*run)(std::size_t, const RequestSet&, std::size_t, base::Random&);
    };
    static constexpr Strategy strategies[] = { { "shared counts", runSharedCounts }, { "halves", runBisection }, { "one by one", runOneByOne }, { "groups", runGroups }, { "spread, alone", runSpreadThenIsolated } };
    constexpr int trials = 100;
    fmt::print("\nsuspects: mean of {} trials; without spare engines, one engine is emptied\n", trials);
    fmt::print("{:<14} {:>5} {:>6} {:>6} {:>8} {:>9} {:>7}\n", "strategy", "batch", "faulty", "spares", "deaths", "innocents", "rounds");
    for (std::size_t size : { 1, 8, 32, 64 }) {
        for (std::size_t faultCount : { 1, 2 }) {
            for (std::size_t spares : { 0, 3, 10 }) {
                for (const auto& strategy : strategies) {
                    if (faultCount > size)
                        continue;
                    base::Random random(9);
                    IsolationCost sum { 0, 0, 0 };
                    for (int i = 0; i < trials; ++i) {
                        RequestSet faulty;
                        while (faulty.size() < faultCount)
                            faulty.insert(random.below(size));
                        const auto result = strategy.run(size, faulty, std::max<std::size_t>(spares, 1), random);
                        sum.engineCrashes += result.engineCrashes / trials;
                        sum.innocentsBlamed += result.innocentsBlamed / trials;
                        sum.rounds += result.rounds / trials;
                    }
                    fmt::print("{:<14} {:>5} {:>6} {:>6} {:>8.2f} {:>9.2f} {:>7.1f}\n", strategy.name, size, faultCount, spares, sum.engineCrashes, sum.innocentsBlamed, sum.rounds);
                }
            }
        }
    }
}

// Prints the mean time and the mean number of allocations per call of `action`.
template <typename Action>
static void measure(const std::string& name, int count, const Action& action)
{
    for (int i = 0; i < count / 10; ++i)
        action();
    const std::uint64_t allocationsBefore = allocationCounter ? allocationCounter() : 0;
    const auto before = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i)
        action();
    const double nanoseconds = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - before).count();
    fmt::print("{:<28} {:>8.0f} ns", name, nanoseconds / count);
    if (allocationCounter)
        fmt::print(" {:>6.1f} allocations", static_cast<double>(allocationCounter() - allocationsBefore) / count);
    fmt::print("\n");
}

static void benchDecisionCost()
{
    fmt::print("\ncost of one decision\n");
    const base::TimePoint now(std::chrono::hours(1));
    for (std::size_t engineCount : { 4, 16, 64, 256, 1024 }) {
        routing::PipelineSelector selector("vm", "dc-0", {}, 1);
        base::Random random(1);
        for (std::size_t i = 0; i < engineCount; ++i) {
            const std::string id = "engine-" + std::to_string(i);
            const std::size_t first = i % 3 * 10;
            selector.setEngine({ id, "dc-" + std::to_string(i / 3 % 3), static_cast<routing::AcceleratorKind>(i % 5), { { "m", "1", first, first + 9 } }, false });
            selector.load(id)->applyReport({ random.below(64), 0, 0, now });
        }
        const routing::PipelineQuery query { "m", "1", 30, 300, 80, {}, {} };
        measure(fmt::format("select, {} engines", engineCount), 20000, [&] {
            if (!selector.select(query, now))
                std::abort();
        });
    }
    for (std::size_t teamCount : { 10, 100, 1100 }) {
        routing::AdmissionController admission({ 8192, 1024, 64, std::chrono::milliseconds(50) });
        std::vector<routing::TeamRule> rules;
        for (std::size_t i = 0; i < teamCount; ++i)
            rules.push_back({ "team-" + std::to_string(i), 0, 1, 0, 0 });
        admission.setRules(rules, now);
        const auto deadline = now + std::chrono::hours(1000);
        std::uint64_t nextId = 1;
        std::deque<std::uint64_t> running;
        const auto cycle = [&] {
            if (!admission.enqueue({ nextId, rules[nextId % teamCount].team, 64, deadline, nextId }, now))
                std::abort();
            ++nextId;
            if (running.size() == 64) {
                admission.requestFinished(running.front(), 64, now + std::chrono::seconds(1));
                running.pop_front();
            }
            while (const auto id = admission.startNext(now))
                running.push_back(*id);
        };
        // Two requests of each team stay queued during the measurement.
        for (std::size_t i = 0; i < teamCount * 2 + 64; ++i) {
            (void)admission.enqueue({ nextId, rules[nextId % teamCount].team, 64, deadline, nextId }, now);
            ++nextId;
        }
        measure(fmt::format("admit and finish, {} teams", teamCount), 20000, cycle);
    }
}

void benchRouting()
{
    fmt::print("routing: bound {:.1f} streams/s\n", RoutingSimulation::maxStreamsPerSecond());
    fmt::print("{:<26} {:>4}  {:>5}  {:>20}  {:>17}  {:>19}  {:>6} {:>6} {:>6}\n", "policy", "load", "bound", "first token ms", "between ms", "small team", "refuse", "expire", "late");
    for (double load : { 0.5, 0.8, 0.95, 1.2 }) {
        RoutingSimulation::Scenario scenario;
        scenario.load = load;
        scenario.policy = RoutingSimulation::Policy::Baseline;
        printRun("baseline", scenario);
        scenario.policy = RoutingSimulation::Policy::Routing;
        printRun("routing", scenario);
        scenario.stageSumWeight = 1;
        printRun("routing, sum of stages", scenario);
    }
    for (auto policy : { RoutingSimulation::Policy::Baseline, RoutingSimulation::Policy::Routing }) {
        RoutingSimulation::Scenario scenario;
        scenario.policy = policy;
        const std::string name = policy == RoutingSimulation::Policy::Baseline ? "baseline" : "routing";
        for (double load : { 0.5, 0.8 }) {
            scenario.load = load;
            scenario.slowdown = 10;
            scenario.hasEngineCrash = false;
            printRun((name + ", engine 10x slower").c_str(), scenario);
            scenario.slowdown = 1;
            scenario.hasEngineCrash = true;
            printRun((name + ", engine dies").c_str(), scenario);
        }
    }
    benchSuspectIsolation();
    benchDecisionCost();
}
