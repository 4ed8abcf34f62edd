#include "include/base/Random.h"
#include "platform/JsonPlatformCodec.h"
#include "platform/NodeSettings.h"
#include "platform/PlatformHeaderCodec.h"
#include "platform/RouteDecoder.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>

using namespace arbutus;
using namespace arbutus::platform;

static const std::string heartbeatText = R"({"service":"s1","address":"10.128.0.9:8080","zone":"caxias","version":"v1","slots":192,"state":"ready","cold_remaining_ms":0,"seq":4,"born":1700000000000,"route_type":"l4","layers":{"from":3,"target":9,"version":1}})";
static const std::string statusText = R"({"stage":"unified","busy":false,"seq":2,"queued":1,"running":12,"pace":1.5,"layers":{"from":3,"target":9,"version":1}})";
static const std::string routesText = R"({"version":7,"routes":[{"name":"r1","host":"desk","path_prefix":"/a/","route_type":"streaming","timeout_ms":20000,"target_latency_ms":500,"priority":1,"service":"s1","max_attempts":2,"public":true,"stream_resume":true}],"services":[{"name":"s1","health_check":"/h","max_connections":9,"engine":{"slots":192,"kv_token_bytes":918000,"models":[{"name":"m","load_s":14.0}],"step_ms":1.02,"stride":3,"loads_at_once":5,"read_per_s":105000.0,"layers":80,"layer_mb":1750.0,"pipe_mbps":900,"delays":[{"from":"a","target":"b","delay_ms":4.5},{"from":"b","target":"c","delay_ms":6}],"usual":{"prompt":774,"answer":203},"kinds":[{"name":"l4","mb":21600.0,"pace":16.0,"read_x":8.2}]}}],"limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,"idle_timeout_ms":400},"tenants":[{"name":"t","api_keys":["k"],"priority":1}]})";
static const std::string settingsText = R"({"node_name":"core-1","ip":"10.1.0.43","zone":"catania","internal_ports":[7340,7355],"seeds":["10.1.0.43:8229"],"bootstrap":true,"data_dir":"/data","heartbeat_ms":1200,"listen":{"control":"10.1.0.43:8229"},"limits":{"link_mbps":170.0,"memory_mb":160,"max_fds":4100},"fault_tolerance":{"machines":2},"bounds":{"grace_s":8,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":198}})";

static std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// A decoder, a text that it accepts and the values in it that are replaced by odd ones.
struct Format {
    const char* name;
    const std::string& text;
    bool (*accepts)(const std::string&);
    std::vector<std::string> numbers;
    std::vector<std::string> texts;
};

static bool acceptsHeartbeat(const std::string& text) { return decodeHeartbeat("i-1", text).has_value(); }
static bool acceptsStatus(const std::string& text)
{
    const node::PlatformCodec& codec = JsonPlatformCodec();
    return codec.decodeEngineStatus(text).has_value();
}
static bool acceptsRoutes(const std::string& text)
{
    auto decoded = decodeRoutes(text);
    return decoded && routes::validate(decoded.value());
}
static bool acceptsSettings(const std::string& text)
{
    const std::string path = "odd-input-settings.json";
    std::ofstream(path) << text;
    auto settings = readNodeSettings(path);
    std::remove(path.c_str());
    return settings.has_value();
}

