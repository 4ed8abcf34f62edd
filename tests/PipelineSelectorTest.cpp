#include "include/routing/PipelineSelector.h"
#include "include/base/Clock.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <set>

using namespace arbutus;
using namespace arbutus::routing;
using namespace std::chrono_literals;

static PipelineSelector::Options exactOptions()
{
    PipelineSelector::Options options;
    options.tolerance = 0;
    options.staleTolerance = 0;
    return options;
}

static EngineInfo engineOf(const std::string& id, std::size_t first, std::size_t last, const std::string& dataCentre = "dc1", AcceleratorKind kind = 0)
{
    return { id, dataCentre, kind, { { "m", "1", first, last } }, false };
}

static PipelineQuery queryFor(std::size_t layerCount)
{
    PipelineQuery query { "m", "1", layerCount, 100, 50, {}, {} };
    return query;
}

// Compares the selection with an exhaustive search over random layer ranges. Guards
// against layers that are skipped or run twice, against a pipeline that is not found,
// and against one that is not optimal.
BOOST_AUTO_TEST_CASE(SelectionMatchesExhaustiveSearch)
{
    base::VirtualClock clock;
    base::Random random(42);
    int foundCount = 0;
    for (int trial = 0; trial < 2000; ++trial) {
        const std::size_t layerCount = 1 + random.below(10);
        auto options = exactOptions();
        options.stageSumWeight = trial % 3 * 0.5;
        PipelineSelector selector("vm", "dc1", options, 1);
        auto query = queryFor(layerCount);
        std::vector<EngineInfo> usable;
        for (int i = 0; i < 12; ++i) {
            const std::size_t first = random.below(layerCount);
            auto info = engineOf("e" + std::to_string(i), first, first + random.below(layerCount - first));
            info.isLeaving = !random.below(8);
            const bool isExcluded = !random.below(8);
            selector.setEngine(info);
            selector.load(info.id)->applyReport({ random.below(60), 0, 0, clock.now() });
            if (isExcluded)
                query.excluded.push_back(info.id);
            if (!info.isLeaving && !isExcluded)
                usable.push_back(info);
        }
        double bestCost = -1;
        const std::function<void(std::size_t, double, double, double)> search = [&](std::size_t boundary, double sum, double slowest, double steps) {
            if (boundary == layerCount) {
                const double cost = sum + 49 * (slowest + options.stageSumWeight * (steps - slowest));
                if (bestCost < 0 || cost < bestCost)
                    bestCost = cost;
            }
            for (const auto& info : usable) {
                if (info.ranges[0].first != boundary)
                    continue;
                const auto* load = selector.load(info.id);
                const double step = std::chrono::duration<double>(load->expectedStep(clock.now()) + 100us).count();
                const double prefill = std::chrono::duration<double>(load->expectedPrefill(100, clock.now()) + 100us).count();
                search(info.ranges[0].last + 1, sum + prefill, std::max(slowest, step), steps + step);
            }
        };
        search(0, 0, 0, 0);
        const auto result = selector.select(query, clock.now());
        BOOST_REQUIRE(result.has_value() == (bestCost >= 0));
        if (!result)
            continue;
        ++foundCount;
        std::size_t next = 0;
        for (const auto& stage : result.value().stages) {
            BOOST_REQUIRE(stage.first == next);
            const auto holder = std::find_if(usable.begin(), usable.end(), [&](const EngineInfo& info) { return info.id == stage.engine; });
            BOOST_REQUIRE((holder != usable.end() && holder->ranges[0].first == stage.first && holder->ranges[0].last == stage.last));
            next = stage.last + 1;
        }
        BOOST_REQUIRE(next == layerCount);
        BOOST_REQUIRE(std::chrono::duration<double>(result.value().completionTime).count() <= bestCost * 1.0001);
    }
    BOOST_TEST((foundCount > 500 && foundCount < 1900));
}

// Guards against an error that does not state which layers are missing and why.
BOOST_AUTO_TEST_CASE(ErrorNamesMissingLayers)
{
    base::VirtualClock clock;
    PipelineSelector selector("vm", "dc1", exactOptions(), 1);
    selector.setEngine(engineOf("a", 0, 9));
    selector.setEngine(engineOf("b", 10, 19));
    selector.setEngine(engineOf("c", 10, 19));
    selector.setEngine(engineOf("d", 10, 19));
    selector.setEngine(engineOf("e", 20, 29));
    BOOST_REQUIRE(selector.select(queryFor(30), clock.now()).has_value());
    auto query = queryFor(30);
    query.excluded = { "b" };
    selector.setLeaving("c", true);
    for (int i = 0; i < 3; ++i)
        selector.load("d")->stepFailed(clock.now());
    const auto result = selector.select(query, clock.now());
    BOOST_REQUIRE(result.has_error());
    BOOST_TEST((result.error().kind == base::ErrorKind::NoUpstream));
    BOOST_TEST(result.error().detail == "no engine for layers 10 to 19 of model m version 1 (1 leaving, 1 failing, 1 excluded)");
    query.model = "unknown";
    BOOST_TEST(selector.select(query, clock.now()).error().detail.find("layers 0 to 29") != std::string::npos);
    clock.advance(1s);
    BOOST_TEST(selector.select(queryFor(30), clock.now()).has_value());
    selector.removeEngine("e");
    BOOST_TEST(selector.select(queryFor(30), clock.now()).error().detail.find("layers 20 to 29") != std::string::npos);
}

