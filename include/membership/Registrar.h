#pragma once

#include "include/membership/MemberTable.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutus::membership {

constexpr std::chrono::seconds leaseDuration { 3 };
constexpr std::chrono::seconds heartbeatInterval { 1 };
// Minimum interval between reassignments of members to registrars. At full size one
// reassignment can take 70 ms of CPU time, and the loss of a data centre causes hundreds
// of ranking changes in a row.
constexpr std::chrono::milliseconds assignmentInterval { 500 };

// Renews a lease without repeating the descriptor. Every member, including entry VMs and
// replicas, sends one per second to each of its two registrars.
struct Heartbeat {
    MemberKey member = 0;
    // versionTag() of the member's incarnation and version. Heartbeats make up most of a
    // node's control traffic, so they carry short tags instead of the full values.
    std::uint32_t versionTag = 0;
    // registrarsTag() of the registrars that the member currently uses.
    std::uint16_t registrarsTag = 0;

    MSGPACK_DEFINE(member, versionTag, registrarsTag)
};

struct AnnounceAnswer {
    std::vector<PeerAddress> registrars;
    // The member repeats this tag in each heartbeat while it uses `registrars`.
    std::uint16_t registrarsTag = 0;
    // The registrar lacks the descriptor of this version. The member must announce it.
    bool mustAnnounce = false;
    // The registrar suspects the member, considers it failed or has a higher version. The
    // member must raise its version and announce it.
    bool mustRaiseVersion = false;
    // Reason for refusing the announcement; empty if it was accepted.
    std::string refusal;

    MSGPACK_DEFINE(registrars, registrarsTag, mustAnnounce, mustRaiseVersion, refusal)
};

std::string encode(const Heartbeat&);
std::string encode(const AnnounceAnswer&);
base::Result<Heartbeat> decodeHeartbeat(std::string_view);
base::Result<AnnounceAnswer> decodeAnnounceAnswer(std::string_view);

// Failure detector on an entry VM. Holds the leases of the members that rendezvous hashing
// assigns to this VM and records a suspicion when a lease expires.
class Registrar {
public:
    // `table` must outlive the registrar.
    explicit Registrar(MemberTable& table)
        : table_(table)
    {
    }

    // Merges a member's descriptor into the table and renews its lease, or returns the
    // reason for refusing it.
    AnnounceAnswer onAnnouncement(const MemberDescriptor&, base::TimePoint now);
    // Renews a lease. Returns an answer only if the member must announce itself, raise its
    // version or change its registrars.
    std::optional<AnnounceAnswer> onHeartbeat(const Heartbeat&, base::TimePoint now);
    // Updates the assignment of members and records a suspicion for each expired lease.
    // While `isIsolated` (Gossip::isIsolated()) is true no lease expires, because the fault
    // is likely this VM's own link. Must be called at least every 250 ms.
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
        // A node that joins can change the assignment only if its score is higher than this.
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

// Returns a short hash of an incarnation and a version.
std::uint32_t versionTag(std::uint64_t incarnation, std::uint64_t version);
// Returns a short hash of a set of registrars, independent of their order.
std::uint16_t registrarsTag(const std::vector<PeerAddress>&);

// Schedules the heartbeats that this entry VM sends to its own registrars.
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
