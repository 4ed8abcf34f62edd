#include "tests/ProductProcess.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>

using namespace arbutus;

// Small crowds of callers that make a process hold much memory through its HTTP
// interface. Guards against a process that grows until its machine runs out of memory.

// An entry VM of the smallest machine has 112 MB.
static constexpr std::size_t maxPeakKilobytes = 100 << 10;
static constexpr std::size_t maxDescriptors = 200;
static constexpr std::size_t callerCount = 96;
// Legal: model requests and service calls may have bodies of up to 1 MiB.
static constexpr std::size_t bodyBytes = 1'000'000;
static constexpr std::size_t trailerBytes = std::size_t { 2 } << 20;
static constexpr std::size_t pieceBytes = std::size_t { 64 } << 10;

namespace {

struct Target {
    test::ProductProcess (*start)();
    const char* path;
    // Header lines with the credentials; may be empty.
    const char* credentials;
};

enum class Ending {
    Complete,
    OneByteShort,
};

} // namespace

static const Target entryCaller { &test::startEntry, "/v1/completions", "Authorization: Bearer team-token\r\n" };
static const Target entryStranger { &test::startEntry, "/v1/completions", "" };
static const Target entryAdministration { &test::startEntry, "/admin/v1/state/order", "Authorization: Bearer operator-token\r\n" };
static const Target entryAnnouncement { &test::startEntry, "/v1/announce", "" };
static const Target stateStranger { &test::startState, "/rpc", "" };

static std::string headOf(const Target& target, const std::string& framing)
{
    return std::string("POST ") + target.path + " HTTP/1.1\r\nHost: vm\r\nContent-Type: application/json\r\n" + target.credentials + framing + "\r\n\r\n";
}

static std::string bodyText()
{
    std::string body = R"({"model":"scriba","prompt":")";
    body.resize(bodyBytes - 2, 'x');
    return body + "\"}";
}

static std::string withLength(const Target& target, Ending ending)
{
    std::string message = headOf(target, "Content-Length: " + std::to_string(bodyBytes)) + bodyText();
    if (ending == Ending::OneByteShort)
        message.pop_back();
    return message;
}

// Stops before the last chunk.
static std::string unfinishedChunks(const Target& target, std::size_t chunkBytes)
{
    std::string message = headOf(target, "Transfer-Encoding: chunked");
    std::string body = bodyText();
    for (std::size_t offset = 0; offset < body.size(); offset += chunkBytes) {
        std::string chunk = body.substr(offset, chunkBytes);
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", chunk.size());
        message += size + chunk + "\r\n";
    }
    return message;
}

static std::string unfinishedTrailers(const Target& target)
{
    std::string message = headOf(target, "Transfer-Encoding: chunked") + "2\r\n{}\r\n0\r\n";
    for (std::size_t size = 0, number = 0; size < trailerBytes; size += 1024)
        message += "X-Trailer-" + std::to_string(number++) + ": " + std::string(1000, 't') + "\r\n";
    return message;
}

static void checkCrowd(const Target& target, const std::string& message, std::size_t bytesPerTurn)
{
    auto process = target.start();
    test::Crowd crowd(process.endpoint(), callerCount, message);
    crowd.send(bytesPerTurn);
    process.awaitQuietSockets();
    BOOST_TEST(process.isAlive());
    auto peak = process.peakKilobytes();
    auto descriptors = process.descriptorCount();
    BOOST_TEST_MESSAGE("peak " << peak << " kB, " << descriptors << " descriptors, " << crowd.sentBytes() << " bytes sent");
    // Under AddressSanitizer the size says little: it keeps freed blocks and its own tables.
#ifndef __SANITIZE_ADDRESS__
    BOOST_TEST(peak < maxPeakKilobytes);
#endif
    BOOST_TEST(descriptors < maxDescriptors);
    BOOST_TEST(process.get("/metrics") == 200);
}

// Defines the scenarios for one kind of caller.
#define SCENARIOS(Suite, target)                                                                                         \
    BOOST_AUTO_TEST_SUITE(Suite)                                                                                         \
    BOOST_AUTO_TEST_CASE(EndlessTrailers) { checkCrowd(target, unfinishedTrailers(target), pieceBytes); }                \
    BOOST_AUTO_TEST_CASE(WholeBodies) { checkCrowd(target, withLength(target, Ending::Complete), bodyBytes * 2); }       \
    BOOST_AUTO_TEST_CASE(UnfinishedBodies) { checkCrowd(target, withLength(target, Ending::OneByteShort), pieceBytes); } \
    BOOST_AUTO_TEST_CASE(LargeChunks) { checkCrowd(target, unfinishedChunks(target, 250'000), pieceBytes); }             \
    BOOST_AUTO_TEST_CASE(SmallChunks) { checkCrowd(target, unfinishedChunks(target, 16), pieceBytes); }                  \
    BOOST_AUTO_TEST_SUITE_END()

SCENARIOS(EntryCaller, entryCaller)
SCENARIOS(EntryStranger, entryStranger)
SCENARIOS(EntryAdministration, entryAdministration)
SCENARIOS(EntryAnnouncement, entryAnnouncement)
SCENARIOS(StateStranger, stateStranger)
