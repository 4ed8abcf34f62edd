#pragma once

#include "include/membership/MemberTable.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutus::membership {

constexpr std::chrono::seconds leaseDuration { 3 };
constexpr std::chrono::seconds heartbeatInterval { 1 };
// Changes of the ranking are applied at most this often: at the full size one
// may cost 70 ms of processor time, and a lost data centre brings hundreds in a row.
constexpr std::chrono::milliseconds assignmentInterval { 500 };

// Renews a lease without repeating the facts. A member sends it each second to
// its two registrars; entry VMs and replicas do the same.
struct Heartbeat {
    MemberKey member = 0;
    // versionTag() of the member's incarnation and version. Heartbeats are most
    // of a node's control traffic, so they carry tags in place of the numbers.
    std::uint32_t versionTag = 0;
    // registrarsTag() of the registrars that the member uses.
    std::uint16_t registrarsTag = 0;

    MSGPACK_DEFINE(member, versionTag, registrarsTag)
};

struct AnnounceAnswer {
    std::vector<PeerAddress> registrars;
    // The value to repeat in each heartbeat while `registrars` are in use.
    std::uint16_t registrarsTag = 0;
    // The registrar does not hold the facts of this version: announce them.
    bool mustAnnounce = false;
    // The member was observed as lapsed: raise the version, then announce.
    bool mustRaiseVersion = false;
    // Empty unless the announcement was refused.
    std::string refusal;

    MSGPACK_DEFINE(registrars, registrarsTag, mustAnnounce, mustRaiseVersion, refusal)
};

std::string encode(const Heartbeat&);
std::string encode(const AnnounceAnswer&);
base::Result<Heartbeat> decodeHeartbeat(std::string_view);
base::Result<AnnounceAnswer> decodeAnnounceAnswer(std::string_view);

// Holds the leases of the members that the rendezvous ranking gives to this entry VM.
class Registrar {
public:
    // `table` must outlive the registrar.
    explicit Registrar(MemberTable& table)
        : table_(table)
    {
    }

    // Accepts the facts of a member and renews its lease.
    AnnounceAnswer onAnnouncement(const MemberDescriptor&, base::TimePoint now);
    // Renews a lease. Returns an answer only when the member has something to change.
    std::optional<AnnounceAnswer> onHeartbeat(const Heartbeat&, base::TimePoint now);
    // Takes over and hands over members, and records the leases that lapsed.
    // While `isCutOff` (Gossip::isCutOff) no lease lapses: the fault is likely
    // this VM's own link. Call it at least every 250 ms.
    void tick(base::TimePoint now, bool isIsolated);

    std::size_t leaseCount() const { return leases_.size(); }

private:
    AnnounceAnswer makeAnswer(MemberKey) const;
    bool isRegistrarOf(MemberKey) const;
    void renew(MemberKey, base::TimePoint now);
    void updateAssignments(base::TimePoint now);

    struct Assignment {
        MemberKey first = 0;
        MemberKey second = 0;
        // A node that joins with a higher score may change the assignment.
        std::uint64_t lowestScore = 0;
    };

    MemberTable& table_;
    std::unordered_map<MemberKey, base::TimePoint> leases_;
    std::unordered_map<MemberKey, Assignment> assignments_;
    std::vector<MemberKey> nodes_;
    std::uint64_t generation_ = 0;
    std::size_t tableSize_ = 0;
    base::TimePoint nextAssignmentAt_ {};
    bool wasIsolated_ = false;
};

std::uint32_t versionTag(std::uint64_t incarnation, std::uint64_t version);
// Returns a short tag of a set of registrars.
std::uint16_t registrarsTag(const std::vector<PeerAddress>&);

// The member's side: what an entry VM sends to its registrars.
class HeartbeatSender {
public:
    struct Outgoing {
        PeerAddress to;
        Heartbeat heartbeat;
    };
    // Returns the heartbeats that are due.
    std::vector<Outgoing> tick(const MemberTable&, base::TimePoint now);

private:
    base::TimePoint nextAt_ {};
};

} // namespace arbutus::membership
