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