static std::vector<Format> formats()
{
    return {
        { "heartbeat", heartbeatText, acceptsHeartbeat, { "\"slots\":192", "\"seq\":4", "\"born\":1700000000000", "\"from\":3", "\"target\":9" }, { "\"service\":\"s1\"", "\"address\":\"10.128.0.9:8080\"", "\"zone\":\"caxias\"", "\"state\":\"ready\"" } },
        { "status", statusText, acceptsStatus, { "\"pace\":1.5", "\"from\":3", "\"target\":9" }, {} },
        { "routes", routesText, acceptsRoutes, { "\"version\":7", "\"timeout_ms\":20000", "\"target_latency_ms\":500", "\"priority\":1", "\"max_attempts\":2", "\"max_connections\":9", "\"stride\":3", "\"loads_at_once\":5", "\"layers\":80", "\"load_s\":14.0", "\"prompt\":774", "\"mb\":21600.0", "\"max_header_bytes\":100", "\"max_body_bytes\":200", "\"header_timeout_ms\":300", "\"idle_timeout_ms\":400" }, { "\"name\":\"r1\"", "\"host\":\"desk\"", "\"path_prefix\":\"/a/\"", "\"route_type\":\"streaming\"", "\"service\":\"s1\"" } },
        { "settings", settingsText, acceptsSettings, { "\"heartbeat_ms\":1200", "\"link_mbps\":170.0", "\"memory_mb\":160", "\"max_fds\":4100", "\"machines\":2", "\"grace_s\":8", "\"retry_budget_ratio\":0.2", "\"budget_window_s\":10", "\"budget_slack\":198" }, { "\"node_name\":\"core-1\"", "\"ip\":\"10.1.0.43\"" } },
    };
}

// Returns the text with the value of `member`, such as "\"seq\":4", replaced.
static std::string withValue(const Format& format, const std::string& member, const std::string& value)
{
    auto text = format.text;
    auto at = text.find(member);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, format.name << " lacks " << member);
    return text.replace(at, member.size(), member.substr(0, member.find(':') + 1) + value);
}

BOOST_AUTO_TEST_CASE(UnchangedTextsAreAccepted)
{
    for (const auto& format : formats())
        BOOST_TEST(format.accepts(format.text), format.name);
}

// Guards against a stack overflow that ends every process which reads the entry.
BOOST_AUTO_TEST_CASE(DeepNestingIsRejected)
{
    for (const auto& format : formats()) {
        for (std::size_t depth : { 33, 1'000, 500'000, 2'000'000 }) {
            BOOST_TEST(!format.accepts(nested(depth)), format.name);
            BOOST_TEST(!format.accepts(std::string(depth, '[')), format.name);
            BOOST_TEST(!format.accepts("{\"extra\":" + nested(depth) + "," + format.text.substr(1)), format.name);
        }
        // Brackets inside strings are not nesting.
        BOOST_TEST(format.accepts("{\"extra\":\"" + std::string(100, '[') + "\\\"" + std::string(100, '{') + "\"," + format.text.substr(1)), format.name);
    }
}

// Guards against numbers that wrap around, overflow a time point or are not numbers.
BOOST_AUTO_TEST_CASE(OddNumbersAreRejected)
{
    for (const auto& format : formats()) {
        for (const auto& member : format.numbers) {
            for (const char* value : { "\"4\"", "[]", "{}", "true", "1e400", "-1e400", "NaN", "Infinity", "-", "0x10" })
                BOOST_TEST(!format.accepts(withValue(format, member, value)), format.name << " " << member << " " << value);
        }
    }
    const auto all = formats();
    for (const char* member : { "\"slots\":192", "\"seq\":4", "\"born\":1700000000000", "\"from\":3", "\"target\":9" }) {
        for (const char* value : { "-1", "1.5", "1e3", "18446744073709551615", "18446744073709551616", "9223372036854775808", "99999999999999999999999" })
            BOOST_TEST(!acceptsHeartbeat(withValue(all[0], member, value)), member << " " << value);
    }
    BOOST_TEST(!acceptsHeartbeat(withValue(all[0], "\"target\":9", "2")));
    BOOST_TEST(!acceptsHeartbeat(withValue(all[0], "\"target\":9", "4294967297")));
    for (const char* member : { "\"timeout_ms\":20000", "\"load_s\":14.0", "\"header_timeout_ms\":300", "\"idle_timeout_ms\":400", "\"target_latency_ms\":500" }) {
        for (const char* value : { "-1", "1e18", "1e300", "9223372036854775807" })
            BOOST_TEST(!acceptsRoutes(withValue(all[2], member, value)), member << " " << value);
    }
    for (const char* member : { "\"priority\":1", "\"max_attempts\":2", "\"stride\":3", "\"layers\":80", "\"max_header_bytes\":100" }) {
        for (const char* value : { "4294967297", "9223372036854775808", "1.5" })
            BOOST_TEST(!acceptsRoutes(withValue(all[2], member, value)), member << " " << value);
    }
    // A priority may be negative, as large as an int, or missing; null counts as missing.
    for (const char* value : { "-1", "-2147483648", "2147483647", "0", "null" })
        BOOST_TEST(acceptsRoutes(withValue(all[2], "\"priority\":1", value)), value);
    for (const char* value : { "\"1\"", "[]", "{}", "true", "-2147483649" })
        BOOST_TEST(!acceptsRoutes(withValue(all[2], "\"priority\":1", value)), value);
    auto without = routesText;
    without.erase(without.find("\"priority\":1,"), std::string("\"priority\":1,").size());
    BOOST_TEST(acceptsRoutes(without));
    for (const char* member : { "\"grace_s\":8", "\"budget_window_s\":10", "\"heartbeat_ms\":1200", "\"machines\":2" }) {
        for (const char* value : { "-1", "1e300", "9223372036854775807" })
            BOOST_TEST(!acceptsSettings(withValue(all[3], member, value)), member << " " << value);
    }
}

