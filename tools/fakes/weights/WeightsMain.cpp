#include "include/base/Logger.h"
#include "include/base/Settings.h"
#include "include/base/StopSignal.h"
#include "tools/fakes/common/ListenerServer.h"

#include <fmt/format.h>

#include <algorithm>
#include <mutex>
#include <thread>

using namespace arbutus;
using web::http::http_request;
using web::http::status_codes;
using web::json::value;

namespace {

// A fake weight store whose downloads share one bandwidth limit. A download
// returns a short body after the time that a transfer of the configured size takes.
class WeightStore {
public:
    WeightStore(std::int64_t rate, std::int64_t size, std::vector<std::string> missing)
        : bytesPerSecond_(static_cast<double>(rate))
        , versionBytes_(static_cast<double>(size))
        , missing_(std::move(missing))
    {
    }

    void handle(http_request request)
    {
        auto parts = base::splitText(request.relative_uri().path(), '/');
        if (parts.size() == 3 && parts[1] == "fake")
            request.reply(status_codes::OK, state());
        else if (parts.size() != 4 || parts[1] != "weights" || std::find(missing_.begin(), missing_.end(), parts[2] + ":" + parts[3]) != missing_.end())
            request.reply(status_codes::NotFound);
        else
            download(request, parts[2], parts[3]);
    }

private:
    void download(http_request request, const std::string& model, const std::string& version)
    {
        startDownload();
        double remainingBytes = versionBytes_;
        while (remainingBytes > 0) {
            std::this_thread::sleep_for(updateInterval);
            std::lock_guard lock(mutex_);
            remainingBytes -= bytesPerSecond_ * std::chrono::duration<double>(updateInterval).count() / static_cast<double>(openCount_);
        }
        {
            std::lock_guard lock(mutex_);
            --openCount_;
        }
        request.reply(status_codes::OK, fmt::format("weights of {} {}", model, version));
    }

    void startDownload()
    {
        std::lock_guard lock(mutex_);
        ++downloads_;
        ++openCount_;
        peakOpenCount_ = std::max(peakOpenCount_, openCount_);
    }

    value state()
    {
        std::lock_guard lock(mutex_);
        value state = value::object();
        state["downloads"] = value::number(downloads_);
        state["open"] = value::number(openCount_);
        state["mostOpen"] = value::number(peakOpenCount_);
        return state;
    }

    static constexpr std::chrono::milliseconds updateInterval { 10 };
    const double bytesPerSecond_;
    const double versionBytes_;
    const std::vector<std::string> missing_;
    std::mutex mutex_;
    std::uint64_t downloads_ = 0;
    std::uint64_t openCount_ = 0;
    std::uint64_t peakOpenCount_ = 0;
};

} // namespace

int main(int argc, const char** argv)
{
    base::blockStopSignals();
    base::Logger logger("weight-store");
    auto settings = base::Settings::Make(argc, argv,
        {
            { "address", "IP address to listen on", "127.0.0.1" },
            { "port", "port to listen on", std::nullopt },
            { "rate", "total bandwidth of all downloads in bytes per second", "1000000000" },
            { "size", "size of the weights of one version in bytes", "1000000000" },
            { "missing", "versions for which downloads return 404: model:version,...", "" },
        });
    if (!settings) {
        logger.error("The settings are invalid.", { { "reason", settings.error().detail } });
        return 2;
    }
    auto port = settings.value().integer("port", 1, 65535);
    auto rate = settings.value().integer("rate", 1, std::int64_t { 1 } << 50);
    auto size = settings.value().integer("size", 0, std::int64_t { 1 } << 50);
    for (const auto* number : { &port, &rate, &size }) {
        if (!*number) {
            logger.error("The settings are invalid.", { { "reason", number->error().detail } });
            return 2;
        }
    }
    WeightStore store(rate.value(), size.value(), settings.value().list("missing"));
    auto server = fakes::ListenerServer::Make(settings.value().text("address"), static_cast<int>(port.value()), [&](http_request request) { store.handle(request); });
    if (!server) {
        logger.error("Failed to start the server.", { { "reason", server.error().detail } });
        return 2;
    }
    base::waitForStopSignal();
    return 0;
}
