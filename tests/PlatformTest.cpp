#include "platform/JsonPlatformCodec.h"
#include "platform/NodeSettings.h"
#include "platform/PlatformHeaderCodec.h"
#include "platform/RouteDecoder.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>

using namespace arbutus;
using namespace arbutus::platform;

static const std::string routesText = R"({"version":7,"routes":[{"name":"r1","host":"desk","path_prefix":"/a/","route_type":"streaming","timeout_ms":20000,
"target_latency_ms":500,"priority":1,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,"public":true,"stream_resume":true}],
"services":[{"name":"s1","health_check":"/h","max_connections":9,"engine":{"slots":192,"kv_token_bytes":918000,"models":[{"name":"m","load_s":14.0}],"step_ms":1.02,
"read_per_s":105000.0,"layers":80,"layer_mb":1750.0,"kinds":[{"name":"l4","mb":21600.0,"pace":16.0,"read_x":8.2}]}},{"name":"s2"}],
"limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,"idle_timeout_ms":400},"tenants":[{"name":"t","api_keys":["k"],"priority":1}]})";

// Guards against a platform field that is dropped or decoded into the wrong member.
BOOST_AUTO_TEST_CASE(DecodesAllRouteFields)
{
    auto decoded = decodeRoutes(routesText);
    BOOST_REQUIRE(decoded.has_value());
    const auto& value = decoded.value();
    BOOST_TEST(value.version == 7U);
    const auto& route = value.routes.at(0);
    BOOST_TEST((route.kind == routes::RequestKind::Streaming));
    BOOST_TEST((route.timeout == std::chrono::seconds(20)));
    BOOST_TEST(route.maxAttempts == 2);
    BOOST_TEST(route.isPublic);
    BOOST_TEST(route.mayResume);
    BOOST_TEST(route.weightedServices.at(1).weight == 10);
    BOOST_REQUIRE(value.services.at(0).model.has_value());
    BOOST_TEST((value.services.at(0).model->fullLoadTime == std::chrono::seconds(14)));
    BOOST_TEST(value.services.at(0).model->findAcceleratorKind("l4")->stepTimeFactor == 16);
    BOOST_TEST(!value.services.at(1).model.has_value());
    BOOST_TEST((value.limits.idleTimeout == std::chrono::milliseconds(400)));
    BOOST_TEST(value.teams.at(0).keys.at(0) == "k");
    BOOST_TEST(routes::validate(value).has_value());
}

// Guards against a configuration that is refused, or a link that is assumed, because of an
// entry of the delays that is missing or invalid.
BOOST_AUTO_TEST_CASE(InvalidDelaysBetweenDataCentresAreSkipped)
{
    auto modelOf = [](const std::string& delays) {
        auto text = routesText;
        text.insert(text.find("\"slots\":192"), delays);
        auto decoded = decodeRoutes(text);
        BOOST_REQUIRE(decoded.has_value());
        return *decoded.value().services.at(0).model;
    };
    for (const char* odd : { "", "\"delays\":null,", "\"delays\":7,", "\"delays\":[],", "\"delays\":[1,null,[],{}]," })
        BOOST_TEST(modelOf(odd).dataCentreDelays.empty());
    auto model = modelOf(R"("pipe_mbps":900,"delays":[{"from":"a","target":"b","delay_ms":4.5},{"from":"b","target":"a","delay_ms":6},{"from":"a","target":"b","delay_ms":9},
{"from":"b","target":"c","delay_ms":0},{"from":"c","target":"c","delay_ms":1},{"from":"c","target":"d","delay_ms":-1},{"from":"c","target":"e","delay_ms":1e300},
{"from":"c","target":"f","delay_ms":"7"},{"from":"c","delay_ms":7},{"from":"","target":"c","delay_ms":7},{"from":"c","target":"g"}],)");
    BOOST_TEST(model.crossDataCentreMegabitsPerSecond == 900);
    BOOST_TEST(model.dataCentreDelays.size() == 3U);
    BOOST_TEST(model.delayBetween("a", "b")->count() == 4.5);
    BOOST_TEST(model.delayBetween("b", "a")->count() == 6);
    BOOST_TEST(model.delayBetween("c", "b")->count() == 0);
    BOOST_TEST(model.delayBetween("c", "c")->count() == 0);
    for (const char* target : { "a", "d", "e", "f", "g", "" })
        BOOST_TEST(!model.delayBetween("c", target).has_value());
    BOOST_TEST(model.hasDelays("c"));
    BOOST_TEST(!model.hasDelays("d"));
}

