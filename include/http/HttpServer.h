#pragma once

#include "include/base/Settings.h"
#include "include/http/Metrics.h"
#include "include/http/ServerRequest.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace arbutus::http {

// PEM files with the certificate chain and private key of a listener. The server uses
// plain HTTP if both are empty.
struct TlsFiles {
    std::string certificateFile;
    std::string keyFile;
};

// Limit of the bodies that carry commands to the state. A command larger than a frame of
// 4 MiB cannot be replicated; in the text of a call it may be about twice as long.
constexpr std::size_t commandBodyBytes = std::size_t { 8 } << 20;

// What a server lets its callers consume.
struct ServerLimits {
    std::uint32_t headBytes = 16 << 10;
    std::size_t bodyBytes = std::size_t { 1 } << 20;
    // Limit of the bodies on paths that begin with `longBodyPrefix`, unless it is empty.
    std::size_t longBodyBytes = 0;
    std::string longBodyPrefix;
    // Estimated memory of all connections and their requests together.
    std::size_t heldBytes = std::size_t { 48 } << 20;
    // Zero for three quarters of the descriptors that the process may open.
    std::size_t connections = 0;
    // For each read while a request is received, for each write, and between requests.
    std::chrono::seconds timeout { 120 };
};

// Reads the settings "http-memory-mb" and "http-connections" into limits with the default
// sizes of bodies.
std::vector<base::SettingSpec> serverLimitSpecs();
base::Result<ServerLimits> readServerLimits(const base::Settings&);

// What a server has done since its start, and what it holds.
struct ServerCounters {
    std::size_t connections = 0;
    std::size_t heldBytes = 0;
    std::uint64_t refusedForMemory = 0;
    std::uint64_t closedForConnections = 0;
};

std::vector<Metric> metricsOf(const ServerCounters&);

class ServerCore;

// An HTTP or HTTPS server on one address. Reads requests completely before it calls the
// handler, on the library's thread pool. The handler may keep the request to reply later.
class HttpServer {
public:
    using Handler = std::function<void(const ServerRequest&)>;

    // Binds `address` (an IP address) and `port`. Returns InvalidSetting if the address
    // cannot be bound or a TLS file cannot be read.
    static base::Result<std::unique_ptr<HttpServer>> Make(const std::string& address, int port, const TlsFiles&, const ServerLimits&, Handler);

    ~HttpServer();

    // Begins to serve callers, who wait until then.
    void start();

    // Closes all connections and waits for the handler calls that are running.
    void close();

    // Thread-safe.
    ServerCounters counters() const;

private:
    explicit HttpServer(std::shared_ptr<ServerCore>);

    std::shared_ptr<ServerCore> core_;
    std::thread thread_;
};

} // namespace arbutus::http
