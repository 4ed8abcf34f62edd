#include "tests/PathSpread.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;

using Fault = PathSpread::Options::Fault;

// Three data centres with 12 copies each, over links of 8 ms.
static PathSpread::Options threeDataCentres(double load)
{
    PathSpread::Options options;
    options.entryVms = 130;
    options.dataCentres = 3;
    options.copiesOf = { 12, 12, 12 };
    options.delay = std::chrono::milliseconds(8);
    options.load = load;
    options.measuredFrom = std::chrono::seconds(6);
    options.duration = std::chrono::seconds(21);
    return options;
}

struct Comparison {
    PathSpread::Result planned;
    PathSpread::Result fixedCost;
};

// Plays the same with the plan and with the fixed cost of a first engine elsewhere.
static Comparison compare(PathSpread::Options options, const char* name)
{
    Comparison result;
    for (bool hasDemand : { true, false }) {
        options.hasDemand = hasDemand;
        auto played = PathSpread(options).run();
        BOOST_TEST_MESSAGE(name << ", " << options.entryVms << " entry VMs, load " << options.load << (hasDemand ? ", planned" : ", fixed cost") << ": started " << played.startedShare() << ", served in objective " << played.servedShare() << ", crossed " << played.crossedShare() << ", rejected " << played.rejectedShare());
        (hasDemand ? result.planned : result.fixedCost) = played;
    }
    return result;
}

// Guards against streams that cross while their own data centre has room.
BOOST_AUTO_TEST_CASE(StreamsStayWhileTheirDataCentreHasRoom)
{
    for (double load : { 0.3, 0.5, 0.8 }) {
        auto [planned, fixedCost] = compare(threeDataCentres(load), "equal");
        BOOST_TEST(planned.crossedShare() < 0.01);
        BOOST_TEST(fixedCost.crossedShare() > 0.25);
        BOOST_TEST(planned.servedShare() > 0.99);
    }
}

// Guards against exchanges that help nobody, when all data centres are about equally full.
BOOST_AUTO_TEST_CASE(EquallyFullDataCentresDoNotExchangeStreams)
{
    for (double load : { 0.95, 1.2 }) {
        auto [planned, fixedCost] = compare(threeDataCentres(load), "equal");
        BOOST_TEST(planned.crossedShare() < fixedCost.crossedShare() / 2);
        BOOST_TEST(planned.servedShare() >= fixedCost.servedShare());
        BOOST_TEST(planned.rejectedShare() < 0.1);
    }
}

// Guards against streams that are refused in one data centre while others have room, and
// against those that do not return when the peak has passed.
BOOST_AUTO_TEST_CASE(MovingDemandPeakUsesOtherDataCentres)
{
    for (double load : { 0.5, 0.8, 0.95 }) {
        auto options = threeDataCentres(load);
        options.wave = 0.55;
        options.duration = std::chrono::seconds(36);
        auto [planned, fixedCost] = compare(options, "moving peak");
        BOOST_TEST(planned.servedShare() > 0.95);
        BOOST_TEST(planned.servedShare() > fixedCost.servedShare() - 0.005);
        BOOST_TEST(planned.crossedShare() < fixedCost.crossedShare() * 0.6);
        BOOST_TEST(planned.rejectedShare() < 0.1);
    }
}

// Guards against a small data centre that keeps more streams than it can serve.
BOOST_AUTO_TEST_CASE(SmallDataCentreSendsItsExcess)
{
    for (double load : { 0.5, 0.8, 0.95 }) {
        auto options = threeDataCentres(load);
        options.copiesOf = { 4, 12, 20 };
        auto [planned, fixedCost] = compare(options, "unequal");
        BOOST_TEST(planned.servedShare() > 0.97);
        BOOST_TEST(planned.servedShare() >= fixedCost.servedShare());
        BOOST_TEST(planned.crossedShare() < fixedCost.crossedShare() * 0.7);
    }
}

// Guards against entry VMs that lose all copies of their data centre and overfill one other.
BOOST_AUTO_TEST_CASE(StreamsOfALostDataCentreSpreadOverTheOthers)
{
    for (std::size_t entryVms : { 9, 130, 300 }) {
        for (double load : { 0.33, 0.63, 0.8 }) {
            auto options = threeDataCentres(load);
            options.entryVms = entryVms;
            options.copiesOf = { 12, 8, 16 };
            options.fault = Fault::LosesEngines;
            auto [planned, fixedCost] = compare(options, "engines lost");
            BOOST_TEST(planned.servedShare() >= std::min(0.98, fixedCost.servedShare()));
            BOOST_TEST(planned.rejectedShare() < 0.1);
            BOOST_TEST(planned.crossedShare() < fixedCost.crossedShare());
        }
    }
}

// Guards against plans that count on a data centre which cannot be reached.
BOOST_AUTO_TEST_CASE(DataCentreThatIsCutOffServesItself)
{
    auto options = threeDataCentres(0.8);
    options.fault = Fault::CutOff;
    auto [planned, fixedCost] = compare(options, "cut off");
    BOOST_TEST(planned.servedShare() > 0.98);
    BOOST_TEST(planned.crossedShare() < 0.02);
}

// Guards against streams that a plan sends over a link on which they arrive too late. The
// few that cross find no room at home.
BOOST_AUTO_TEST_CASE(SlowLinkIsNotUsedByPlan)
{
    for (double load : { 0.5, 0.8 }) {
        auto options = threeDataCentres(load);
        options.copiesOf = { 6, 12, 18 };
        options.delay = std::chrono::milliseconds(300);
        auto [planned, fixedCost] = compare(options, "slow link");
        BOOST_TEST(planned.servedShare() > fixedCost.servedShare() + 0.1);
        BOOST_TEST(planned.crossedShare() < fixedCost.crossedShare() / 3);
    }
}
