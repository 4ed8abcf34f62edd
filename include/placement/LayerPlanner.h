#pragma once

#include "include/base/Error.h"
#include "include/base/Time.h"
#include "include/fleet/UpstreamFact.h"
#include "include/routes/RouteConfiguration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::placement {

// One engine's accelerator. An engine that restarts at its address is the same card.
struct Card {
    // Address and port of the engine.
    std::string address;
    std::string dataCentre;
    double megabytes = 0;
    double stepTimeFactor = 1;
    bool isLeaving = false;
};

// The layers that one card holds for one copy of the model.
struct LayerSlice {
    int copy = 0;
    fleet::LayerRange range;
    // The card's address; empty while no card holds the slice.
    std::string cardAddress;
    std::string dataCentre;
    MSGPACK_DEFINE(copy, range, cardAddress, dataCentre)
};

struct LayerPlan {
    std::vector<LayerSlice> slices;
    MSGPACK_DEFINE(slices)

    const LayerSlice* findSlice(const std::string& address) const;
};

// The plans of all services whose engines hold layers, by service.
using LayerPlans = std::map<std::string, LayerPlan>;

std::string encodePlans(const LayerPlans&);
// Fails with MalformedFrame. Safe on arbitrary bytes.
base::Result<LayerPlans> decodePlans(std::string_view bytes);

// Splits all layers over `cards` in proportion to their memory, so that every card
// has room for the same number of requests. Returns nothing if a card would hold
// less memory for requests than `minTokens` need.
std::optional<std::vector<fleet::LayerRange>> splitLayers(const routes::LayeredModel&, const std::vector<Card>& cards, double minTokens);

// Decides which card holds which layers: as many complete copies of the model as
// leave room for requests, each inside one data centre where possible, with cards
// of like pace together; and repairs them with few loads.
class LayerPlanner {
public:
    // A first plan for these cards.
    static LayerPlan plan(const routes::LayeredModel&, const std::vector<Card>&);

    // Returns a changed plan if cards have come, gone or begun to leave, else
    // nothing. `plan` must be the latest one.
    std::optional<LayerPlan> repair(const routes::LayeredModel&, const LayerPlan& plan, const std::vector<Card>&, base::TimePoint now);

private:
    struct Repair;

    // When the holder of a slice was first missed, by its address.
    std::map<std::string, base::TimePoint> missingSince_;
};

} // namespace arbutus::placement