BOOST_AUTO_TEST_CASE(OddTextsAreRejected)
{
    for (const auto& format : formats()) {
        for (const auto& member : format.texts) {
            for (const char* value : { "1", "null", "[]", "{}", "\"\xff\xfe\"", "\"\xc0\x80\"", "\"\xed\xa0\x80\"" })
                BOOST_TEST(!format.accepts(withValue(format, member, value)), format.name << " " << member << " " << value);
        }
    }
    // A listening address may be missing, but not odd.
    for (const char* value : { "1", "[]", "\"10.1.0.43:0x1\"", "\"10.1.0.43:65536\"", "\"10.1.0.43:-1\"", "\"\xff\"" })
        BOOST_TEST(!acceptsSettings(withValue(formats()[3], "\"control\":\"10.1.0.43:8229\"", value)), value);
    const auto heartbeat = formats()[0];
    for (const char* member : { "\"service\":\"s1\"", "\"zone\":\"caxias\"", "\"state\":\"ready\"", "\"address\":\"10.128.0.9:8080\"" })
        BOOST_TEST(!acceptsHeartbeat(withValue(heartbeat, member, "\"" + std::string(3'000'000, 'x') + "\"")), member);
    for (const auto& id : { std::string(), std::string(257, 'i'), std::string("i\r\nX-Tenant: t"), std::string("i\xff") })
        BOOST_TEST(decodeHeartbeat(id, heartbeatText).has_error());
}

