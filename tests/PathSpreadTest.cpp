#include "tests/PathSpread.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;

static PathSpread::Result play(std::size_t entryVms, double load, std::size_t copies, std::size_t dataCentres)
{
    PathSpread::Options options;
    options.dataCentres = dataCentres;
    options.entryVms = entryVms;
    options.load = load;
    options.copies = copies;
    // About as many arrivals at few copies as at many.
    options.duration = std::chrono::seconds(copies > 20 ? 12 : 60);
    auto result = PathSpread(options).run();
    BOOST_TEST_MESSAGE(entryVms << " entry VMs, load " << load << ": rejected " << result.rejectedShare() << ", started " << result.startedShare() << ", in objective " << result.inObjectiveShare() << ", without path " << result.withoutPath << ", use " << result.meanUse);
    return result;
}

// Guards against entry VMs that all send to the same copy because each sees it as the best.
BOOST_AUTO_TEST_CASE(ManyEntryVmsDoNotOverfillTheSameCopy)
{
    for (std::size_t entryVms : { 7, 30, 91, 300 }) {
        for (double load : { 0.5, 0.8, 0.95, 1.2 }) {
            auto result = play(entryVms, load, 35, 5);
            BOOST_TEST(result.rejectedShare() < 0.05);
            BOOST_TEST(result.inObjectiveShare() > 0.75);
        }
    }
}

// Guards against a small fleet that leaves copies unused for the sake of a large one.
BOOST_AUTO_TEST_CASE(FewEntryVmsUseAllCopies)
{
    for (double load : { 0.5, 0.8, 0.95, 1.2 }) {
        auto result = play(7, load, 5, 3);
        BOOST_TEST(result.rejectedShare() < 0.05);
        BOOST_TEST(result.startedShare() > (load > 1 ? 0.8 : 0.99));
    }
}

// Guards against entry VMs that take turns at engines which look empty but refuse every
// stream, and against engines that stay unused once they accept again.
BOOST_AUTO_TEST_CASE(EnginesThatRefuseAreNotTriedByAllInTurn)
{
    for (std::size_t entryVms : { 9, 66, 130, 300 }) {
        for (double load : { 0.95, 1.2 }) {
            PathSpread::Options options;
            options.entryVms = entryVms;
            options.dataCentres = 3;
            options.load = load;
            options.refusingCopies = 4;
            auto result = PathSpread(options).run();
            // What the copies that refused hold at full use, from 7 s to the end at 12 s.
            BOOST_TEST_MESSAGE(entryVms << " entry VMs, load " << load << ": rejected " << result.rejectedShare() << ", started " << result.startedShare() << ", at recovered copies " << result.startedAtRecovered << ", in objective " << result.inObjectiveShare());
            BOOST_TEST(result.rejectedShare() < 0.1);
            BOOST_TEST(result.startedAtRecovered > 100U);
        }
    }
}
