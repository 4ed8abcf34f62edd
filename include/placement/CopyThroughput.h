#pragma once

#include "include/placement/LayerPlanner.h"

namespace arbutus::placement {

// Returns how many streams of typical size fit into one copy whose cards hold `ranges`.
// The card with the least free memory per layer is the limit, because a stream needs
// memory on every card of its path.
double streamCapacity(const routes::LayeredModel&, const std::vector<Card>& cards, const std::vector<fleet::LayerRange>& ranges);

// Returns how many streams of typical size a second the copy completes while it is full.
// A larger batch takes longer for each token but serves more streams, so this is not
// proportional to the capacity. Returns 0 if the model states no cost of a larger batch.
double streamsPerSecond(const routes::LayeredModel&, const std::vector<Card>& cards, const std::vector<fleet::LayerRange>& ranges);

} // namespace arbutus::placement
