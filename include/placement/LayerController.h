#pragma once

#include "include/placement/LayerPlanner.h"

#include <set>

namespace arbutus::placement {

// An engine is to hold exactly these layers.
struct LayerOrder {
    std::string upstream;
    net::Endpoint endpoint;
    fleet::LayerRange layers;
};

enum class OrderResult {
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
    std::optional<LayerPlans> plan(const std::vector<routes::Service>&, const LayerPlans& committed, const std::vector<const fleet::UpstreamFact*>& facts, base::TimePoint now);

    // The orders that are due under the committed plans. An order that is returned
    // is taken to be sent.
    std::vector<LayerOrder> dueOrders(const std::vector<routes::Service>&, const LayerPlans& committed, const std::vector<const fleet::UpstreamFact*>& facts, base::TimePoint now);
    void orderAnswered(const LayerOrder&, OrderResult, base::TimePoint now);

    // Forgets what an earlier term of leadership knew.
    void restart();

private:
    struct Sent {
        fleet::LayerRange layers;
        base::TimePoint repeatAt;
    };

    bool isSettled(const std::string& service, const std::set<std::string>& addresses, base::TimePoint now);

    std::map<std::string, LayerPlanner> planners_;
    // The engines seen before the first plan, and when the last new one appeared.
    std::map<std::string, std::pair<std::set<std::string>, base::TimePoint>> seen_;
    // By upstream id.
    std::map<std::string, Sent> sent_;
    std::optional<base::TimePoint> leadsSince_;
};

} // namespace arbutus::placement