// Guards against a VM that takes more memory or descriptors than its machine has, and against
// one that does not start because the platform does not state them.
BOOST_AUTO_TEST_CASE(ReadsTheLimitsOfTheMachine)
{
    const std::string path = "machine-limits.json";
    auto read = [&](const std::string& limits) {
        std::ofstream(path) << R"({"node_name":"n","ip":"10.1.0.4","zone":"z","internal_ports":[7340],"seeds":[],"limits":{)" + limits + "}}";
        return readNodeSettings(path);
    };
    BOOST_TEST(read(R"("memory_mb":112.5,"max_fds":2870)").value().memoryMegabytes.value() == 112.5);
    BOOST_TEST(read(R"("memory_mb":112.5,"max_fds":2870)").value().maxDescriptors.value() == 2870);
    BOOST_TEST(!read("").value().memoryMegabytes.has_value());
    BOOST_TEST(!read(R"("max_fds":null)").value().maxDescriptors.has_value());
    BOOST_TEST(read(R"("memory_mb":0)").has_error());
    BOOST_TEST(read(R"("max_fds":-1)").has_error());
    std::remove(path.c_str());
}

// Guards against storing a configuration of which a part cannot be decoded.
BOOST_AUTO_TEST_CASE(RejectsUndecodableRoutes)
{
    for (std::size_t length = 0; length < routesText.size(); length += 7)
        BOOST_TEST(decodeRoutes(routesText.substr(0, length)).has_error());
    auto isRejectedWith = [](const std::string& from, const std::string& to) {
        auto text = routesText;
        text.replace(text.find(from), from.size(), to);
        return decodeRoutes(text).has_error();
    };
    BOOST_TEST(isRejectedWith("\"version\":7", "\"version\":\"7\""));
    BOOST_TEST(isRejectedWith("\"streaming\"", "\"sometimes\""));
    BOOST_TEST(isRejectedWith("\"timeout_ms\":20000", "\"timeout_ms\":null"));
    BOOST_TEST(isRejectedWith("[\"k\"]", "[1]"));
}

// Guards against an incomplete or foreign heartbeat that registers an upstream.
BOOST_AUTO_TEST_CASE(RejectsIncompleteHeartbeats)
{
    const std::string heartbeat = R"({"service":"s1","address":"10.128.0.9:8080","zone":"caxias","version":"v1","slots":192,"state":"draining","seq":4,"born":1700000000000,"route_type":"l4","layers":{"from":3,"target":9,"version":1}})";
    auto upstream = decodeHeartbeat("i-1", heartbeat);
    BOOST_REQUIRE(upstream.has_value());
    BOOST_TEST(upstream.value().endpoint().text() == "10.128.0.9:8080");
    BOOST_TEST((upstream.value().state == fleet::UpstreamState::Draining));
    BOOST_TEST((upstream.value().layers == fleet::LayerRange { 3, 9 }));
    for (const std::string field : { "\"service\":\"s1\",", "\"born\":1700000000000,", "\"seq\":4,", "\"zone\":\"caxias\"," }) {
        auto text = heartbeat;
        text.erase(text.find(field), field.size());
        BOOST_TEST(decodeHeartbeat("i-1", text).has_error());
    }
    auto text = heartbeat;
    text.replace(text.find("draining"), 8, "sleeping");
    BOOST_TEST(decodeHeartbeat("i-1", text).has_error());
    BOOST_TEST(decodeHeartbeat("i-1", "\x80\xff").has_error());
    BOOST_TEST(decodeDeregistration("{\"born\":5}").value() == 5);
    BOOST_TEST(decodeDeregistration("").value() == 0);
}

