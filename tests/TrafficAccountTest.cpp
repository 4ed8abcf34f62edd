#include "include/fleet/TrafficAccount.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus::fleet;

using Kind = TrafficAccount::Kind;
using Direction = TrafficAccount::Direction;

// Guards against loads and documents that are counted as polls, or twice.
BOOST_AUTO_TEST_CASE(PartsOfAMessageAreCountedOnce)
{
    TrafficAccount account("d0");
    FleetAnswer answer;
    answer.dataCentre = "d1";
    auto emptyBytes = encode(answer).size();
    answer.packedRoutes = std::string(100, 'x');
    answer.peerLoad = { { "engine", 3, 1000, 0 } };
    auto bytes = encode(answer).size();
    account.add(answer, Direction::Received, answer.dataCentre, bytes);
    account.add(answer, Direction::Received, "d0", bytes);
    // An array of one array of three: 2 bytes and name, count and cache in 7, 1 and 3 bytes.
    constexpr std::size_t loadBytes = 13;
    auto expected = "d1:polls=0/" + std::to_string(bytes - 100 - loadBytes) + ",loads=0/" + std::to_string(loadBytes) + ",documents=0/100";
    BOOST_TEST(account.take() == expected);
    BOOST_TEST(bytes - 100 - loadBytes <= emptyBytes + 2);
    BOOST_TEST(account.take().empty());
}

BOOST_AUTO_TEST_CASE(ControlVmsAreCountedByTheirDataCentre)
{
    TrafficAccount account("d0");
    account.add(Kind::Replication, Direction::Sent, 7, 10);
    account.setDataCentre(7, "d2");
    account.setDataCentre(8, "d0");
    account.add(Kind::Replication, Direction::Sent, 7, 20);
    account.add(Kind::Replication, Direction::Received, 8, 30);
    BOOST_TEST(account.counter(Kind::Upstream, "d0") == nullptr);
    account.counter(Kind::Upstream, "d2")->received += 5;
    BOOST_TEST(account.take() == "d2:replication=20/0,upstreams=0/5;unknown:replication=10/0");
}

// Guards against a log line that grows with names that other processes state.
BOOST_AUTO_TEST_CASE(NumberOfDataCentresIsBounded)
{
    TrafficAccount account("d");
    for (int i = 0; i < 1000; ++i)
        account.add(Kind::Poll, Direction::Sent, "d" + std::to_string(i), 1);
    auto text = account.take();
    BOOST_TEST(std::count(text.begin(), text.end(), ':') == 17);
    BOOST_TEST(text.find("other:polls=984/0") != std::string::npos);
}
