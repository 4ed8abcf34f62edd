#include "bench/Bench.h"

#include <fmt/format.h>

#include <cstdio>

// Runs the benchmarks named in the arguments. Without arguments, prints their names.
int main(int argc, char** argv)
{
    using arbutus::bench::benches;
    if (argc < 2) {
        for (const auto& bench : benches)
            fmt::print("{}\n", bench.name);
        return 0;
    }
    for (int i = 1; i < argc; ++i) {
        bool isKnown = false;
        for (const auto& bench : benches) {
            if (bench.name != argv[i])
                continue;
            bench.run();
            isKnown = true;
        }
        if (!isKnown) {
            fmt::print(stderr, "bench: unknown name; run without arguments for the list name={}\n", argv[i]);
            return 1;
        }
    }
    return 0;
}
