#pragma once

#include "include/base/Error.h"
#include "include/base/Settings.h"
#include "include/http/BodyWriter.h"
#include "include/streams/ChannelCodec.h"
#include "tools/fakes/common/Announcer.h"
#include "tools/fakes/common/ListenerServer.h"
#include "tools/fakes/engine/EngineCore.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace arbutus::fakes {

// HTTP server of the fake engine: channels, commands, fault injection and
// announcements.
class EngineServer {
public:
    static base::Result<std::unique_ptr<EngineServer>> Make(const base::Settings&);
    ~EngineServer();

    // Announces that the engine is leaving. Running streams continue.
    void leave();
    bool hasWork() const;

private:
    // The pair of long-lived HTTP calls of one entry VM.
    struct Channel {
        http::BodyWriter results;
        streams::ChannelDecoder decoder { std::size_t { 16 } << 20 };
    };
    using ChannelPointer = std::shared_ptr<Channel>;

    explicit EngineServer(EngineSpec spec)
        : core_(std::move(spec))
    {
    }

    base::Result<void> start(const base::Settings&);
    void handle(web::http::http_request);
    void openResults(web::http::http_request, const std::string& name);
    void openSteps(web::http::http_request, const std::string& name);
    void handleCommand(web::http::http_request);
    void loadWeights(const std::string& model, const std::string& version);
    void handleFault(web::http::http_request);
    ChannelPointer channel(const std::string& name);
    void closeChannel(const std::string& name);
    bool receive(const std::string& name, const ChannelPointer&, std::string_view bytes);
    void runBatches();
    void reportLoad();
    streams::EngineLoad load() const;
    web::json::value facts() const;
    web::json::value state() const;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    EngineCore core_;
    std::map<std::string, ChannelPointer> channels_;
    streams::EngineLoad reportedLoad_;
    std::string id_;
    std::string address_;
    std::string dataCentre_;
    std::string accelerator_;
    std::string weightStore_;
    std::uint32_t firstLayer_ = 0;
    std::uint32_t lastLayer_ = 0;
    std::uint32_t layerCount_ = 0;
    std::uint32_t maximumBatch_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint64_t version_ = 1;
    bool isLeaving_ = false;
    bool isStalled_ = false;
    bool enforcesFencing_ = true;
    std::uint64_t highestFencingToken_ = 0;
    std::uint64_t newStreamsWhileLeaving_ = 0;
    // Batches until the process crashes; nullopt if no crash is injected.
    std::optional<std::uint64_t> batchesUntilCrash_;
    // Multiplies every step time, to simulate a degraded accelerator.
    double stepTimeFactor_ = 1.0;
    std::atomic<bool> isStopping_ { false };
    std::unique_ptr<fakes::ListenerServer> server_;
    std::unique_ptr<Announcer> announcer_;
    std::thread batchThread_;
    std::thread reportThread_;
};

} // namespace arbutus::fakes
