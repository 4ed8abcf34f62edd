#include "include/http1/ServerConnection.h"
#include "tests/PlatformProcess.h"

#include <fmt/format.h>

#include <thread>

using namespace arbutus;

static constexpr std::size_t memoryMegabytes = 64;
// Enough for every crowd whose bytes are limited.
static constexpr std::size_t manyDescriptors = 512;
static constexpr std::size_t fewDescriptors = 128;
static constexpr std::size_t bodyBytes = std::size_t { 1 } << 20;
static constexpr std::size_t endlessBytes = 8 * bodyBytes;
static constexpr std::size_t answerBytes = 200'000;
static constexpr int crowdSize = 96;
// Larger than the whole memory with `endlessBytes` each.
static constexpr int endlessCrowdSize = 24;
static constexpr int connectionCrowdSize = 200;
static constexpr int pipelinedRequests = 64;
static constexpr std::size_t unlimitedPiece = std::size_t { 1 } << 20;
static constexpr std::size_t smallPiece = std::size_t { 16 } << 10;
static constexpr int maxTries = 10;
// The control VM may have no leader yet, and the entry VM no configuration.
static constexpr int maxTriesAtStart = 100;
// Below the idle timeout of a control VM, which ends the crowd's connections.
static constexpr std::chrono::seconds maxAnswerTime(10);

// Answers all requests at once, except those to /hold/, which it never answers.
class StandInUpstream final : public http1::RequestHandler {
    std::shared_ptr<http1::ActiveRequest> onRequest(const std::shared_ptr<http1::ServerConnection>& connection, http1::Request request) override
    {
        if (request.head.target == "/hold/")
            return nullptr;
        http1::Response response;
        response.fields.add("X-Request-Id", *request.head.fields.find("X-Request-Id"));
        response.fields.add("X-Response-Signature", "signed");
        response.body.assign(request.head.target == "/big/" ? answerBytes : 1, 'x');
        connection->send(response);
        return nullptr;
    }
};

// A control VM, an entry VM and an upstream, on loopback addresses of this process's own.
class Platform {
public:
    // Without `statesLimits`, the process itself is limited to `maxDescriptors`, and its
    // settings say nothing about it.
    explicit Platform(const std::string& role, std::size_t maxDescriptors = manyDescriptors, bool statesLimits = true)
        : isEntry_(role == "entry")
        , maxDescriptors_(maxDescriptors)
        , statesLimits_(statesLimits)
    {
        std::filesystem::create_directories(folder_);
        startControl();
        target_ = socketAddress(controlIp_, controlPort_);
        configure();
        if (isEntry_) {
            startEntry();
            target_ = socketAddress(entryIp_, entryPort_);
        }
        BOOST_REQUIRE(isAnswered(ordinaryRequest(), maxTriesAtStart));
    }
    ~Platform()
    {
        entry_.reset();
        control_.reset();
        std::filesystem::remove_all(folder_);
    }

    // Starts callers that stay connected.
    void addCrowd(int count, std::string message, std::size_t pieceBytes = unlimitedPiece, bool reads = true)
    {
        auto shared = std::make_shared<const std::string>(std::move(message));
        for (int i = 0; i < count; ++i)
            crowd_.push_back(std::make_unique<RawCaller>(target_, shared, pieceBytes, reads));
    }

    // Checks what must hold however the crowd is treated.
    void check()
    {
        pumpUntilQuiet();
        auto& process = isEntry_ ? *entry_ : *control_;
        BOOST_TEST(process.isAlive());
        BOOST_TEST(isAnswered(ordinaryRequest(), maxTries));
        BOOST_TEST_REQUIRE(process.isAlive());
        BOOST_TEST_MESSAGE("peak " << process.peakKilobytes() << " kB, descriptors " << process.descriptorCount());
        BOOST_TEST(process.peakKilobytes() < memoryMegabytes * 1024);
        BOOST_TEST(process.descriptorCount() < maxDescriptors_);
    }

