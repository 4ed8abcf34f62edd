#pragma once

#include "include/http1/ServerConnection.h"

namespace arbutus::node {

// What the machine of a process offers; nullopt if unknown.
struct MachineLimits {
    std::optional<double> memoryMegabytes;
    std::optional<double> descriptors;
};

// Returns what an entry VM may take for its callers.
http1::ServerResources entryResources(const MachineLimits&);
// Returns what a control VM may take for operators and upstreams. It needs more memory for
// the replica than an entry VM needs for itself.
http1::ServerResources controlResources(const MachineLimits&);
// Returns what a server of probes may take. It has a budget of its own, so that callers do
// not affect the answers to probes.
http1::ServerResources probeResources();

} // namespace arbutus::node
