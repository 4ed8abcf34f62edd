#pragma once

#include <cstdint>

// Compares the routing policy with round robin and FIFO queues in a simulation,
// compares strategies that isolate a request which crashes engines, and measures
// the cost of one routing decision. Prints text. Seeds are fixed.
void benchRouting();

// Sets the function that returns the number of allocations so far. Without it,
// benchRouting() does not report allocations. The program that replaces operator
// new provides the function.
void setRoutingAllocationCounter(std::uint64_t (*counter)());
