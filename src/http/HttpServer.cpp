#include "include/http/HttpServer.h"

#include "src/http/ServerCore.h"

#include <fmt/format.h>

namespace arbutus::http {

using base::ErrorKind;
using base::makeError;
using base::Result;

std::vector<base::SettingSpec> serverLimitSpecs()
{
    return {
        { "http-memory-mb", "MiB that the connections and requests of HTTP callers may hold together", "48" },
        { "http-connections", "HTTP connections; 0 for three quarters of the descriptors", "0" },
    };
}

Result<ServerLimits> readServerLimits(const base::Settings& settings)
{
    ServerLimits limits;
    BOOST_OUTCOME_TRY(mebibytes, settings.integer("http-memory-mb", 40, 1 << 20));
    BOOST_OUTCOME_TRY(connections, settings.integer("http-connections", 0, 1 << 20));
    limits.heldBytes = static_cast<std::size_t>(mebibytes) << 20;
    limits.connections = static_cast<std::size_t>(connections);
    return limits;
}

std::vector<Metric> metricsOf(const ServerCounters& counters)
{
    return {
        { "http_connections", "HTTP connections.", MetricKind::Gauge, static_cast<double>(counters.connections) },
        { "http_held_bytes", "Estimated memory of the HTTP connections and their requests.", MetricKind::Gauge, static_cast<double>(counters.heldBytes) },
        { "http_refused_for_memory_total", "Requests refused and connections closed at the limit of their memory.", MetricKind::Counter, static_cast<double>(counters.refusedForMemory) },
        { "http_closed_for_connections_total", "Connections closed at the limit of their number.", MetricKind::Counter, static_cast<double>(counters.closedForConnections) },
    };
}

HttpServer::HttpServer(std::shared_ptr<ServerCore> core)
    : core_(std::move(core))
{
}

Result<std::unique_ptr<HttpServer>> HttpServer::Make(const std::string& address, int port, const TlsFiles& tls, const ServerLimits& limits, Handler handler)
{
    auto core = std::make_shared<ServerCore>(limits, std::move(handler));
    try {
        if (!tls.certificateFile.empty() || !tls.keyFile.empty())
            core->readTlsFiles(tls);
    } catch (const std::exception& exception) {
        return makeError(ErrorKind::InvalidSetting, fmt::format("the TLS certificate or key cannot be used: {}", exception.what()));
    }
    try {
        core->listen(address, port);
    } catch (const std::exception& exception) {
        return makeError(ErrorKind::InvalidSetting, fmt::format("{}:{} cannot be bound: {}", address, port, exception.what()));
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(core)));
}

void HttpServer::start()
{
    thread_ = std::thread([core = core_] { core->run(); });
}

void HttpServer::close()
{
    if (!thread_.joinable())
        return;
    core_->stop();
    thread_.join();
}

ServerCounters HttpServer::counters() const { return core_->counters(); }

HttpServer::~HttpServer() { close(); }

} // namespace arbutus::http
