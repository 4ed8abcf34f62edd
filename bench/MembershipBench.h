#pragma once

namespace arbutus::membership {

// Prints CSV with the cost of membership a node: bytes, messages, processor time
// and memory over four fleet sizes, with slopes. Takes about a minute and 3 GB.
void benchMembership();

} // namespace arbutus::membership