// Guards against connections to a port or an address that no upstream can have.
BOOST_AUTO_TEST_CASE(OddAddressesAreRejected)
{
    const auto heartbeat = formats()[0];
    for (const char* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:+80", "10.0.0.1: 80", "10.0.0.1:80x", "10.0.0.1:", "10.0.0.1", ":80", "", "10.0.0:80", "10.0.0.256:80", "10.0.0.1.1:80", "host:80", "[::1]:80", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "10.0.0.1:99999999999999999999" })
        BOOST_TEST(!acceptsHeartbeat(withValue(heartbeat, "\"address\":\"10.128.0.9:8080\"", "\"" + std::string(address) + "\"")), address);
}

BOOST_AUTO_TEST_CASE(FieldsThatOccurTwiceAreRejected)
{
    for (const auto& format : formats()) {
        BOOST_TEST(!format.accepts("{\"zzz\":1,\"zzz\":2," + format.text.substr(1)), format.name);
    }
}

BOOST_AUTO_TEST_CASE(TruncatedTextsAreRejected)
{
    for (const auto& format : formats()) {
        for (std::size_t length = 0; length < format.text.size(); ++length)
            BOOST_TEST(!format.accepts(format.text.substr(0, length)), format.name << " " << length);
    }
}

// Guards against an upstream that is removed by a report which cannot be read.
BOOST_AUTO_TEST_CASE(UnreadableDeregistrationIsRejected)
{
    BOOST_TEST(decodeDeregistration("").value() == 0);
    BOOST_TEST(decodeDeregistration("{}").value() == 0);
    BOOST_TEST(decodeDeregistration("{\"born\":5}").value() == 5);
    for (const auto& body : { std::string("{"), std::string("\x80\xff"), std::string("[]"), std::string("{\"born\":\"5\"}"), std::string("{\"born\":-1}"), std::string("{\"born\":1.5}"), std::string("{\"born\":1e300}"), nested(500'000) })
        BOOST_TEST(decodeDeregistration(body).has_error());
}

// Guards against undefined conversions, which differ between processors.
BOOST_AUTO_TEST_CASE(OddHeaderFieldsAreIgnored)
{
    const PlatformHeaderCodec codec;
    auto requestWith = [&codec](const char* name, const char* value) {
        http1::RequestHead head;
        head.fields.add(name, value);
        return static_cast<const forwarding::HeaderCodec&>(codec).readRequest(head);
    };
    for (const char* value : { "nan", "inf", "-inf", "", "soon", "1e999" })
        BOOST_TEST(!requestWith("X-Deadline-Ms", value).callerTimeout.has_value(), value);
    BOOST_TEST((requestWith("X-Deadline-Ms", "1e18").callerTimeout.value() > std::chrono::hours(1)));
    BOOST_TEST((requestWith("X-Deadline-Ms", "1e18").callerTimeout.value() <= std::chrono::hours(24 * 366)));
    BOOST_TEST((requestWith("X-Deadline-Ms", "-5").callerTimeout.value() == std::chrono::milliseconds(0)));
    for (const char* value : { "nan,5", "5,nan", "inf,5", "-1,5", "5,-1", "1e300,5", "5,1e300", "5", "," })
        BOOST_TEST(!requestWith("X-Token-Count", value).size.has_value(), value);
    http1::ResponseHead response;
    response.fields.add("Keep-Alive", "timeout=1e300");
    const auto keepAlive = static_cast<const forwarding::HeaderCodec&>(codec).readResponse(response).keepAlive;
    BOOST_TEST((!keepAlive || (*keepAlive >= std::chrono::seconds(0) && *keepAlive <= std::chrono::hours(24))));
}

// Changes a few bytes of valid texts at random. A decoder may accept or reject the result,
// but what it accepts must be within its documented bounds.
BOOST_AUTO_TEST_CASE(MutatedTextsKeepTheBounds)
{
    constexpr std::uint64_t seed = 20261205;
    const char* const rounds = std::getenv("ARBUTUS_FUZZ_ROUNDS");
    const std::size_t roundCount = rounds ? std::strtoull(rounds, nullptr, 10) : 4'000;
    static constexpr std::string_view alphabet = "{}[]\",:0123456789eE+-.\\ntrufalsx\x01\x80\xff";
    base::Random random(seed);
    auto below = [&random](std::size_t bound) { return static_cast<std::size_t>(random.below(bound)); };
    for (std::size_t round = 0; round < roundCount; ++round) {
        for (const auto& format : formats()) {
            auto text = format.text;
            for (std::size_t edits = 1 + below(4); edits > 0; --edits) {
                auto at = below(text.size());
                auto length = std::min(text.size() - at, below(6));
                text.replace(at, length, below(3) ? std::string(1, alphabet[below(alphabet.size())]) : text.substr(below(text.size()), below(40)));
                if (text.empty())
                    text = "{";
            }
            (void)format.accepts(text);
            if (auto heartbeat = decodeHeartbeat("i-1", text)) {
                const auto& record = heartbeat.value();
                BOOST_TEST(record.port != 0);
                BOOST_TEST(record.slots >= 0);
                BOOST_TEST(record.startedAtMilliseconds >= 0);
                BOOST_TEST((record.layers.from >= 0 && record.layers.to >= record.layers.from && record.layers.to <= 10'000));
            }
        }
    }
}
