#include "include/routing/UpstreamReachability.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::routing;
using std::chrono::milliseconds;
using Change = UpstreamReachability::Change;

static const base::TimePoint start(std::chrono::hours(1));
static constexpr std::size_t knownUpstreams = 36;

// Guards against a VM that takes one or two upstreams that are down for the loss of all paths.
BOOST_AUTO_TEST_CASE(TwoLostUpstreamsDoNotCutTheVmOff)
{
    UpstreamReachability reachability(1);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST((reachability.upstreamMissed(i % 2 ? "a" : "b", knownUpstreams, start + milliseconds(50 * i)) == Change::None));
    BOOST_TEST(!reachability.isCutOff());
    BOOST_TEST(!reachability.isImpaired(start + milliseconds(1000)));
}

// Guards against a VM that gives its paths up although an upstream has answered meanwhile.
BOOST_AUTO_TEST_CASE(AnyAnswerShowsAPath)
{
    UpstreamReachability reachability(1);
    for (int i = 0; i < 30; ++i) {
        reachability.upstreamMissed("u" + std::to_string(i), knownUpstreams, start + milliseconds(20 * i));
        if (i % 2)
            BOOST_TEST((reachability.upstreamReached() == Change::None));
    }
    BOOST_TEST(!reachability.isCutOff());
}

// Guards against a VM whose open connections live on while all new ones fail, and which
// therefore seems to have paths.
BOOST_AUTO_TEST_CASE(NewConnectionsThatAllFailImpairAVmThatReachesUpstreams)
{
    UpstreamReachability reachability(1);
    for (const char* upstream : { "a", "b", "c" }) {
        BOOST_TEST(!reachability.isImpaired(start));
        reachability.upstreamMissed(upstream, knownUpstreams, start);
        reachability.upstreamReached();
    }
    BOOST_TEST(reachability.isImpaired(start));
    BOOST_TEST(!reachability.isCutOff());
    BOOST_TEST(!reachability.isImpaired(start + std::chrono::seconds(3)));
    reachability.upstreamConnected();
    BOOST_TEST(!reachability.isImpaired(start));
}

// Guards against misses that lie far apart and are counted together.
BOOST_AUTO_TEST_CASE(OldMissesAreForgotten)
{
    UpstreamReachability reachability(1);
    for (int i = 0; i < 6; ++i)
        reachability.upstreamMissed("u" + std::to_string(i), knownUpstreams, start + std::chrono::seconds(2 * i));
    BOOST_TEST(!reachability.isCutOff());
}

// Guards against a VM that does not notice that all its paths are lost, or that one is back.
BOOST_AUTO_TEST_CASE(SeveralMissesWithoutAnAnswerCutTheVmOff)
{
    UpstreamReachability reachability(1);
    reachability.upstreamMissed("a", knownUpstreams, start);
    reachability.upstreamMissed("b", knownUpstreams, start + milliseconds(10));
    BOOST_TEST((reachability.upstreamMissed("c", knownUpstreams, start + milliseconds(20)) == Change::CutOff));
    BOOST_TEST(reachability.isCutOff());
    BOOST_TEST((reachability.cutOffSince() == start));
    BOOST_TEST((reachability.upstreamReached() == Change::Reached));
    BOOST_TEST(!reachability.isCutOff());
}

// Guards against a deployment of one upstream that can never be told to be out of reach.
BOOST_AUTO_TEST_CASE(AllOfAFewUpstreamsAreEnough)
{
    UpstreamReachability reachability(1);
    BOOST_TEST((reachability.upstreamMissed("a", 1, start) == Change::CutOff));
}

// Guards against VMs that all try the upstreams again at the same moment after a cut.
BOOST_AUTO_TEST_CASE(ProbesOfManyVmsAreSpread)
{
    constexpr int vmCount = 91;
    constexpr int slots = 10;
    std::array<int, slots> probesBySlot {};
    for (int vm = 0; vm < vmCount; ++vm) {
        UpstreamReachability reachability(static_cast<std::uint64_t>(vm) + 1);
        for (const char* upstream : { "a", "b", "c" })
            reachability.upstreamMissed(upstream, knownUpstreams, start);
        BOOST_TEST(!reachability.takeProbe(start + milliseconds(249)));
        // The first probe after two seconds.
        int slot = 0;
        for (auto at = milliseconds(0); at < milliseconds(2000); at += milliseconds(5))
            reachability.takeProbe(start + at);
        for (auto at = milliseconds(2000); !reachability.takeProbe(start + at); at += milliseconds(5))
            slot = static_cast<int>((at.count() - 2000) / 75);
        ++probesBySlot[static_cast<std::size_t>(std::min(slot, slots - 1))];
    }
    for (int count : probesBySlot)
        BOOST_TEST(count <= vmCount / 3);
}
