#include "include/state/Commands.h"
#include "include/state/PackedDocument.h"
#include "tests/ConsensusHarness.h"
#include "tests/RouteDocument.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using consensus::Cluster;
using consensus::Milliseconds;

static constexpr double uplinkBytesPerSecond = 170e6 / 8;
static constexpr std::size_t manyRoutes = 1640;
static constexpr int proposalCount = 25;

static std::unique_ptr<Cluster> makeCluster(std::uint64_t seed)
{
    auto cluster = std::make_unique<Cluster>(seed, 5, 1);
    cluster->uplinkBytesPerSecond = uplinkBytesPerSecond;
    cluster->settings.maxEntryBytes = std::size_t { 3 } << 20;
    cluster->settings.maxBatchBytes = (std::size_t { 3 } << 20) + (std::size_t { 256 } << 10);
    cluster->startAll();
    // The sixth control VM is a learner, which receives the log too.
    BOOST_REQUIRE(cluster->changeUntilCommitted(consensus::ChangeKind::AddLearner, cluster->nodes[5].key));
    return cluster;
}

BOOST_AUTO_TEST_CASE(LeaderKeepsLeaseDuringStormOfLargeConfigurations)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto cluster = makeCluster(seed);
        auto leader = cluster->awaitLeader();
        auto term = cluster->nodes[leader].core->term();
        for (std::uint64_t version = 1; version <= proposalCount; ++version) {
            state::ReplaceRoutes command { version, state::packDocument(routes::makeDocument(version, manyRoutes)) };
            cluster->propose(leader, state::encodeCommand({ base::WallTime(std::chrono::hours(1)), command }));
            cluster->run(Milliseconds(60));
        }
        cluster->run(Milliseconds(1000));
        BOOST_TEST(cluster->isLeading(leader), "seed " << seed);
        BOOST_TEST(cluster->nodes[leader].core->term() == term, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(EntriesThatWaitForLinkAreNotSentAgain)
{
    auto cluster = makeCluster(7);
    auto leader = cluster->awaitLeader();
    auto before = cluster->sentBytes;
    constexpr std::size_t commandBytes = std::size_t { 2 } << 20;
    cluster->propose(leader, std::string(commandBytes, 'x'));
    cluster->run(Milliseconds(2500));
    BOOST_TEST(cluster->nodes[leader].core->commitIndex() == cluster->nodes[leader].core->log().lastIndex());
    // Once to each of the five other replicas, besides heartbeats.
    BOOST_TEST(cluster->sentBytes - before < 5 * commandBytes + commandBytes / 2);
}