// Guards against herding: all entry VMs send to the engine with the lowest load in the
// last report until a newer report arrives.
BOOST_AUTO_TEST_CASE(StaleReportsDoNotCauseHerding)
{
    base::VirtualClock clock;
    const auto reportedAt = clock.now();
    clock.advance(500ms);
    std::map<std::string, int> chosen;
    std::set<std::string> firstChoices;
    for (int vm = 0; vm < 9; ++vm) {
        PipelineSelector selector("vm" + std::to_string(vm), "dc1", {}, static_cast<std::uint64_t>(vm));
        for (int i = 0; i < 10; ++i) {
            const std::string id = "e" + std::to_string(i);
            selector.setEngine(engineOf(id, 0, 9));
            selector.load(id)->applyReport({ i == 0 ? 8U : 10U, 0, 0, reportedAt });
        }
        for (int request = 0; request < 20; ++request) {
            const auto pipeline = selector.select(queryFor(10), clock.now());
            BOOST_REQUIRE(pipeline.has_value());
            const auto& engine = pipeline.value().stages[0].engine;
            if (!request)
                firstChoices.insert(engine);
            ++chosen[engine];
            selector.load(engine)->streamStarted(100, clock.now());
        }
    }
    BOOST_TEST(chosen.size() == 10U);
    BOOST_TEST(firstChoices.size() >= 5U);
    // The mean is 18.
    for (const auto& [engine, count] : chosen)
        BOOST_TEST((count >= 9 && count <= 36), engine << " was chosen " << count << " times");
}

// Guards against a slow link or engine that is still selected, and against one that is
// not selected again after it has recovered.
BOOST_AUTO_TEST_CASE(SlowLinkAndSlowEngineAreAvoidedUntilTheyRecover)
{
    base::VirtualClock clock;
    PipelineSelector selector("vm", "dc1", {}, 3);
    selector.setEngine(engineOf("near", 0, 9));
    selector.setEngine(engineOf("far", 0, 9, "dc2"));
    const auto shareOfFar = [&] {
        int count = 0;
        for (int i = 0; i < 100; ++i)
            count += selector.select(queryFor(10), clock.now()).value().stages[0].engine == "far" ? 1 : 0;
        return count;
    };
    BOOST_TEST(shareOfFar() > 10);
    for (int i = 0; i < 5; ++i)
        selector.roundTrips().record("dc1", "dc2", 40ms, clock.now());
    BOOST_TEST(shareOfFar() == 0);
    for (int i = 0; i < 5; ++i)
        selector.roundTrips().record("dc1", "dc2", 500us, clock.now());
    BOOST_TEST(shareOfFar() > 10);
    for (int i = 0; i < 20; ++i) {
        clock.advance(20ms);
        selector.load("near")->stepReturned(20ms, clock.now());
        selector.load("far")->stepReturned(20ms, clock.now());
    }
    for (int i = 0; i < 5; ++i) {
        clock.advance(200ms);
        selector.load("far")->stepReturned(200ms, clock.now());
    }
    BOOST_TEST(shareOfFar() == 0);
    clock.advance(60s);
    BOOST_TEST(shareOfFar() > 10);
}

// Guards against wrong hints that distort the selection: for more tokens than the
// prompt has, or for an engine that is overloaded or unknown.
BOOST_AUTO_TEST_CASE(PrefixHintsOnlyShortenPrefill)
{
    base::VirtualClock clock;
    PipelineSelector selector("vm", "dc1", exactOptions(), 3);
    selector.setEngine(engineOf("a", 0, 9));
    selector.setEngine(engineOf("b", 0, 9));
    auto query = queryFor(10);
    query.promptTokens = 1000;
    const auto cold = selector.select(query, clock.now()).value();
    query.prefixHints = { { "b", 5000 }, { "unknown", 10 } };
    const auto warm = selector.select(query, clock.now()).value();
    BOOST_TEST(warm.stages[0].engine == "b");
    BOOST_TEST((warm.timeToFirstToken < cold.timeToFirstToken && warm.timeToFirstToken.count() > 0));
    BOOST_TEST((warm.timeBetweenTokens == cold.timeBetweenTokens));
    selector.load("b")->applyReport({ 200, 0, 0, clock.now() });
    BOOST_TEST(selector.select(query, clock.now()).value().stages[0].engine == "a");
}
