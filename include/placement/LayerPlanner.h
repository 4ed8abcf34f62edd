#pragma once

#include "include/base/Error.h"
#include "include/base/Time.h"
#include "include/fleet/UpstreamRecord.h"
#include "include/routes/RouteConfiguration.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::placement {

// The accelerator card of one engine, identified by the engine's address. It stays the
// same card when the engine restarts, but another engine may get the address.
struct Card {
    // Address and port of the engine.
    std::string address;
    std::string dataCentre;
    double megabytes = 0;
    // Factor on the time of a model step; lower is faster.
    double stepTimeFactor = 1;
    bool isLeaving = false;
};

// The layers that one card holds for one copy of the model.
struct LayerSlice {
    int copy = 0;
    fleet::LayerRange range;
    // Empty while no card holds the slice.
    std::string cardAddress;
    std::string dataCentre;
    MSGPACK_DEFINE(copy, range, cardAddress, dataCentre)
};

// Whether a card of this memory can hold the weights of the layers.
bool holdsLayers(const routes::LayeredModel&, double megabytes, const fleet::LayerRange&);

struct LayerPlan {
    std::vector<LayerSlice> slices;
    MSGPACK_DEFINE(slices)

    // Returns nullptr if the card at `address` holds no slice.
    const LayerSlice* findSlice(const std::string& address) const;
};

// The plans of all services with a layered model, by service name.
using LayerPlans = std::map<std::string, LayerPlan>;

std::string encodePlans(const LayerPlans&);
// Fails with MalformedFrame on invalid input. Safe on arbitrary bytes.
base::Result<LayerPlans> decodePlans(std::string_view bytes);

// Splits all layers over `cards` by their memory, so that the card with the least cache
// memory per layer has as much as possible. Returns one range per card, or
// nullopt if the total memory does not suffice for `minTokens` tokens of requests or a
// card cannot hold its layers.
std::optional<std::vector<fleet::LayerRange>> splitLayers(const routes::LayeredModel&, const std::vector<Card>& cards, double minTokens);

// Assigns layers to cards: as many complete copies of the model as serve most streams with
// the memory that the layers leave, each within one data centre if possible, with cards of similar speed
// grouped together. Repairs plans with few loads when cards change.
class LayerPlanner {
public:
    // Returns an initial plan for `cards`.
    static LayerPlan plan(const routes::LayeredModel&, const std::vector<Card>&);

    // Returns a changed plan if added, lost or leaving cards require one, otherwise
    // nullopt. `plan` must be the latest one.
    std::optional<LayerPlan> repair(const routes::LayeredModel&, const LayerPlan& plan, const std::vector<Card>&, base::TimePoint now);

private:
    struct Repair;

    // When the card of a slice was first found missing or leaving, by address.
    std::map<std::string, base::TimePoint> missingSince_;
};

} // namespace arbutus::placement
