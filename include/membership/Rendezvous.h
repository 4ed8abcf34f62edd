#pragma once

#include "include/membership/Member.h"

#include <cstdint>

namespace arbutus::membership {

// Mixes all bits of `value` with the finaliser of SplitMix64.
constexpr std::uint64_t mix64(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

// Domain separation of the hash: a node's rank in one domain is independent of its rank
// in another.
enum class RendezvousDomain : std::uint64_t {
    Registrar = 1,
    RelayLevel,
    RelayParent,
    Subset,
    Controller,
};

// Returns the rendezvous score of `node` for `object`. The node with the highest score
// is chosen.
constexpr std::uint64_t rendezvousScore(RendezvousDomain domain, MemberKey object, MemberKey node)
{
    return mix64(node ^ mix64(object + static_cast<std::uint64_t>(domain)));
}

} // namespace arbutus::membership
