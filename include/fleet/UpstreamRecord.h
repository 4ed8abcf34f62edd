#pragma once

#include "include/net/Endpoint.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <tuple>

namespace arbutus::fleet {

enum class UpstreamState : std::uint8_t {
    Ready,
    // Finishes its requests and accepts no new ones.
    Draining,
    // Deregistered, or replaced by a newer upstream at its address.
    Gone,
    // Has missed several heartbeats.
    Unresponsive,
};

// What another upstream at its address means for one.
enum class Displacement : std::uint8_t {
    None,
    // It counts as gone, because one that started later is at its address.
    Displaced,
    // It has gone on sending heartbeats, and the later one has not.
    Returned,
};

} // namespace arbutus::fleet

MSGPACK_ADD_ENUM(arbutus::fleet::UpstreamState)
MSGPACK_ADD_ENUM(arbutus::fleet::Displacement)

namespace arbutus::fleet {

// Identifies one process of an upstream. Processes with the same id are ordered by start.
struct UpstreamProcess {
    std::string id;
    // Start time in Unix milliseconds.
    std::int64_t startedAtMilliseconds = 0;
    MSGPACK_DEFINE(id, startedAtMilliseconds)
};

// A half-open range of layers [from, to).
struct LayerRange {
    int from = 0;
    int to = 0;
    MSGPACK_DEFINE(from, to)

    int count() const { return to - from; }
    friend bool operator==(const LayerRange& left, const LayerRange& right) { return left.from == right.from && left.to == right.to; }
    friend bool operator!=(const LayerRange& left, const LayerRange& right) { return !(left == right); }
};

// The latest known state of an upstream, from its heartbeats and status answers.
struct UpstreamRecord {
    std::string id;
    // Start time in Unix milliseconds. Distinguishes incarnations with the same id.
    std::int64_t startedAtMilliseconds = 0;
    // Increases with every heartbeat of one incarnation.
    std::uint64_t sequence = 0;
    // The control VM that receives its heartbeats.
    std::string registrar;
    std::string service;
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    std::string dataCentre;
    UpstreamState state = UpstreamState::Ready;
    // The number of concurrent requests, or 0 if unknown.
    int slots = 0;
    std::string accelerator;
    LayerRange layers;
    // Step time relative to the nominal time of the accelerator. Above 1, the engine is
    // slower than nominal.
    double slowdownFactor = 1;
    // Increases with every change that the registrar learns by polling the engine's status.
    std::uint64_t statusSequence = 0;
    // Whether this process has announced, to anyone, that it leaves. It never becomes ready
    // again.
    bool isLeaving = false;
    // Absent from earlier builds, for which a displaced upstream is gone for good.
    Displacement displacement = Displacement::None;

    MSGPACK_DEFINE(id, startedAtMilliseconds, sequence, registrar, service, ip, port, dataCentre, state, slots, accelerator, layers, slowdownFactor, statusSequence, isLeaving, displacement)

    net::Endpoint endpoint() const { return { ip, port }; }
    // Orders the records of one upstream from old to new.
    auto recordVersion() const { return std::make_tuple(startedAtMilliseconds, sequence, statusSequence); }
    // Returns whether this record contains a change from `older` that must be published.
    bool differsFrom(const UpstreamRecord& older) const;
};

} // namespace arbutus::fleet
