#pragma once

namespace arbutus::membership {

// Prints CSV with the membership cost per node: bytes, messages, CPU time and
// memory for four fleet sizes, and the slope over the sizes. Takes about a minute
// and 3 GB of memory.
void benchMembership();

} // namespace arbutus::membership