// Guards against forwarding a caller's API key to an upstream, and against encoding the
// layer path in a format that engines do not understand.
BOOST_AUTO_TEST_CASE(TranslatesPlatformHeaderFields)
{
    PlatformHeaderCodec headerCodec;
    BOOST_TEST(headerCodec.isManagedField("authorization"));
    BOOST_TEST(headerCodec.isManagedField("X-Tenant"));
    BOOST_TEST(!headerCodec.isManagedField("X-Request-Id"));
    forwarding::UpstreamCall call;
    call.remainingTime = std::chrono::milliseconds(900);
    call.expectedUpstream = "i-1";
    call.team = "t";
    call.path = { { "i-1", net::Endpoint::Make("10.1.64.9:8080").value(), { 0, 20 }, nullptr }, { "i-2", net::Endpoint::Make("10.2.64.3:8080").value(), { 20, 80 }, nullptr } };
    std::string head;
    headerCodec.appendCallFields(head, call);
    BOOST_TEST(head == "X-Deadline-Ms: 900\r\nX-Expect-Instance: i-1\r\nX-Tenant: t\r\nX-Hop-Count: 10.1.64.9:8080=0-20,10.2.64.3:8080=20-80\r\n");
    call.priority = 12;
    head.clear();
    headerCodec.appendCallFields(head, call);
    BOOST_TEST(head.find("X-Request-Priority: 9\r\n") != std::string::npos);

    http1::RequestHead request;
    request.fields.add("Authorization", "Bearer k1");
    request.fields.add("X-Token-Count", "1460,591");
    request.fields.add("X-Length-Hint", "80");
    request.fields.add("X-Deadline-Ms", "20000");
    request.fields.add("X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
    auto metadata = headerCodec.readRequest(request);
    BOOST_TEST(metadata.sharedPromptParts == (std::vector<std::string> { "5c1e07a2", "91bd3f06" }), boost::test_tools::per_element());
    BOOST_TEST(metadata.apiKey.value() == "k1");
    BOOST_TEST(metadata.size->prompt == 1460);
    BOOST_TEST(metadata.size->answer == 80);
    BOOST_TEST((metadata.callerTimeout.value() == std::chrono::seconds(20)));
}

BOOST_AUTO_TEST_CASE(ReadsOnlyUsableRequestLimits)
{
    PlatformHeaderCodec headerCodec;
    auto limitOf = [&headerCodec](const std::string& value) {
        http1::ResponseHead response;
        response.fields.add("Server-Limit", value);
        return headerCodec.readResponse(response).requestsPerSecond;
    };
    BOOST_TEST(limitOf("2.4").value() == 2.4);
    BOOST_TEST(limitOf("0").value() == 0);
    for (const char* value : { "", "none", "-1", "nan", "inf" })
        BOOST_TEST(!limitOf(value).has_value());
    BOOST_TEST(!headerCodec.readResponse({}).requestsPerSecond.has_value());
}

// Guards against a process that starts with unusable settings.
BOOST_AUTO_TEST_CASE(RejectsInvalidSettings)
{
    const std::string path = "platform-settings-test.json";
    auto read = [&path](const std::string& text) {
        std::ofstream(path) << text;
        return readNodeSettings(path);
    };
    const std::string text = R"({"node_name":"core-1","ip":"10.1.0.43","zone":"catania","internal_ports":[7340,7355],"seeds":["10.1.0.43:8229"],
"bootstrap":true,"data_dir":"/data","listen":{"control":"10.1.0.43:8229"},"fault_tolerance":{"machines":2},"bounds":{"grace_s":8,"budget_slack":198}})";
    auto settings = read(text);
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings.value().internalPort == 7340);
    BOOST_TEST(settings.value().toleratedFailures == 2);
    BOOST_TEST((settings.value().stopGrace == std::chrono::seconds(8)));
    BOOST_TEST(settings.value().controlEndpoint->text() == "10.1.0.43:8229");
    auto invalidText = text;
    invalidText.replace(invalidText.find("10.1.0.43"), 9, "somewhere");
    BOOST_TEST(read(invalidText).has_error());
    BOOST_TEST(read("{").has_error());
    std::remove(path.c_str());
    BOOST_TEST(readNodeSettings(path).has_error());
}

// Guards against names of other parts of a configuration that count as services.
BOOST_AUTO_TEST_CASE(ServiceNamesAreReadWithoutTheRest)
{
    const node::PlatformCodec& codec = JsonPlatformCodec();
    const std::string document = R"({"version":7,"routes":[{"name":"r","services":[{"name":"no"}],"service":"a"}],"services":[{"engine":{"models":[{"name":"m"}],"name":"e"},"name":"a"},{"name":"b"}],"tenants":[{"name":"t"}]})";
    BOOST_TEST((codec.serviceNames(document).value() == std::set<std::string> { "a", "b" }));
    BOOST_TEST(codec.serviceNames(R"({"services":[]})").value().empty());
    BOOST_TEST(codec.serviceNames(document.substr(0, 60)).has_error());
    BOOST_TEST(codec.serviceNames(std::string(100'000, '[')).has_error());
}
