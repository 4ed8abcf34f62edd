#pragma once

#include "include/base/Time.h"
#include "include/membership/Member.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace arbutus::membership {

struct TableLimits {
    // Maximum number of members with a descriptor. Further members are refused and counted.
    std::size_t members = 20'000;
    // Maximum number of members without a descriptor. The oldest are removed first.
    std::size_t tombstones = 4'096;
    // A failed member becomes a tombstone after this time.
    std::chrono::seconds failedRetention { 60 };
    std::chrono::seconds tombstoneRetention { 600 };
    // Failed entry VMs are kept longer, because their addresses are needed to heal a partition.
    std::chrono::hours entryVmRetention { 24 };
};

// An entry VM's suspicions count only after it has been eligible as a registrar for this
// long. The period covers a lease and the time a member needs to report to its new
// registrars. The old suspicions of a returning VM are therefore refuted before they
// can mark a member as failed.
constexpr std::chrono::seconds registrarSettlingPeriod { 5 };

constexpr std::size_t bucketCount = 256;

enum class MergeOutcome {
    Unchanged,
    Changed,
    // The table has a higher incarnation or version.
    Outdated,
    // Another address uses this id with the same or a higher incarnation.
    AddressConflict,
    // Another id has the same key.
    KeyCollision,
    TableFull,
};

constexpr bool isRefused(MergeOutcome outcome) { return outcome >= MergeOutcome::AddressConflict; }

// Replicated table of the members known to this process. Merging entries is commutative,
// associative and idempotent: the higher (incarnation, version) wins, and entries with
// equal ones are merged by the union of their suspicions.
class MemberTable {
public:
    // `self` describes this process and becomes the first entry.
    MemberTable(MemberDescriptor self, base::TimePoint now, TableLimits = {});

    MemberKey self() const { return self_; }
    const MemberDescriptor& selfDescriptor() const { return *slots_.at(self_).entry.descriptor; }

    // Merges an entry received from a peer. Refutes suspicions against this process by
    // raising its version: immediately if two registrars suspect it, at most every 10 s
    // if only one does.
    MergeOutcome merge(const MemberEntry&, base::TimePoint now);
    // Merges an entry of a peer's table during bootstrap. Its entry VMs count as settled.
    MergeOutcome mergeInitial(const MemberEntry&, base::TimePoint now);
    // Merges an announcement by the member itself. Returns AddressConflict if the table has
    // another address for the id and the announced incarnation is not higher. The entry
    // must have a descriptor.
    MergeOutcome mergeAnnounced(const MemberEntry&, base::TimePoint now);

    // Records that `registrar`'s lease for the current version of `member` has expired.
    // Returns false if the member is unknown, is this process or is already suspected by
    // `registrar`.
    bool recordSuspicion(MemberKey member, MemberKey registrar, base::TimePoint now);
    // Replaces the descriptor of this process and raises its version. The id, incarnation
    // and version in the argument are ignored.
    void updateSelf(MemberDescriptor, base::TimePoint now);

    // Applies time-dependent changes: settling of registrars, refutation, and retention of
    // failed members and tombstones. Must be called at each tick.
    void refresh(base::TimePoint now);

    // Returns null if the member is unknown.
    const MemberEntry* find(MemberKey) const;
    // True if the member has a descriptor and is not failed. A leaving member is still alive.
    bool isAlive(MemberKey) const;
    bool isFailed(MemberKey) const;
    // True if the member is alive and not leaving, so it may receive new requests.
    bool isUsable(MemberKey) const;

    std::size_t size() const { return slots_.size(); }
    std::size_t tombstoneCount() const { return tombstoneCount_; }
    std::uint64_t refusedCount() const { return refusedCount_; }
    // Increases whenever the set of entry VMs eligible as registrars changes.
    std::uint64_t registrarGeneration() const { return registrarGeneration_; }

    template <typename Function>
    void forEach(Function function) const
    {
        for (const auto& [key, slot] : slots_)
            function(slot.entry, slot.isFailed);
    }

    struct RegistrarNode {
        MemberKey key;
        std::uint64_t dataCentre;
        base::TimePoint eligibleSince;
    };
    // The entry VMs eligible as registrars, sorted by key. They are neither leaving nor
    // suspected by any registrar.
    const std::vector<RegistrarNode>& registrarNodes() const;
    // Returns the two registrars of `member`, in different data centres if there are
    // several. Returns fewer if the fleet has fewer eligible entry VMs.
    std::vector<MemberKey> registrarsOf(MemberKey member) const { return chooseRegistrars(member, std::nullopt); }

    // Sorted keys of the other entry VMs that are not failed, and of those that are.
    const std::vector<MemberKey>& alivePeers() const;
    const std::vector<MemberKey>& failedPeers() const;

    // Digest over all members that are not failed. Equal tables have equal digests.
    std::uint64_t digest() const { return digest_; }
    const std::array<std::uint64_t, bucketCount>& bucketDigests() const { return bucketDigests_; }
    static std::size_t bucketOf(MemberKey key) { return key >> 56; }
    // Returns the hash of an entry's content, from which the digests are computed.
    static std::uint64_t entryHash(const MemberEntry&);

    struct Change {
        MemberKey key;
        // Only the suspicions changed.
        bool isSuspicionOnly;
    };
    // Returns the changes since the last call and clears them.
    std::vector<Change> drainChanges() { return std::exchange(changes_, {}); }

private:
    struct Slot {
        MemberEntry entry;
        // Value that the digests include for this entry; zero if the member is failed.
        std::uint64_t digestShare = 0;
        bool isFailed = false;
        // Time since which the member is failed or has no descriptor; the epoch otherwise.
        base::TimePoint inactiveSince {};
        // Set for an entry VM that is eligible as a registrar.
        std::optional<base::TimePoint> eligibleSince;
    };

    MergeOutcome mergeEntry(const MemberEntry&, base::TimePoint now, base::TimePoint eligibleSince);
    MergeOutcome refuse(MergeOutcome);
    void refuteSuspicion(base::TimePoint now);
    void store(Slot&, MemberEntry, base::TimePoint now, base::TimePoint eligibleSince);
    void updateStatus(Slot&, base::TimePoint now);
    void updateDigests(Slot&);
    void removeSlot(std::unordered_map<MemberKey, Slot>::iterator);
    void removeExpired(base::TimePoint now);
    void rebuildNodeLists() const;
    std::vector<MemberKey> chooseRegistrars(MemberKey member, std::optional<base::TimePoint> settledAt) const;

    const TableLimits limits_;
    MemberKey self_;
    std::unordered_map<MemberKey, Slot> slots_;
    // Members with suspicions or without a descriptor. Only these change with time.
    std::unordered_set<MemberKey> watched_;
    std::uint64_t digest_ = 0;
    std::array<std::uint64_t, bucketCount> bucketDigests_ {};
    std::vector<Change> changes_;
    std::size_t tombstoneCount_ = 0;
    std::uint64_t refusedCount_ = 0;
    std::uint64_t registrarGeneration_ = 1;
    // Time at which all eligible entry VMs have settled; the epoch if they already have.
    base::TimePoint settlesAt_ {};
    bool needsStatusUpdate_ = false;
    base::TimePoint nextStatusUpdateAt_ {};
    base::TimePoint nextRefutationAt_ {};
    mutable bool areListsCurrent_ = false;
    mutable std::vector<RegistrarNode> registrarNodes_;
    mutable std::vector<MemberKey> alivePeers_;
    mutable std::vector<MemberKey> failedPeers_;
};

} // namespace arbutus::membership
