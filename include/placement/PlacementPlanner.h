#pragma once

#include "include/base/Time.h"
#include "include/membership/Member.h"
#include "include/sheet/Sheet.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace arbutus::placement {

// An engine as it announces itself.
struct EngineView {
    std::string id;
    // The sheet's upstream class.
    std::string accelerator;
    std::uint64_t incarnation = 0;
    // False for a drained engine, which is changed but does not count as capacity.
    bool isServing = true;
    std::vector<membership::Holding> holdings;
};

enum class PlacementAction {
    Load,
    Unload,
};

std::string_view toString(PlacementAction);

struct PlacementCommand {
    std::uint64_t id = 0;
    std::uint64_t fencingNumber = 0;
    std::string engine;
    std::uint64_t engineIncarnation = 0;
    PlacementAction action = PlacementAction::Load;
    std::string model;
    std::string version;
};

// An order that failed and waits for its next attempt.
struct FailedCommand {
    std::string engine;
    std::uint64_t engineIncarnation = 0;
    PlacementAction action = PlacementAction::Load;
    std::string model;
    std::string version;
    std::uint32_t failures = 0;
    base::TimePoint retryAt;
    std::string detail;
};

// Decides which engines load and unload which versions, so that the engines
// come to hold what the sheet names. Works from what engines report, so an
// order that was lost, or that a former controller sent late, is repaired.
// Not thread-safe.
class PlacementPlanner {
public:
    struct Options {
        // Orders in flight that fetch weights: the weight store is rate-limited.
        std::size_t maxDownloads = 2;
        // Engines of each layer range that are not busy with a change, and that
        // hold the new version before an old one is taken away.
        std::size_t minServing = 1;
        // Time for which an old version is kept after it became dispensable. An
        // engine fails the running streams of a version that it unloads, so
        // this is longer than the longest request.
        std::chrono::nanoseconds unloadGrace = std::chrono::seconds(65);
        // Time in which an engine reports what an executed order changed:
        // announcements come each second and gossip takes up to another.
        std::chrono::nanoseconds reportTimeout = std::chrono::seconds(4);
        std::chrono::nanoseconds firstRetryDelay = std::chrono::seconds(1);
        std::chrono::nanoseconds maxRetryDelay = std::chrono::seconds(60);
    };

    explicit PlacementPlanner(const Options& options)
        : options_(options)
    {
    }

    // Returns the orders to send now, which count as in flight until finish().
    // Every order carries `fencingNumber`.
    std::vector<PlacementCommand> plan(const sheet::Sheet&, const std::vector<EngineView>&, std::uint64_t fencingNumber, base::TimePoint now);

    // Takes the result of an order; unknown ids are ignored.
    void finish(std::uint64_t commandId, bool hasSucceeded, const std::string& detail, base::TimePoint now);

    // Forgets all orders in flight and failures, for a process that is no longer controller.
    void reset();

    // Whether engines hold exactly what the sheet names and nothing is in flight.
    bool isConverged(const sheet::Sheet&, const std::vector<EngineView>&) const;

    std::vector<PlacementCommand> commandsInFlight() const;
    std::vector<FailedCommand> failedCommands() const;

private:
    using ModelVersion = std::pair<std::string, std::string>;
    struct InFlight {
        PlacementCommand command;
        bool isExecuted = false;
        // Until when an executed order may stay without effect in the engine's report.
        base::TimePoint reportDeadline;
    };
    struct PlacementSnapshot;
    using FailureKey = std::tuple<std::string, PlacementAction, std::string, std::string>;

    PlacementSnapshot makeSnapshot(const sheet::Sheet&, const std::vector<EngineView>&) const;
    void reconcileInFlight(const PlacementSnapshot&, const std::vector<EngineView>&, base::TimePoint now);
    void planLoads(const PlacementSnapshot&, const std::vector<EngineView>&, std::vector<PlacementCommand>&, base::TimePoint now);
    void planUnloads(const PlacementSnapshot&, const std::vector<EngineView>&, std::vector<PlacementCommand>&, base::TimePoint now);
    void recordFailure(const PlacementCommand&, const std::string& detail, base::TimePoint now);
    bool mayIssue(const EngineView&, PlacementAction, const ModelVersion&, base::TimePoint now) const;
    bool isDispensable(const PlacementSnapshot&, const std::string& accelerator, const ModelVersion&) const;
    bool keepsMinServing(const PlacementSnapshot&, const EngineView&) const;
    void issue(const EngineView&, PlacementAction, const ModelVersion&, std::vector<PlacementCommand>&);
    std::size_t downloadCount() const;

    const Options options_;
    std::uint64_t nextCommandId_ = 1;
    std::uint64_t fencingNumber_ = 0;
    // By engine: an engine gets one order at a time.
    std::map<std::string, InFlight> inFlight_;
    std::map<FailureKey, FailedCommand> failures_;
    // When each old version of a class became dispensable: class, model, version.
    std::map<std::tuple<std::string, std::string, std::string>, base::TimePoint> dispensableSince_;
};

} // namespace arbutus::placement
