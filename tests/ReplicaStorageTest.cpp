#include "src/replica/ReplicaStorage.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>

using namespace arbutus;

namespace {

struct TemporaryFolder {
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "arbutus-replica-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()));
        path = name;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }

    std::unique_ptr<replica::ReplicaStorage> open() const
    {
        auto storage = replica::ReplicaStorage::Make(path, 77);
        BOOST_REQUIRE(storage);
        return std::move(storage).value();
    }

    std::string path;
};

} // namespace

// Guards against replicas that restart before their first snapshot and have lost the
// bootstrap configuration. Without voters, none of them ever starts an election.
BOOST_AUTO_TEST_CASE(RestartKeepsBootstrapConfiguration)
{
    TemporaryFolder folder;
    consensus::Configuration bootstrap;
    bootstrap.voters = { { 1, 77 }, { 2, 88 }, { 3, 99 } };
    BOOST_TEST(folder.open()->isBlank());
    BOOST_REQUIRE(folder.open()->saveBootstrap(bootstrap));
    BOOST_TEST(!folder.open()->isBlank());
    auto state = folder.open()->load();
    BOOST_REQUIRE(state);
    BOOST_TEST((state.value().bootstrap.voters == bootstrap.voters));
}

// Guards against saving the hard state over the bootstrap configuration, and the reverse:
// both are stored in one record.
BOOST_AUTO_TEST_CASE(SavingHardStateKeepsBootstrapConfiguration)
{
    TemporaryFolder folder;
    consensus::Configuration bootstrap;
    bootstrap.voters = { { 1, 77 } };
    {
        auto storage = folder.open();
        BOOST_REQUIRE(storage->saveBootstrap(bootstrap));
        consensus::Output output;
        output.hardState.emplace();
        output.hardState->term = 5;
        BOOST_REQUIRE(storage->write(output));
        BOOST_REQUIRE(storage->sync());
    }
    auto state = folder.open()->load();
    BOOST_REQUIRE(state);
    BOOST_TEST(state.value().hardState.term == 5u);
    BOOST_TEST((state.value().bootstrap.voters == bootstrap.voters));
}
