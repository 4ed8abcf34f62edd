#pragma once

#include <string_view>

namespace arbutus::bench {

// Each prints CSV rows with a header row to standard output. Seeds are fixed.
void benchConsensus();

struct Bench {
    std::string_view name;
    void (*run)();
};

constexpr Bench benches[] = {
    { "consensus", benchConsensus },
};

} // namespace arbutus::bench
