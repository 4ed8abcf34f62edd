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
    // Members with facts; further ones are refused and counted.
    std::size_t members = 20'000;
    // Members without facts; the ones that went out first are dropped.
    std::size_t tombstones = 4'096;
    // How long a member that is out keeps its facts.
    std::chrono::seconds failedRetention { 60 };
    std::chrono::seconds tombstoneRetention { 600 };
    // Entry VMs are remembered longer: their addresses are what heals a partition.
    std::chrono::hours entryVmRetention { 24 };
};

// How long an entry VM must have been eligible before its observations count.
// It is a lease and the time in which a member reports to its new registrars, so
// a returning VM's old observations are refuted before they can take a member out.
constexpr std::chrono::seconds registrarSettlingPeriod { 5 };

constexpr std::size_t bucketCount = 256;

enum class MergeOutcome {
    Unchanged,
    Changed,
    // The entry lost against one with a higher incarnation or version.
    Outdated,
    // Another address holds this id in an incarnation that is not lower.
    AddressConflict,
    // Another id has the same key.
    KeyCollision,
    TableFull,
};

constexpr bool isRefused(MergeOutcome outcome) { return outcome >= MergeOutcome::AddressConflict; }

// The members that this process knows. Merging entries is commutative,
// associative and idempotent: the higher (incarnation, version) wins, equal ones
// unite their observations.
class MemberTable {
public:
    // The facts of this process are its first entry.
    MemberTable(MemberDescriptor self, base::TimePoint now, TableLimits = {});

    MemberKey self() const { return self_; }
    const MemberDescriptor& selfDescriptor() const { return *slots_.at(self_).entry.descriptor; }

    // Merges what a peer or the member itself stated. If two registrars observed this
    // process as lapsed, its version rises at once; for one registrar it rises at
    // most every 10 s.
    MergeOutcome merge(const MemberEntry&, base::TimePoint now);
    // Merges a first copy of a peer's table: its entry VMs count as settled.
    MergeOutcome mergeInitial(const MemberEntry&, base::TimePoint now);
    // Merges what a member announced of itself; refuses another address whose incarnation is not higher.
    MergeOutcome mergeAnnounced(const MemberEntry&, base::TimePoint now);

    // Records that `registrar`'s lease for the current version of `member` has lapsed.
    // Returns false when there is nothing to record.
    bool recordSuspicion(MemberKey member, MemberKey registrar, base::TimePoint now);
    // States new facts of this process; id, incarnation and version are kept, then the version is raised.
    void updateSelf(MemberDescriptor, base::TimePoint now);

    // Applies the passage of time: settling, retention of members that are out. Call it at each tick.
    void refresh(base::TimePoint now);

    // Returns null for a member that is unknown.
    const MemberEntry* find(MemberKey) const;
    // Known with facts and not out. A member that is leaving is still in.
    bool isAlive(MemberKey) const;
    bool isFailed(MemberKey) const;
    // In and not leaving: may receive new work.
    bool isUsable(MemberKey) const;

    std::size_t size() const { return slots_.size(); }
    std::size_t tombstoneCount() const { return tombstoneCount_; }
    std::uint64_t refusedCount() const { return refusedCount_; }
    // Rises whenever the set of entry VMs that may act as registrars changes.
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
    // The entry VMs that may act as registrars, sorted by key: neither leaving nor observed as lapsed by anyone.
    const std::vector<RegistrarNode>& registrarNodes() const;
    // The two registrars of `member`, in different data centres where there is more than one; fewer in a fleet that has fewer.
    std::vector<MemberKey> registrarsOf(MemberKey member) const { return chooseRegistrars(member, std::nullopt); }

    // Keys of the other entry VMs that are in, and of those that are out, for gossip.
    const std::vector<MemberKey>& alivePeers() const;
    const std::vector<MemberKey>& failedPeers() const;

    // Digest over all members that are not out; equal tables have equal digests.
    std::uint64_t digest() const { return digest_; }
    const std::array<std::uint64_t, bucketCount>& bucketDigests() const { return bucketDigests_; }
    static std::size_t bucketOf(MemberKey key) { return key >> 56; }
    // The content hash of one entry as the digests use it.
    static std::uint64_t entryHash(const MemberEntry&);

    struct Change {
        MemberKey key;
        // Only the observations are new.
        bool isSuspicionOnly;
    };
    // Returns and clears what has changed since the last call.
    std::vector<Change> drainChanges() { return std::exchange(changes_, {}); }

private:
    struct Slot {
        MemberEntry entry;
        // What this entry contributes to the digests; zero while it is out.
        std::uint64_t digestShare = 0;
        bool isFailed = false;
        // Since when it is out or lacks its facts; the epoch time otherwise.
        base::TimePoint inactiveSince {};
        // Of an entry VM that may act as registrar.
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
    // Members with observations or without facts: the only ones that time can change.
    std::unordered_set<MemberKey> watched_;
    std::uint64_t digest_ = 0;
    std::array<std::uint64_t, bucketCount> bucketDigests_ {};
    std::vector<Change> changes_;
    std::size_t tombstoneCount_ = 0;
    std::uint64_t refusedCount_ = 0;
    std::uint64_t registrarGeneration_ = 1;
    // When the last entry VM that became eligible has settled.
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
