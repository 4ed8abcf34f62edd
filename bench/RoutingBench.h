#pragma once

#include <cstdint>

// Compares the routing policy with round robin and plain FIFO in a queueing
// model, measures the ways to find a request that crashes engines, and the cost
// of one decision. Prints text; seeds are fixed.
void benchRouting();

// Gives benchRouting() a count of allocations so far; without it, allocations
// are not reported. The benchmark's main owns operator new.
void setRoutingAllocationCounter(std::uint64_t (*counter)());
