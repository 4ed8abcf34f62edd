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

// The state of an engine, as announced by the engine.
struct EngineView {
    std::string id;
    // The engine's upstream class in the sheet.
    std::string accelerator;
    std::uint64_t incarnation = 0;
    // False for a drained engine. It still gets commands but does not count as capacity.
    bool isServing = true;
    std::vector<membership::Holding> holdings;
};

enum class PlacementAction {
    Load,
    Unload,
};

std::string_view toString(PlacementAction);

// Instructs an engine to load or unload a model version.
struct PlacementCommand {
    std::uint64_t id = 0;
    std::uint64_t fencingNumber = 0;
    std::string engine;
    std::uint64_t engineIncarnation = 0;
    PlacementAction action = PlacementAction::Load;
    std::string model;
    std::string version;
};

// A failed command that waits for its next attempt.
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

// Decides which engines load and unload which model versions, so that the engines
// converge to the versions that the sheet names. Plans are based on the engines' reports,
// so the effects of lost commands, and of late commands from a former controller, are
// repaired. Not thread-safe.
class PlacementPlanner {
public:
    struct Options {
        // Limit of concurrent load commands, because the weight store is rate-limited.
        std::size_t maxDownloads = 2;
        // Engines of each layer range that must not be busy with a change, and that must
        // hold the new version before an old one is unloaded.
        std::size_t minServing = 1;
        // How long an old version is kept after it became dispensable. Unloading a version
        // fails its running streams, so this is longer than the longest request.
        std::chrono::nanoseconds unloadGrace = std::chrono::seconds(65);
        // Time for an engine to report the effect of an executed command: announcements are
        // sent every second, and gossip takes up to another second.
        std::chrono::nanoseconds reportTimeout = std::chrono::seconds(4);
        std::chrono::nanoseconds firstRetryDelay = std::chrono::seconds(1);
        std::chrono::nanoseconds maxRetryDelay = std::chrono::seconds(60);
    };

    explicit PlacementPlanner(const Options& options)
        : options_(options)
    {
    }

    // Returns the commands to send now, each with `fencingNumber`. They count as in flight
    // until they fail or the engine reports their effect.
    std::vector<PlacementCommand> plan(const sheet::Sheet&, const std::vector<EngineView>&, std::uint64_t fencingNumber, base::TimePoint now);

    // Records the result of a command. Ignores unknown ids.
    void finish(std::uint64_t commandId, bool hasSucceeded, const std::string& detail, base::TimePoint now);

    // Discards all commands in flight and failures. Call this when the process stops being
    // the controller.
    void reset();

    // Returns whether the engines hold exactly the versions that the sheet names and no
    // command is in flight.
    bool isConverged(const sheet::Sheet&, const std::vector<EngineView>&) const;

    std::vector<PlacementCommand> commandsInFlight() const;
    std::vector<FailedCommand> failedCommands() const;

private:
    using ModelVersion = std::pair<std::string, std::string>;
    struct InFlight {
        PlacementCommand command;
        bool isExecuted = false;
        // When an executed command counts as failed if the engine has not reported its effect.
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
    // By engine. Each engine gets one command at a time.
    std::map<std::string, InFlight> inFlight_;
    std::map<FailureKey, FailedCommand> failures_;
    // When each old version became dispensable, by upstream class, model and version.
    std::map<std::tuple<std::string, std::string, std::string>, base::TimePoint> dispensableSince_;
};

} // namespace arbutus::placement
