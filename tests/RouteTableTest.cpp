#include "include/routes/RouteTable.h"

#include <boost/test/unit_test.hpp>

using namespace arbutus;
using namespace arbutus::routes;

static Route route(const std::string& host, const std::string& prefix)
{
    Route result;
    result.name = host + prefix;
    result.host = host;
    result.pathPrefix = prefix;
    result.timeout = std::chrono::milliseconds(800);
    result.weightedServices = { { "magazzino", 1 } };
    return result;
}

static RouteConfiguration configuration()
{
    RouteConfiguration result;
    result.version = 3;
    result.routes = { route("desk", "/a/"), route("desk", "/a/b/"), route("fair", "/") };
    result.services = { { "magazzino", "", 10, std::nullopt }, { "scriba", "", 10, std::nullopt } };
    result.teams = { { "fiere", { "k1", "k2" }, 1 }, { "banchi", { "k3" }, std::nullopt } };
    return result;
}

// Guards against routing a request to the service of another route.
BOOST_AUTO_TEST_CASE(MatchesLongestPathPrefixOfHost)
{
    auto table = RouteTable::Make(configuration());
    auto nameOf = [&table](std::string_view host, std::string_view target) {
        const auto* found = table->match(host, target);
        return found ? found->name : std::string("none");
    };
    BOOST_TEST(nameOf("desk", "/a/x") == "desk/a/");
    BOOST_TEST(nameOf("desk:80", "/a/b/c?d=/e/") == "desk/a/b/");
    BOOST_TEST(nameOf("desk", "/a/bc") == "desk/a/");
    BOOST_TEST(nameOf("desk", "/a") == "none");
    BOOST_TEST(nameOf("desk", "/ab/") == "none");
    BOOST_TEST(nameOf("fair", "/anything") == "fair/");
    BOOST_TEST(nameOf("other", "/a/x") == "none");
    BOOST_TEST(table->teamOf("k2")->name == "fiere");
    BOOST_TEST(!table->teamOf("k4"));
}

// Guards against storing an invalid configuration.
BOOST_AUTO_TEST_CASE(RejectsInvalidConfigurations)
{
    BOOST_TEST(validate(configuration()).has_value());
    auto isRejected = [](void (*invalidate)(RouteConfiguration&)) {
        auto invalid = configuration();
        invalidate(invalid);
        return validate(invalid).has_error();
    };
    BOOST_TEST(isRejected([](RouteConfiguration& c) { c.routes[0].weightedServices[0].service = "unknown"; }));
    BOOST_TEST(isRejected([](RouteConfiguration& c) { c.routes[1].pathPrefix = "/a/"; }));
    BOOST_TEST(isRejected([](RouteConfiguration& c) { c.routes[0].weightedServices[0].weight = 0; }));
    BOOST_TEST(isRejected([](RouteConfiguration& c) { c.routes[0].weightedServices.clear(); }));
    BOOST_TEST(isRejected([](RouteConfiguration& c) { c.routes[0].timeout = std::chrono::milliseconds(0); }));
    BOOST_TEST(isRejected([](RouteConfiguration& c) { c.teams[1].keys = { "k1" }; }));
    BOOST_TEST(isRejected([](RouteConfiguration& c) { c.routes[0].pathPrefix = "/a"; }));
}

// Guards against requests to a service of weight 0.
BOOST_AUTO_TEST_CASE(PicksServicesByWeight)
{
    auto split = route("desk", "/a/");
    split.weightedServices = { { "magazzino", 0 }, { "scriba", 90 }, { "altro", 10 } };
    BOOST_TEST(pickService(split, 0.0) == "scriba");
    BOOST_TEST(pickService(split, 0.89) == "scriba");
    BOOST_TEST(pickService(split, 0.91) == "altro");
    BOOST_TEST(pickService(split, 0.999999999) == "altro");
}
