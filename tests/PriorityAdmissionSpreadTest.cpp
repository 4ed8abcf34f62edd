#include "tests/OverloadSpread.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using std::chrono::milliseconds;

static constexpr std::size_t copies = 35;
// Streams take more memory than the entry VMs expect, so that engines refuse about half of
// the attempts in an overload, as was measured in deployment K.
static constexpr double memoryExcess = 1.15;
// Before, during and after a disturbance, and so long after its end that callers are served
// as well as the engines allow. In seconds.
static constexpr long warmUp = 12;
static constexpr long disturbance = 20;
static constexpr long end = 30;
static constexpr long recovered = 35;
static constexpr long last = 40;
static const std::array<std::size_t, 3> entryVmCounts { 9, 66, 300 };

static bool isBetween(milliseconds at, long from, long to) { return at >= std::chrono::seconds(from) && at < std::chrono::seconds(to); }
static bool isOfLostThird(std::size_t copy) { return copy % 3 == 1; }
static bool isAnyCopy(std::size_t) { return true; }
static bool isRemaining(std::size_t copy) { return !isOfLostThird(copy); }

// `load` is the demand relative to what the copies carry at full memory.
static OverloadSpread::Options usual(std::size_t entryVms, double load, bool hasAdmission)
{
    OverloadSpread::Options options;
    options.entryVms = entryVms;
    options.copies = copies;
    options.hasCallers = true;
    options.hasAdmission = hasAdmission;
    options.memoryExcess = memoryExcess;
    options.proportions = { 107, 68, 42 };
    options.duration = std::chrono::seconds(52);
    options.load = load * OverloadSpread::capacity(copies, isAnyCopy, memoryExcess) / OverloadSpread(options).rateAtLoad(1);
    return options;
}

static OverloadSpread::Result play(const OverloadSpread::Options& options, const char* name)
{
    auto result = OverloadSpread(options).run();
    std::string shares;
    for (auto [from, to] : { std::pair(warmUp, disturbance), std::pair(disturbance, end), std::pair(recovered, last) }) {
        for (std::size_t priority = 0; priority < options.proportions.size(); ++priority)
            shares += " " + std::to_string(result.servedShare(priority, from, to));
        shares += ",";
    }
    BOOST_TEST_MESSAGE(name << ", " << options.entryVms << " entry VMs, admission " << options.hasAdmission << ": served before, during, after by class:" << shares << " served per second after " << result.servedPerSecond(recovered, last) << ", refused by the admission " << result.refusedByAdmission << ", rejections " << result.rejections << " of " << result.rejections + result.started);
    return result;
}

// What the given copies serve per second when demand is nine tenths of what they carry at
// full memory, without the admission.
static double carried(std::size_t entryVms, bool (*isPresent)(std::size_t))
{
    double share = OverloadSpread::capacity(copies, isPresent, memoryExcess) / OverloadSpread::capacity(copies, isAnyCopy, memoryExcess);
    auto options = usual(entryVms, 0.9 * share, false);
    options.isPresent = [isPresent](std::size_t copy, milliseconds) { return isPresent(copy); };
    return play(options, "reference").servedPerSecond(warmUp, last);
}

// Guards against the most urgent callers paying for a burst of the least urgent ones.
BOOST_AUTO_TEST_CASE(BurstOfTheLeastUrgentLeavesTheMostUrgentAlone)
{
    for (auto entryVms : entryVmCounts) {
        auto options = usual(entryVms, 0.85, true);
        auto calm = play(options, "calm");
        options.demand = [](std::size_t priority, milliseconds at) { return priority == 2 && isBetween(at, disturbance, end) ? 2.5 : 1; };
        auto burst = play(options, "burst of the least urgent");
        BOOST_TEST(burst.servedShare(0, disturbance, end) > calm.servedShare(0, disturbance, end) - 0.02);
    }
}

// Guards against an overload that goes on after its cause.
BOOST_AUTO_TEST_CASE(ServiceIsBackFiveSecondsAfterABurstOrALoss)
{
    for (auto entryVms : entryVmCounts) {
        auto options = usual(entryVms, 0.85, true);
        options.demand = [](std::size_t, milliseconds at) { return isBetween(at, disturbance, end) ? 2.5 : 1; };
        BOOST_TEST(play(options, "burst of all").servedShare(recovered, last) > 0.9);
        options = usual(entryVms, 0.85, true);
        options.isPresent = [](std::size_t copy, milliseconds at) { return !isOfLostThird(copy) || !isBetween(at, disturbance, end); };
        BOOST_TEST(play(options, "loss of a third").servedShare(recovered, last) > 0.9);
    }
}

// Guards against engines that spend their time on refused attempts and on streams that come
// too late while demand stays above what they carry, as it did before the admission.
BOOST_AUTO_TEST_CASE(LastingOverloadIsServedAsFarAsTheEnginesAllow)
{
    for (auto entryVms : { 66, 300 }) {
        for (bool hasLoss : { false, true }) {
            if (hasLoss && entryVms == 300)
                continue;
            double possible = carried(static_cast<std::size_t>(entryVms), hasLoss ? isRemaining : isAnyCopy);
            for (bool hasAdmission : { true, false }) {
                auto options = usual(static_cast<std::size_t>(entryVms), 0.85, hasAdmission);
                options.demand = [](std::size_t, milliseconds at) { return isBetween(at, 0, disturbance) ? 1 : isBetween(at, disturbance, end) ? 2.5
                                                                                                                                               : 2; };
                if (hasLoss)
                    options.isPresent = [](std::size_t copy, milliseconds at) { return isRemaining(copy) || isBetween(at, 0, disturbance); };
                auto result = play(options, hasLoss ? "lasting loss" : "lasting burst");
                double served = result.servedPerSecond(recovered, last) / possible;
                BOOST_TEST((served > 0.9) == hasAdmission, served);
                if (!hasAdmission)
                    continue;
                // No class starves, and none overtakes a more urgent one.
                double all = result.servedShare(recovered, last);
                for (std::size_t priority = 0; priority < 3; ++priority) {
                    BOOST_TEST(result.servedShare(priority, recovered, last) > 0.2 * all);
                    BOOST_TEST((priority == 0 || result.servedShare(priority, recovered, last) < result.servedShare(priority - 1, recovered, last) + 0.05));
                }
                // The entry VMs do not all admit and refuse in turn.
                for (long second = recovered; second < last; ++second)
                    BOOST_TEST(result.completions[second] > 0.75 * possible);
            }
        }
    }
}

// Guards against refusals by the admission while the engines have room.
BOOST_AUTO_TEST_CASE(DemandBelowCapacityIsAdmittedWhole)
{
    for (auto entryVms : entryVmCounts)
        BOOST_TEST(play(usual(entryVms, 0.75, true), "below capacity").refusedByAdmission == 0);
}
