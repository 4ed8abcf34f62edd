#pragma once

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace arbutus::fleet {

// The streams of one service and priority that arrive at the entry VMs of one data centre.
// Rates are per second and averaged over about a second.
struct ServiceDemand {
    std::string service;
    // The data centre of the entry VMs.
    std::string dataCentre;
    // 0 is the most urgent.
    int priority = 0;
    // Requests that arrived, whether or not they were admitted.
    double arrivals = 0;
    // Streams that ended after an engine had begun to answer them.
    double completions = 0;
    // Attempts that engines refused for lack of memory or slots.
    double refusals = 0;
    MSGPACK_DEFINE(service, dataCentre, priority, arrivals, completions, refusals)
};

using ServiceDemands = std::vector<ServiceDemand>;

} // namespace arbutus::fleet
