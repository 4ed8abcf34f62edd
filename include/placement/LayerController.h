#pragma once

#include "include/placement/LayerPlanner.h"

#include <set>

namespace arbutus::placement {

// Instructs an engine to hold exactly these layers.
struct LayerCommand {
    std::string upstream;
    net::Endpoint endpoint;
    fleet::LayerRange layers;
};

enum class LayerCommandResult {
    // The engine has started loading, or already holds the layers.
    Accepted,
    // The engine cannot execute the command in its current state.
    Refused,
    // No response; the command may still be executed.
    Unknown,
};

// Runs on the leader: plans layer placement from the engines' reports, and sends
// commands to each engine until it reports the layers of the committed plan. Commands
// are idempotent, so a command without a response is retried.
class LayerController {
public:
    // Returns the new plans to commit, or nullopt if nothing changes. `upstreams` must
    // contain all upstreams.
    std::optional<LayerPlans> plan(const std::vector<routes::Service>&, const LayerPlans& committed, const std::vector<const fleet::UpstreamRecord*>& upstreams, base::TimePoint now);

    // Returns the commands to send now according to the committed plans. The caller must
    // send each of them; they are returned again only when their retry is due.
    std::vector<LayerCommand> dueCommands(const std::vector<routes::Service>&, const LayerPlans& committed, const std::vector<const fleet::UpstreamRecord*>& upstreams, base::TimePoint now);
    void recordResult(const LayerCommand&, LayerCommandResult, base::TimePoint now);

    // Discards all state of an earlier leadership term.
    void reset();

private:
    struct SentCommand {
        fleet::LayerRange layers;
        base::TimePoint retryAt;
    };

    bool isSettled(const std::string& service, const std::set<std::string>& addresses, base::TimePoint now);

    std::map<std::string, LayerPlanner> planners_;
    // By service: the engine addresses seen before the first plan, and when that set last
    // changed.
    std::map<std::string, std::pair<std::set<std::string>, base::TimePoint>> seenEngines_;
    // By upstream id.
    std::map<std::string, SentCommand> sent_;
    std::optional<base::TimePoint> leaderSince_;
};

} // namespace arbutus::placement
