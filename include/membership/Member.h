#pragma once

#include "include/base/Error.h"

#include <msgpack.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::membership {

// 64-bit hash of a member's id. Tables, suspicions and messages use it instead of the id.
using MemberKey = std::uint64_t;

MemberKey memberKey(std::string_view id);

enum class MemberKind : std::uint8_t {
    EntryVm,
    Replica,
    Upstream,
};

// A range of model layers that an engine holds. Both ends are inclusive.
struct Holding {
    std::string model;
    std::string version;
    std::uint32_t firstLayer = 0;
    std::uint32_t lastLayer = 0;

    MSGPACK_DEFINE(model, version, firstLayer, lastLayer)
};

// Metadata that a member publishes about itself. Only the member itself raises its
// incarnation and version.
struct MemberDescriptor {
    std::string id;
    MemberKind kind = MemberKind::Upstream;
    std::string address;
    std::uint16_t controlPort = 0;
    std::string dataCentre;
    std::string accelerator;
    std::vector<Holding> holdings;
    std::vector<std::string> services;
    std::uint32_t capacity = 0;
    // Increases with each start of the member's process.
    std::uint64_t incarnation = 0;
    // Increases within one incarnation with each change of the descriptor and each
    // refutation of suspicions.
    std::uint64_t version = 0;
    bool isLeaving = false;

    MSGPACK_DEFINE(id, kind, address, controlPort, dataCentre, accelerator, holdings, services, capacity, incarnation, version, isLeaving)
};

// Address on which a member accepts control messages.
struct PeerAddress {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const PeerAddress& left, const PeerAddress& right) { return left.port == right.port && left.address == right.address; }
    friend bool operator<(const PeerAddress& left, const PeerAddress& right) { return left.address != right.address ? left.address < right.address : left.port < right.port; }

    MSGPACK_DEFINE(address, port)
};

// A member's state as stored in tables and exchanged between them. Suspicions apply to
// exactly this incarnation and version, so a member refutes them by raising its version.
struct MemberEntry {
    MemberKey key = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    // Keys of the registrars whose lease for this version expired. Sorted, unique, at most maxSuspicions.
    std::vector<MemberKey> suspectedBy;
    // Null in a tombstone and in a message that carries only suspicions.
    std::shared_ptr<const MemberDescriptor> descriptor;
    // Digest of the descriptor; zero if there is none.
    std::uint64_t descriptorDigest = 0;

    template <typename Packer>
    void msgpack_pack(Packer& packer) const // NOLINT(readability-identifier-naming): the library prescribes the name.
    {
        packer.pack_array(descriptor ? 2 : 4);
        packer.pack(suspectedBy);
        if (descriptor) {
            packer.pack(*descriptor);
            return;
        }
        packer.pack(key);
        packer.pack(incarnation);
        packer.pack(version);
    }
    // Throws msgpack::type_error on malformed input; the decode functions convert it to an error.
    void msgpack_unpack(const msgpack::object&); // NOLINT(readability-identifier-naming)
};

constexpr std::size_t maxIdBytes = 128;
constexpr std::size_t maxTextBytes = 256;
constexpr std::size_t maxHoldings = 64;
constexpr std::size_t maxServices = 64;
// Beyond this limit, the suspicions of the registrars with the highest rendezvous scores
// are kept. The current registrars are among these.
constexpr std::size_t maxSuspicions = 8;

// Fails with InvalidRequest and a message that names the missing, too long or inconsistent field.
base::Result<void> validateDescriptor(const MemberDescriptor&);

MemberEntry makeEntry(MemberDescriptor);

std::string encode(const MemberDescriptor&);
base::Result<MemberDescriptor> decodeDescriptor(std::string_view);

} // namespace arbutus::membership

MSGPACK_ADD_ENUM(arbutus::membership::MemberKind)
