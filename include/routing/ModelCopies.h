#pragma once

#include "include/fleet/UpstreamRecord.h"

#include <chrono>
#include <string>
#include <vector>

namespace arbutus::routing {

using FractionalMilliseconds = std::chrono::duration<double, std::milli>;

// The layers that one engine holds, with what they cost per stream of typical size.
struct EngineShare {
    std::string dataCentre;
    fleet::LayerRange layers;
    // Streams that fit in the memory, and those that are there.
    double streams = 0;
    double running = 0;
    // Time per token: without streams, and more for each stream.
    FractionalMilliseconds tokenTime { 0 };
    FractionalMilliseconds tokenTimePerStream { 0 };
    FractionalMilliseconds prefillTime { 0 };
};

// A complete copy of a model: engines that together hold every layer once.
struct ModelCopy {
    // Where the first layers are.
    std::string dataCentre;
    // The smallest of its engines' streams, and the largest of their running ones.
    double streams = 0;
    double running = 0;
    // Sums over the engines.
    FractionalMilliseconds tokenTime { 0 };
    FractionalMilliseconds tokenTimePerStream { 0 };
    FractionalMilliseconds prefillTime { 0 };
    // The longest of the engines' prefill times. An engine runs one prefill at a time.
    FractionalMilliseconds slowestPrefill { 0 };
};

// Combines engines to copies of a model of `layers` layers, each engine in at most one copy,
// preferably of one data centre. Engines that complete no copy are left out, and ranges that
// overlap only in part are not combined.
std::vector<ModelCopy> findModelCopies(std::vector<EngineShare>, int layers);

} // namespace arbutus::routing
