#pragma once

#include "include/net/Endpoint.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <tuple>

namespace arbutus::fleet {

enum class UpstreamState : std::uint8_t {
    Ready,
    // Finishes its work and takes none.
    Draining,
    // Has said that it ends.
    Gone,
    // Has not been heard from for several heartbeats.
    Unresponsive,
};

} // namespace arbutus::fleet

MSGPACK_ADD_ENUM(arbutus::fleet::UpstreamState)

namespace arbutus::fleet {

// A range of layers, `to` not included; empty when both are equal.
struct LayerRange {
    int from = 0;
    int to = 0;
    MSGPACK_DEFINE(from, to)

    int count() const { return to - from; }
    friend bool operator==(const LayerRange& left, const LayerRange& right) { return left.from == right.from && left.to == right.to; }
    friend bool operator!=(const LayerRange& left, const LayerRange& right) { return !(left == right); }
};

// What an upstream last said of itself.
struct UpstreamRecord {
    std::string id;
    // Unix milliseconds of its start; tells incarnations with the same id apart.
    std::int64_t startedAtMilliseconds = 0;
    // Rises with every report of one incarnation.
    std::uint64_t sequence = 0;
    // The control VM that hears its reports.
    std::string registrar;
    std::string service;
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    std::string dataCentre;
    UpstreamState state = UpstreamState::Ready;
    // Requests at once; 0 when it is not known.
    int slots = 0;
    std::string accelerator;
    LayerRange layers;
    // Factor on the times of its accelerator; above 1 the engine is slow.
    double pace = 1;
    // Rises with every change that the registrar found by asking the engine.
    std::uint64_t statusSequence = 0;

    MSGPACK_DEFINE(id, startedAtMilliseconds, sequence, registrar, service, ip, port, dataCentre, state, slots, accelerator, layers, pace, statusSequence)

    net::Endpoint endpoint() const { return { ip, port }; }
    // The order of reports of the same upstream.
    auto recordVersion() const { return std::make_tuple(startedAtMilliseconds, sequence, statusSequence); }
    // Whether others must be told of a change from `older`.
    bool differsFrom(const UpstreamRecord& older) const;
};

} // namespace arbutus::fleet
