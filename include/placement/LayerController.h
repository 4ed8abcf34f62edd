#pragma once

#include "include/placement/LayerPlanner.h"

#include <set>

namespace arbutus::placement {

// An engine is to hold exactly these layers.
struct LayerCommand {
    std::string upstream;
    net::Endpoint endpoint;
    fleet::LayerRange layers;
};

enum class LayerCommandResult {
    // The engine has begun, or holds the layers already.
    Accepted,
    // The engine refuses in its present state.
    Refused,
    // No answer; the order may still be carried out.
    Unknown,
};

// The leader's part of the placement: plans from what the engines report, and
// orders every engine towards the committed plan until it reports the planned
// layers. An order is idempotent, so that one which got no answer is repeated.
class LayerController {
public:
    // Returns changed plans to be committed, or nothing. `facts` are all upstreams.
    std::optional<LayerPlans> plan(const std::vector<routes::Service>&, const LayerPlans& committed, const std::vector<const fleet::UpstreamFact*>& upstreams, base::TimePoint now);

    // The orders that are due under the committed plans. An order that is returned
    // is taken to be sent.
    std::vector<LayerCommand> dueCommands(const std::vector<routes::Service>&, const LayerPlans& committed, const std::vector<const fleet::UpstreamFact*>& upstreams, base::TimePoint now);
    void recordResult(const LayerCommand&, LayerCommandResult, base::TimePoint now);

    // Forgets what an earlier term of leadership knew.
    void reset();

private:
    struct SentCommand {
        fleet::LayerRange layers;
        base::TimePoint retryAt;
    };

    bool isSettled(const std::string& service, const std::set<std::string>& addresses, base::TimePoint now);

    std::map<std::string, LayerPlanner> planners_;
    // The engines seen before the first plan, and when the last new one appeared.
    std::map<std::string, std::pair<std::set<std::string>, base::TimePoint>> seenEngines_;
    // By upstream id.
    std::map<std::string, SentCommand> sent_;
    std::optional<base::TimePoint> leaderSince_;
};

} // namespace arbutus::placement
