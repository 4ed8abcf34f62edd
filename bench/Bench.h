#pragma once

#include "bench/MembershipBench.h"
#include "bench/RoutingBench.h"
#include "bench/StateBench.h"
#include "bench/StorageBench.h"
#include "bench/TransportBench.h"

#include <string_view>

namespace arbutus::bench {

// Each benchmark prints a CSV header and rows to standard output. Seeds are fixed.
void benchConsensus();
void benchCodec();
void benchFleet();

struct Bench {
    std::string_view name;
    void (*run)();
};

constexpr Bench benches[] = {
    { "codec", benchCodec },
    { "consensus", benchConsensus },
    { "fleet", benchFleet },
    { "membership", arbutus::membership::benchMembership },
    { "routing", benchRouting },
    { "state", benchState },
    { "storage", benchStorage },
    { "transport", benchTransport },
};

} // namespace arbutus::bench
