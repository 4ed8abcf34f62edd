#pragma once

#include "include/base/Clock.h"
#include "include/base/RankedMutex.h"
#include "include/base/Settings.h"
#include "include/base/Timeline.h"
#include "include/base/WorkerPool.h"
#include "include/placement/ControllerLease.h"
#include "include/placement/PlacementPlanner.h"
#include "src/entry/ControlPlane.h"
#include "src/entry/StateClient.h"

#include <cpprest/json.h>

#include <atomic>
#include <string>
#include <thread>

namespace arbutus::entry {

// Sends engines the load and unload commands that bring them in line with the sheet
// while this VM holds the controller lease. Thread-safe.
class PlacementController {
public:
    struct Options {
        bool isEnabled = true;
        placement::PlacementPlanner::Options planner;
    };

    static std::vector<base::SettingSpec> settingSpecs();
    static base::Result<Options> readOptions(const base::Settings&);

    PlacementController(const base::Clock&, base::Timeline&, StateClient&, const ControlPlane&, std::string vm, const Options&);
    // Waits for the commands in flight.
    ~PlacementController();

    web::json::value status() const;

private:
    void run();
    void tick();
    bool renewLease();
    void sendCommand(const placement::PlacementCommand&);
    std::vector<placement::EngineView> engines(const state::Configuration&, const std::vector<ControlPlane::MemberView>&) const;

    const base::Clock& clock_;
    base::Timeline& timeline_;
    StateClient& stateClient_;
    const ControlPlane& controlPlane_;
    const std::string vm_;
    const Options options_;
    mutable base::RankedMutex mutex_;
    placement::ControllerLease lease_;
    placement::PlacementPlanner planner_;
    std::string candidate_;
    bool isConverged_ = false;
    std::uint64_t sheetRevision_ = 0;
    // Addresses by member id.
    std::map<std::string, std::string> addresses_;
    std::atomic<bool> isStopping_ { false };
    base::WorkerPool senderPool_;
    std::thread thread_;
};

} // namespace arbutus::entry
