#include "include/routing/CrashSuspectTracker.h"
#include "include/base/Clock.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace arbutus;
using namespace arbutus::routing;

static constexpr std::size_t clearingTokens = 16;

struct BatchResult {
    int engineCrashes = 0;
    std::set<std::string> blamed;
    std::set<std::string> finished;
};

// Runs a batch of requests r0, r1, ... on one engine, which crashes, then runs all
// suspects in isolation. The requests in `faulty` crash every engine that runs them.
static BatchResult runBatch(int size, const std::set<std::string>& faulty, std::size_t idleEngines)
{
    base::VirtualClock clock;
    CrashSuspectTracker suspects(1000);
    std::vector<std::string> batch;
    batch.reserve(static_cast<std::size_t>(size));
    for (int i = 0; i < size; ++i)
        batch.push_back("r" + std::to_string(i));
    BatchResult result;
    result.engineCrashes = 1;
    suspects.engineCrashed(batch, 0, clock.now());
    for (int round = 0; round < 1000; ++round) {
        const std::size_t engines = std::max<std::size_t>(idleEngines, suspects.needsEmptyEngine() ? 1 : 0);
        const auto groups = suspects.startIsolationGroups(engines);
        if (groups.empty())
            break;
        for (const auto& group : groups) {
            clock.advance(std::chrono::milliseconds(1));
            const bool crashes = std::any_of(group.begin(), group.end(), [&](const std::string& request) { return faulty.count(request); });
            if (crashes) {
                ++result.engineCrashes;
                const auto outcome = suspects.engineCrashed(group, 0, clock.now());
                result.blamed.insert(outcome.blamed.begin(), outcome.blamed.end());
                continue;
            }
            for (const auto& request : group) {
                suspects.tokensProduced(request, clearingTokens);
                result.finished.insert(request);
            }
        }
    }
    return result;
}

// Guards against a request that crashes engines indefinitely, and against an innocent
// request of the same batch that is blamed or never resumed, also with two faulty
// requests.
BOOST_AUTO_TEST_CASE(OnlyFaultyRequestsAreBlamedAndOthersFinish)
{
    for (int size : { 1, 8, 32, 64 }) {
        for (std::size_t idleEngines : { 0, 3, 10 }) {
            std::set<std::string> faulty { "r0" };
            if (size > 1)
                faulty.insert("r" + std::to_string(size / 2));
            const BatchResult result = runBatch(size, faulty, idleEngines);
            BOOST_TEST(result.blamed == faulty, boost::test_tools::per_element());
            BOOST_TEST(result.finished.size() == static_cast<std::size_t>(size) - faulty.size());
            // A batch of one has a sole crash from the start. Otherwise each faulty request
            // costs two engines after the first: one in a group and one alone, or two alone.
            BOOST_TEST(result.engineCrashes == (size == 1 ? 2 : 1 + 2 * static_cast<int>(faulty.size())));
        }
    }
}

// Guards against a suspect that is blamed one crash too early or too late.
BOOST_AUTO_TEST_CASE(BlamedAfterTwoSoleOrThreeTotalCrashes)
{
    base::VirtualClock clock;
    CrashSuspectTracker suspects(10);
    BOOST_TEST(suspects.engineCrashed({ "sole" }, 0, clock.now()).blamed.empty());
    BOOST_TEST(suspects.checkNotBlamed("sole", clock.now()).has_value());
    BOOST_TEST(suspects.engineCrashed({ "sole" }, 0, clock.now()).blamed.size() == 1U);
    BOOST_TEST((suspects.checkNotBlamed("sole", clock.now()).error().kind == base::ErrorKind::CrashSuspect));

    // Streams of other VMs were on the engine, so three crashes are needed.
    for (int crash = 1; crash <= 3; ++crash)
        BOOST_TEST(suspects.engineCrashed({ "shared" }, 5, clock.now()).blamed.size() == (crash == 3 ? 1U : 0U));
    // Two streams with the same fingerprint count as one suspect.
    suspects.engineCrashed({ "twin", "twin" }, 0, clock.now());
    BOOST_TEST(suspects.engineCrashed({ "twin", "twin" }, 0, clock.now()).blamed.size() == 1U);
}

// Guards against a request that is blamed for crashes of which it was cleared, and
// against clearing too early.
BOOST_AUTO_TEST_CASE(SixteenTokensClearOnlyTheLastCrash)
{
    base::VirtualClock clock;
    CrashSuspectTracker suspects(10);
    suspects.engineCrashed({ "a" }, 3, clock.now());
    suspects.engineCrashed({ "a" }, 3, clock.now());
    suspects.startIsolationGroups(1);
    suspects.tokensProduced("a", clearingTokens - 1);
    BOOST_TEST(suspects.record("a").crashCount == 2);
    suspects.tokensProduced("a", clearingTokens);
    BOOST_TEST(suspects.record("a").crashCount == 1);
    BOOST_TEST(!suspects.isSuspect("a"));
}

// Guards against blame that is lost with its VM or never expires, against unbounded
// records, and against evicting the record of a waiting stream.
BOOST_AUTO_TEST_CASE(RecordsMergeExpireAndAreBounded)
{
    base::VirtualClock clock;
    CrashSuspectTracker suspects(3);
    suspects.merge({ "a", 3, 0, clock.now() }, clock.now());
    BOOST_TEST(suspects.checkNotBlamed("a", clock.now()).has_error());
    suspects.engineCrashed({ "w" }, 1, clock.now());
    for (int i = 0; i < 20; ++i)
        suspects.merge({ "m" + std::to_string(i), 1, 0, clock.now() }, clock.now());
    BOOST_TEST(suspects.recordCount() == 3U);
    BOOST_TEST(suspects.checkNotBlamed("a", clock.now()).has_error());
    BOOST_TEST(suspects.startIsolationGroups(1).size() == 1U);
    clock.advance(std::chrono::hours(1));
    BOOST_TEST(suspects.checkNotBlamed("a", clock.now()).has_value());
    BOOST_TEST(suspects.recordCount() == 0U);
}
