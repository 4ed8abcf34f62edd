#pragma once

#include "include/base/Clock.h"
#include "include/base/Settings.h"
#include "include/base/Timeline.h"
#include "include/base/WorkerPool.h"
#include "include/http/AdminServer.h"
#include "include/http/HttpServer.h"
#include "include/serving/CompletionService.h"
#include "src/entry/CallerApi.h"
#include "src/entry/ChannelPool.h"
#include "src/entry/ControlPlane.h"
#include "src/entry/PlacementController.h"
#include "src/entry/ServiceClient.h"
#include "src/entry/StateClient.h"
#include "src/entry/StateReporter.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace arbutus::entry {

// The process of an entry VM. Creates its components and shuts them down in order.
class EntryProcess {
public:
    static std::vector<base::SettingSpec> settingSpecs();
    static base::Result<std::unique_ptr<EntryProcess>> Make(const base::Settings&);
    ~EntryProcess();

    // Drains the process: fails /readyz, accepts requests for another
    // --drain-accept-ms, then refuses new ones and waits until every open request is
    // answered and pending writes are committed, or the request deadlines have passed.
    void drain();
    // Describes what would be lost if the process exited now.
    std::string describeLoss() const;

private:
    struct Config {
        std::string vm;
        std::string address;
        int port = 0;
        std::uint16_t controlPort = 0;
        std::string dataCentre;
        std::string clusterKey;
        std::string adminToken;
        std::vector<membership::PeerAddress> seeds;
        std::vector<membership::PeerAddress> replicas;
        std::vector<std::string> replicaUrls;
        http::TlsFiles tls;
        http::ServerLimits serverLimits;
        std::chrono::nanoseconds drainAcceptPeriod {};
        CallerApi::Options callerApi;
        serving::CompletionService::Options completions;
        PlacementController::Options placement;
    };

    explicit EntryProcess(Config);

    static base::Result<Config> readConfig(const base::Settings&);
    base::Result<void> start();
    void addEndpoints();
    void handle(const http::ServerRequest&);
    void handleAnnounce(const http::ServerRequest&);
    base::Result<serving::ConfigurationPointer> admit() const;
    std::string notReadyReason() const;
    std::string metrics() const;
    web::json::value status() const;
    web::json::value upstreams() const;
    web::json::value vms() const;
    void handleStateCall(const http::ServerRequest&);
    void runTicks();
    void runHousekeeping();

    const Config config_;
    base::SystemClock clock_;
    base::Timeline timeline_;
    StateClient stateClient_;
    StateReporter reporter_;
    ChannelPool channels_;
    serving::CompletionService completions_;
    ServiceClient serviceClient_;
    // Runs service calls and operator calls to the state, which block.
    base::WorkerPool workers_;
    CallerApi callerApi_;
    http::AdminServer admin_;
    std::unique_ptr<ControlPlane> controlPlane_;
    std::unique_ptr<PlacementController> placement_;
    std::unique_ptr<http::HttpServer> server_;
    std::atomic<bool> isDraining_ { false };
    std::atomic<bool> refusesNewRequests_ { false };
    std::atomic<bool> isStopping_ { false };
    std::thread tickThread_;
    std::thread housekeepingThread_;
};

} // namespace arbutus::entry
