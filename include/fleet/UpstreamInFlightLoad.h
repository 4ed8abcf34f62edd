#pragma once

#include <msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

namespace arbutus::fleet {

// The in-flight load of one or more entry VMs on one upstream.
struct UpstreamInFlightLoad {
    std::string upstream;
    std::uint32_t running = 0;
    // Reserved cache in tokens times layers, 0 for a plain service.
    double cacheTokenLayers = 0;
    // Streams that the upstream refused for lack of memory or slots in the last 500 ms.
    std::uint32_t refusals = 0;

    bool isEmpty() const { return !running && cacheTokenLayers <= 0 && !refusals; }

    // Encoded without trailing zeros and with the cache as a whole number, because loads are
    // the largest part of the control traffic.
    template <typename Packer>
    void msgpack_pack(Packer& packer) const // NOLINT(readability-identifier-naming): the library prescribes the name.
    {
        auto cache = static_cast<std::uint64_t>(std::llround(std::max(0.0, cacheTokenLayers)));
        std::uint32_t count = running ? 2 : 1;
        if (cache)
            count = 3;
        if (refusals)
            count = 4;
        packer.pack_array(count);
        packer.pack(upstream);
        if (count > 1)
            packer.pack(running);
        if (count > 2)
            packer.pack(cache);
        if (count > 3)
            packer.pack(refusals);
    }
    void msgpack_unpack(const msgpack::object& object) // NOLINT(readability-identifier-naming)
    {
        std::uint64_t cache = 0;
        msgpack::type::make_define_array(upstream, running, cache, refusals).msgpack_unpack(object);
        cacheTokenLayers = static_cast<double>(cache);
    }
};

} // namespace arbutus::fleet
