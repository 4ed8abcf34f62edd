#pragma once

#include <msgpack.hpp>

#include <cstdint>

namespace arbutus::fleet {

// States that an upstream ended just as it began to answer a certain request, or one whose
// prompt has a certain part.
struct CrashReport {
    // Identifies the part or the request.
    std::uint64_t part = 0;
    // Identifies the incarnation of the upstream, so that several reports of one crash
    // count once.
    std::uint64_t crash = 0;
    // Identifies the request, so that the parts which were suspected together are known.
    std::uint64_t request = 0;
    // A request with this part has been answered since, so the part is not the cause.
    bool isRefuted = false;
    // Since the crash, when the report was sent.
    std::uint32_t ageMilliseconds = 0;
    MSGPACK_DEFINE(part, crash, request, isRefuted, ageMilliseconds)
};

} // namespace arbutus::fleet