    std::string head(const std::string& path, const std::string& fields) const
    {
        return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n{}\r\n", isEntry_ ? path : "/arbutusshunt/Config.Replace", fields);
    }
    std::string largeRead() const { return fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n", isEntry_ ? "/big/" : "/arbutusshunt/Config.Get"); }

private:
    std::unique_ptr<PlatformProcess> start(const std::string& role, const std::string& ip, const std::string& listen)
    {
        auto path = folder_ + "/" + role;
        auto limits = statesLimits_ ? fmt::format(R"("memory_mb":{},"max_fds":{},)", memoryMegabytes, maxDescriptors_) : "";
        std::ofstream(path + ".json") << fmt::format(R"({{"node_name":"{0}","ip":"{1}","zone":"z","internal_ports":[{2}],"seeds":["{3}:{4}"],"bootstrap":true,"data_dir":"{5}/data","heartbeat_ms":60000,"fault_tolerance":{{"machines":0}},"limits":{{{6}"link_mbps":1000}},"listen":{{{7}}}}})",
            role, ip, internalPort_, controlIp_, controlPort_, folder_, limits, listen);
        return std::make_unique<PlatformProcess>(role, path + ".json", path + ".log", statesLimits_ ? 0 : maxDescriptors_);
    }
    void startControl()
    {
        std::filesystem::create_directories(folder_ + "/data");
        control_ = start("control", controlIp_, fmt::format(R"("control":"{}:{}")", controlIp_, controlPort_));
    }
    void startEntry()
    {
        entry_ = start("entry", entryIp_, fmt::format(R"("front":"{0}:{1}","readiness":"{0}:{2}")", entryIp_, entryPort_, readinessPort_));
    }
    void configure()
    {
        upstream_ = http1::Server::Make(context_, { boost::asio::ip::make_address_v4(upstreamIp_), upstreamPort_ }, upstreamHandler_).value();
        auto document = fmt::format(R"({{"version":1,"routes":[{{"name":"r","host":"h","path_prefix":"/","route_type":"unsafe","timeout_ms":30000,"target_latency_ms":500,"service":"s","max_attempts":1,"public":true}}],"services":[{{"name":"s"}}],"limits":{{"max_body_bytes":{},"header_timeout_ms":60000,"idle_timeout_ms":60000}},"padding":"{}"}})", bodyBytes, std::string(answerBytes, 'x'));
        BOOST_REQUIRE(isAnswered(post("Config.Replace", document), maxTriesAtStart));
        auto heartbeat = fmt::format(R"({{"service":"s","address":"{}:{}","zone":"z","slots":1000,"state":"ready","seq":1,"born":1700000000000}})", upstreamIp_, upstreamPort_);
        BOOST_REQUIRE(isAnswered(post("Instances.Heartbeat/u", heartbeat), maxTriesAtStart));
    }
    static std::string post(const std::string& operation, const std::string& body) { return fmt::format("POST /arbutusshunt/{} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}", operation, body.size(), body); }

    std::string ordinaryRequest() const { return fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nX-Request-Id: o\r\nConnection: close\r\n\r\n", isEntry_ ? "/" : "/arbutusshunt/Config.Get"); }
    // Sends a request until it is answered with 200, as an ordinary caller does: again after
    // a 503 or a close.
    bool isAnswered(const std::string& request, int tries)
    {
        for (int i = 0; i < tries; ++i) {
            RawCaller caller(target_, std::make_shared<const std::string>(request), unlimitedPiece, true);
            auto end = std::chrono::steady_clock::now() + maxAnswerTime;
            while (!caller.hasEnded() && caller.received().find("\r\n\r\n") == std::string::npos && std::chrono::steady_clock::now() < end)
                pump(&caller);
            if (caller.received().rfind("HTTP/1.1 200 ", 0) == 0)
                return true;
            bool mayRetry = caller.hasEnded() || caller.received().rfind("HTTP/1.1 503 ", 0) == 0;
            if (!mayRetry)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        return false;
    }

    // Returns whether any byte moved.
    bool pump(RawCaller* extra = nullptr)
    {
        bool hasMoved = context_.poll() > 0;
        std::vector<RawCaller*> callers;
        for (const auto& caller : crowd_)
            callers.push_back(caller.get());
        if (extra)
            callers.push_back(extra);
        std::vector<pollfd> polls;
        polls.reserve(callers.size());
        for (const auto* caller : callers)
            polls.push_back(caller->interest());
        ::poll(polls.data(), polls.size(), 5);
        for (std::size_t i = 0; i < polls.size(); ++i)
            hasMoved = callers[i]->handle(polls[i].revents) || hasMoved;
        return hasMoved;
    }
    void pumpUntilQuiet()
    {
        auto start = std::chrono::steady_clock::now();
        auto lastMove = start;
        while (std::chrono::steady_clock::now() < std::min(lastMove + std::chrono::seconds(1), start + std::chrono::seconds(40))) {
            if (pump())
                lastMove = std::chrono::steady_clock::now();
        }
    }

    static std::string ownIp(int last) { return fmt::format("127.{}.{}.{}", 64 + (::getpid() >> 8) % 128, ::getpid() & 0xff, last); }

    const bool isEntry_;
    const std::size_t maxDescriptors_;
    const bool statesLimits_;
    const std::string folder_ = (std::filesystem::temp_directory_path() / fmt::format("caller-memory-{}", ::getpid())).string();
    const std::string controlIp_ = ownIp(1);
    const std::string entryIp_ = ownIp(2);
    const std::string upstreamIp_ = ownIp(3);
    // Below the ports that the kernel gives to outgoing connections: a port that it had named
    // as free was in use when the control VM started.
    const std::uint16_t controlPort_ = 8229;
    const std::uint16_t internalPort_ = 7340;
    const std::uint16_t entryPort_ = 8227;
    const std::uint16_t readinessPort_ = 8220;
    const std::uint16_t upstreamPort_ = 8080;
    boost::asio::io_context context_ { 1 };
    StandInUpstream upstreamHandler_;
    std::unique_ptr<http1::Server> upstream_;
    std::unique_ptr<PlatformProcess> control_;
    std::unique_ptr<PlatformProcess> entry_;
    sockaddr_in target_ {};
    std::vector<std::unique_ptr<RawCaller>> crowd_;
};

static const std::string chunkedField = "Transfer-Encoding: chunked\r\n";
static std::string lengthField() { return fmt::format("Content-Length: {}\r\n", bodyBytes); }

// Returns a body of `bodyBytes` in chunks, without its last chunk.
static std::string chunks(std::size_t chunkBytes)
{
    auto chunk = http1::chunkHeader(chunkBytes) + std::string(chunkBytes, 'x') + "\r\n";
    std::string result;
    for (std::size_t i = 0; i < bodyBytes; i += chunkBytes)
        result += chunk;
    return result;
}

static void sendEndlessTrailers(const std::string& role)
{
    Platform platform(role);
    std::string trailers = platform.head("/", chunkedField) + "0\r\n";
    while (trailers.size() < endlessBytes)
        trailers += "a: b\r\n";
    platform.addCrowd(endlessCrowdSize, trailers);
    platform.check();
}

static void sendEndlessChunkExtension(const std::string& role)
{
    Platform platform(role);
    platform.addCrowd(endlessCrowdSize, platform.head("/", chunkedField) + "1;" + std::string(endlessBytes, 'x'));
    platform.check();
}

static void sendWholeBodies(const std::string& role)
{
    Platform platform(role);
    platform.addCrowd(crowdSize, platform.head("/hold/", lengthField()) + std::string(bodyBytes, 'x'));
    platform.check();
}

static void sendUnfinishedBodies(const std::string& role, std::size_t pieceBytes)
{
    Platform platform(role);
    platform.addCrowd(crowdSize, platform.head("/", lengthField()) + std::string(bodyBytes - 1, 'x'), pieceBytes);
    platform.check();
}

static void sendUnfinishedChunks(const std::string& role, std::size_t chunkBytes)
{
    Platform platform(role);
    platform.addCrowd(crowdSize, platform.head("/", chunkedField) + chunks(chunkBytes));
    platform.check();
}

static void leaveAnswersUnread(const std::string& role, int callers)
{
    Platform platform(role);
    std::string requests;
    for (int i = 0; i < pipelinedRequests; ++i)
        requests += platform.largeRead();
    platform.addCrowd(callers, requests, unlimitedPiece, false);
    platform.check();
}

static void openConnections(const std::string& role, bool statesLimits)
{
    Platform platform(role, fewDescriptors, statesLimits);
    platform.addCrowd(connectionCrowdSize / 2, "");
    platform.addCrowd(connectionCrowdSize / 2, role == "entry" ? "GET / HT" : "");
    platform.check();
}

static constexpr std::size_t largeChunk = std::size_t { 256 } << 10;
static constexpr std::size_t smallChunk = 8;

BOOST_AUTO_TEST_CASE(EndlessTrailersFillEntry) { sendEndlessTrailers("entry"); }
BOOST_AUTO_TEST_CASE(EndlessChunkExtensionsFillEntry) { sendEndlessChunkExtension("entry"); }
BOOST_AUTO_TEST_CASE(WholeBodiesFillEntry) { sendWholeBodies("entry"); }
BOOST_AUTO_TEST_CASE(UnfinishedBodiesFillEntry) { sendUnfinishedBodies("entry", unlimitedPiece); }
BOOST_AUTO_TEST_CASE(BodiesInPiecesFillEntry) { sendUnfinishedBodies("entry", smallPiece); }
BOOST_AUTO_TEST_CASE(LargeChunksFillEntry) { sendUnfinishedChunks("entry", largeChunk); }
BOOST_AUTO_TEST_CASE(SmallChunksFillEntry) { sendUnfinishedChunks("entry", smallChunk); }
BOOST_AUTO_TEST_CASE(UnreadAnswersFillEntry) { leaveAnswersUnread("entry", 2 * crowdSize); }
BOOST_AUTO_TEST_CASE(ConnectionsExhaustEntryDescriptors) { openConnections("entry", true); }
BOOST_AUTO_TEST_CASE(ConnectionsReachEntryProcessLimit) { openConnections("entry", false); }

BOOST_AUTO_TEST_CASE(EndlessTrailersFillControl) { sendEndlessTrailers("control"); }
BOOST_AUTO_TEST_CASE(EndlessChunkExtensionsFillControl) { sendEndlessChunkExtension("control"); }
BOOST_AUTO_TEST_CASE(UnfinishedBodiesFillControl) { sendUnfinishedBodies("control", unlimitedPiece); }
BOOST_AUTO_TEST_CASE(BodiesInPiecesFillControl) { sendUnfinishedBodies("control", smallPiece); }
BOOST_AUTO_TEST_CASE(LargeChunksFillControl) { sendUnfinishedChunks("control", largeChunk); }
BOOST_AUTO_TEST_CASE(SmallChunksFillControl) { sendUnfinishedChunks("control", smallChunk); }
BOOST_AUTO_TEST_CASE(UnreadAnswersFillControl) { leaveAnswersUnread("control", endlessCrowdSize); }
BOOST_AUTO_TEST_CASE(ConnectionsExhaustControlDescriptors) { openConnections("control", true); }
BOOST_AUTO_TEST_CASE(ConnectionsReachControlProcessLimit) { openConnections("control", false); }

// Guards against a configuration of legal size whose decoded form fills the memory.
BOOST_AUTO_TEST_CASE(ManySmallJsonValuesFillControl)
{
    Platform platform("control");
    std::string body = R"({"routes":[0)";
    while (body.size() < 3 * bodyBytes)
        body += ",0";
    body += "]}";
    platform.addCrowd(4, platform.head("", fmt::format("Content-Length: {}\r\n", body.size())) + body);
    platform.check();
}
