#pragma once

#include <cstdint>
#include <random>

namespace arbutus::base {

// Seeded pseudorandom generator that yields the same sequence on every platform.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : engine_(seed)
    {
    }

    std::uint64_t next() { return engine_(); }

    // Returns an integer in [0, bound). `bound` must not be zero.
    std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }

    // Returns a uniformly distributed value in [0, 1).
    double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

    // Returns a uniformly distributed value in [low, high).
    double between(double low, double high) { return low + (high - low) * unit(); }

private:
    std::mt19937_64 engine_;
};

} // namespace arbutus::base
