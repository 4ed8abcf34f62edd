#include "include/membership/MemberTable.h"

#include "include/base/Digest.h"
#include "include/membership/Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace arbutus::membership {

static constexpr std::size_t registrarsPerMember = 2;

// A registrar behind a bad link suspects the member again after each refutation. It
// cannot fail the member alone, so refutations are rate-limited.
static constexpr std::chrono::seconds refutationInterval { 10 };

// A partition changes the set of registrars many times within seconds, and each change
// affects every member with suspicions, so updates are batched. New suspicions take
// effect immediately.
static constexpr std::chrono::milliseconds statusUpdateInterval { 250 };

static bool isOlder(const MemberEntry& left, const MemberEntry& right)
{
    return left.incarnation != right.incarnation ? left.incarnation < right.incarnation : left.version < right.version;
}

static bool hasSameAddress(const MemberDescriptor& left, const MemberDescriptor& right)
{
    return left.address == right.address && left.controlPort == right.controlPort;
}

static bool isRegistrarEligible(const MemberEntry& entry)
{
    return entry.descriptor && entry.descriptor->kind == MemberKind::EntryVm && !entry.descriptor->isLeaving && entry.suspectedBy.empty();
}

// Returns the union of two sorted sets, limited to the registrars with the highest
// rendezvous scores for the member.
static std::vector<MemberKey> mergeSuspicions(MemberKey member, const std::vector<MemberKey>& left, const std::vector<MemberKey>& right)
{
    std::vector<MemberKey> united;
    std::set_union(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(united));
    if (united.size() > maxSuspicions) {
        std::sort(united.begin(), united.end(), [member](MemberKey first, MemberKey second) {
            return rendezvousScore(RendezvousDomain::Registrar, member, first) > rendezvousScore(RendezvousDomain::Registrar, member, second);
        });
        united.resize(maxSuspicions);
        std::sort(united.begin(), united.end());
    }
    return united;
}

MemberTable::MemberTable(MemberDescriptor self, base::TimePoint now, TableLimits limits)
    : limits_(limits)
    , self_(memberKey(self.id))
{
    assert(validateDescriptor(self));
    // This process is settled from its start. Settling only protects against returning VMs.
    store(slots_[self_], makeEntry(std::move(self)), now, base::TimePoint {});
}

std::uint64_t MemberTable::entryHash(const MemberEntry& entry)
{
    std::uint64_t hash = mix64(entry.key ^ mix64(entry.incarnation ^ mix64(entry.version ^ mix64(entry.descriptorDigest))));
    for (MemberKey suspectingRegistrar : entry.suspectedBy)
        hash = mix64(hash ^ suspectingRegistrar);
    return hash;
}

MergeOutcome MemberTable::merge(const MemberEntry& entry, base::TimePoint now) { return mergeEntry(entry, now, now); }

MergeOutcome MemberTable::mergeInitial(const MemberEntry& entry, base::TimePoint now) { return mergeEntry(entry, now, base::TimePoint {}); }

MergeOutcome MemberTable::mergeAnnounced(const MemberEntry& entry, base::TimePoint now)
{
    assert(entry.descriptor);
    if (const MemberEntry* known = find(entry.key); known && known->descriptor && known->incarnation >= entry.incarnation && !hasSameAddress(*known->descriptor, *entry.descriptor))
        return refuse(MergeOutcome::AddressConflict);
    return mergeEntry(entry, now, now);
}

MergeOutcome MemberTable::refuse(MergeOutcome outcome)
{
    ++refusedCount_;
    return outcome;
}

MergeOutcome MemberTable::mergeEntry(const MemberEntry& incoming, base::TimePoint now, base::TimePoint eligibleSince)
{
    // An entry without descriptor and suspicions must not replace one that has content.
    if (!incoming.key || (!incoming.descriptor && incoming.suspectedBy.empty()))
        return MergeOutcome::Unchanged;
    auto found = slots_.find(incoming.key);
    if (found == slots_.end()) {
        if (incoming.descriptor ? slots_.size() - tombstoneCount_ >= limits_.members : tombstoneCount_ >= limits_.tombstones)
            return refuse(MergeOutcome::TableFull);
        changes_.push_back({ incoming.key, !incoming.descriptor });
        store(slots_[incoming.key], incoming, now, eligibleSince);
        return MergeOutcome::Changed;
    }

    Slot& slot = found->second;
    const MemberEntry& known = slot.entry;
    if (known.descriptor && incoming.descriptor && known.descriptor->id != incoming.descriptor->id)
        return refuse(MergeOutcome::KeyCollision);
    if (isOlder(incoming, known)) {
        if (known.descriptor && incoming.descriptor && incoming.incarnation < known.incarnation && !hasSameAddress(*known.descriptor, *incoming.descriptor))
            return refuse(MergeOutcome::AddressConflict);
        return MergeOutcome::Outdated;
    }
    if (isOlder(known, incoming)) {
        // Another process uses the id of this one. Refuting it would raise the version endlessly.
        if (incoming.key == self_ && incoming.descriptor && !hasSameAddress(*known.descriptor, *incoming.descriptor))
            return refuse(MergeOutcome::AddressConflict);
        if (incoming.key == self_) {
            // The entry predates a restart during which the clock moved backwards. Continues
            // above its version.
            MemberDescriptor descriptor = *known.descriptor;
            descriptor.incarnation = incoming.incarnation;
            descriptor.version = incoming.version + 1;
            store(slot, makeEntry(std::move(descriptor)), now, base::TimePoint {});
        } else {
            store(slot, incoming, now, eligibleSince);
        }
        changes_.push_back({ incoming.key, false });
        return MergeOutcome::Changed;
    }

    MemberEntry merged = known;
    merged.suspectedBy = mergeSuspicions(known.key, known.suspectedBy, incoming.suspectedBy);
    const bool hasNewSuspicions = merged.suspectedBy != known.suspectedBy;
    // One version with two descriptors is a fault of the member. The higher digest wins,
    // so that all tables agree.
    const bool hasNewDescriptor = incoming.descriptorDigest > known.descriptorDigest && incoming.key != self_;
    if (!hasNewSuspicions && !hasNewDescriptor)
        return MergeOutcome::Unchanged;
    if (hasNewDescriptor) {
        merged.descriptor = incoming.descriptor;
        merged.descriptorDigest = incoming.descriptorDigest;
    }
    const bool wasTombstone = !known.descriptor;
    store(slot, std::move(merged), now, eligibleSince);
    if (incoming.key == self_) {
        refuteSuspicion(now);
        return MergeOutcome::Changed;
    }
    // A stale entry does not restore the descriptor of a failed member.
    if (wasTombstone && slot.isFailed && slot.entry.descriptor) {
        MemberEntry tombstone = slot.entry;
        tombstone.descriptor = nullptr;
        tombstone.descriptorDigest = 0;
        store(slot, std::move(tombstone), now, eligibleSince);
        if (!hasNewSuspicions)
            return MergeOutcome::Outdated;
    }
    changes_.push_back({ incoming.key, !hasNewDescriptor });
    return MergeOutcome::Changed;
}

void MemberTable::refuteSuspicion(base::TimePoint now)
{
    Slot& slot = slots_.at(self_);
    if (slot.entry.suspectedBy.empty() || (slot.entry.suspectedBy.size() < registrarsPerMember && now < nextRefutationAt_))
        return;
    nextRefutationAt_ = now + refutationInterval;
    MemberDescriptor descriptor = *slot.entry.descriptor;
    ++descriptor.version;
    store(slot, makeEntry(std::move(descriptor)), now, base::TimePoint {});
    changes_.push_back({ self_, false });
}

bool MemberTable::recordSuspicion(MemberKey member, MemberKey registrar, base::TimePoint now)
{
    auto found = slots_.find(member);
    if (found == slots_.end() || member == self_)
        return false;
    MemberEntry entry = found->second.entry;
    entry.suspectedBy = mergeSuspicions(member, entry.suspectedBy, { registrar });
    if (entry.suspectedBy == found->second.entry.suspectedBy)
        return false;
    store(found->second, std::move(entry), now, now);
    changes_.push_back({ member, true });
    return true;
}

void MemberTable::updateSelf(MemberDescriptor descriptor, base::TimePoint now)
{
    const MemberDescriptor& current = selfDescriptor();
    descriptor.id = current.id;
    descriptor.incarnation = current.incarnation;
    descriptor.version = current.version + 1;
    assert(validateDescriptor(descriptor));
    store(slots_.at(self_), makeEntry(std::move(descriptor)), now, base::TimePoint {});
    changes_.push_back({ self_, false });
}

void MemberTable::store(Slot& slot, MemberEntry entry, base::TimePoint now, base::TimePoint eligibleSince)
{
    const bool hadSlot = slot.entry.key != 0;
    const bool wasTombstone = hadSlot && !slot.entry.descriptor;
    slot.entry = std::move(entry);
    tombstoneCount_ += (slot.entry.descriptor ? 0 : 1) - (wasTombstone ? 1 : 0);
    if (slot.entry.suspectedBy.empty() && slot.entry.descriptor)
        watched_.erase(slot.entry.key);
    else
        watched_.insert(slot.entry.key);

    const bool isEligible = isRegistrarEligible(slot.entry);
    if (isEligible != slot.eligibleSince.has_value()) {
        slot.eligibleSince = isEligible ? std::optional(eligibleSince) : std::nullopt;
        settlesAt_ = std::max(settlesAt_, eligibleSince + registrarSettlingPeriod);
        ++registrarGeneration_;
        needsStatusUpdate_ = true;
        areListsCurrent_ = false;
    }
    if (!slot.entry.descriptor || slot.entry.descriptor->kind == MemberKind::EntryVm)
        areListsCurrent_ = false;
    updateStatus(slot, now);
}

void MemberTable::updateStatus(Slot& slot, base::TimePoint now)
{
    bool isFailed = false;
    if (!slot.entry.suspectedBy.empty() && slot.entry.key != self_) {
        const std::vector<MemberKey> registrars = chooseRegistrars(slot.entry.key, now);
        // After a partition most entry VMs have to settle again, and for a while fewer than
        // two are settled. A single suspicion must not suffice then.
        isFailed = !registrars.empty() && registrars.size() == registrarsOf(slot.entry.key).size() && std::all_of(registrars.begin(), registrars.end(), [&slot](MemberKey registrar) {
            return std::binary_search(slot.entry.suspectedBy.begin(), slot.entry.suspectedBy.end(), registrar);
        });
    }
    if (isFailed != slot.isFailed) {
        slot.isFailed = isFailed;
        areListsCurrent_ = false;
    }
    if (!isFailed && slot.entry.descriptor)
        slot.inactiveSince = {};
    else if (slot.inactiveSince == base::TimePoint {})
        slot.inactiveSince = now;
    updateDigests(slot);
}

void MemberTable::updateDigests(Slot& slot)
{
    const std::uint64_t digestShare = slot.isFailed ? 0 : entryHash(slot.entry);
    const std::uint64_t difference = digestShare ^ slot.digestShare;
    digest_ ^= difference;
    bucketDigests_[bucketOf(slot.entry.key)] ^= difference;
    slot.digestShare = digestShare;
}

void MemberTable::refresh(base::TimePoint now)
{
    if ((needsStatusUpdate_ || (settlesAt_ != base::TimePoint {} && now >= settlesAt_)) && now >= nextStatusUpdateAt_) {
        nextStatusUpdateAt_ = now + statusUpdateInterval;
        if (now >= settlesAt_)
            settlesAt_ = {};
        needsStatusUpdate_ = false;
        for (MemberKey key : watched_)
            updateStatus(slots_.at(key), now);
    }
    refuteSuspicion(now);
    removeExpired(now);
}

void MemberTable::removeExpired(base::TimePoint now)
{
    std::vector<MemberKey> expired;
    std::vector<std::pair<base::TimePoint, MemberKey>> tombstones;
    for (MemberKey key : watched_) {
        Slot& slot = slots_.at(key);
        if (!slot.isFailed && slot.entry.descriptor)
            continue;
        const bool isEntryVm = slot.entry.descriptor && slot.entry.descriptor->kind == MemberKind::EntryVm;
        const base::TimePoint expiry = slot.inactiveSince + (isEntryVm ? std::chrono::seconds(limits_.entryVmRetention) : limits_.failedRetention + limits_.tombstoneRetention);
        if (now >= expiry) {
            expired.push_back(key);
        } else if (slot.entry.descriptor && !isEntryVm && now >= slot.inactiveSince + limits_.failedRetention) {
            slot.entry.descriptor = nullptr;
            slot.entry.descriptorDigest = 0;
            ++tombstoneCount_;
        }
        if (!slot.entry.descriptor)
            tombstones.emplace_back(slot.inactiveSince, key);
    }
    for (MemberKey key : expired)
        removeSlot(slots_.find(key));
    if (tombstoneCount_ > limits_.tombstones) {
        std::sort(tombstones.begin(), tombstones.end());
        for (const auto& [since, key] : tombstones) {
            if (tombstoneCount_ <= limits_.tombstones)
                break;
            if (auto found = slots_.find(key); found != slots_.end())
                removeSlot(found);
        }
    }
}

void MemberTable::removeSlot(std::unordered_map<MemberKey, Slot>::iterator found)
{
    if (!found->second.entry.descriptor)
        --tombstoneCount_;
    watched_.erase(found->first);
    slots_.erase(found);
    areListsCurrent_ = false;
}

const MemberEntry* MemberTable::find(MemberKey key) const
{
    auto found = slots_.find(key);
    return found == slots_.end() ? nullptr : &found->second.entry;
}

bool MemberTable::isAlive(MemberKey key) const
{
    auto found = slots_.find(key);
    return found != slots_.end() && found->second.entry.descriptor && !found->second.isFailed;
}

bool MemberTable::isFailed(MemberKey key) const
{
    auto found = slots_.find(key);
    return found != slots_.end() && found->second.isFailed;
}

bool MemberTable::isUsable(MemberKey key) const
{
    auto found = slots_.find(key);
    return found != slots_.end() && found->second.entry.descriptor && !found->second.isFailed && !found->second.entry.descriptor->isLeaving;
}

void MemberTable::rebuildNodeLists() const
{
    if (areListsCurrent_)
        return;
    registrarNodes_.clear();
    alivePeers_.clear();
    failedPeers_.clear();
    for (const auto& [key, slot] : slots_) {
        if (!slot.entry.descriptor || slot.entry.descriptor->kind != MemberKind::EntryVm)
            continue;
        if (slot.eligibleSince)
            registrarNodes_.push_back({ key, base::hash64(slot.entry.descriptor->dataCentre), *slot.eligibleSince });
        if (key != self_)
            (slot.isFailed ? failedPeers_ : alivePeers_).push_back(key);
    }
    // Sorted because decisions must not depend on hash map order; tests replay them with a seed.
    std::sort(registrarNodes_.begin(), registrarNodes_.end(), [](const RegistrarNode& left, const RegistrarNode& right) { return left.key < right.key; });
    std::sort(alivePeers_.begin(), alivePeers_.end());
    std::sort(failedPeers_.begin(), failedPeers_.end());
    areListsCurrent_ = true;
}

const std::vector<MemberTable::RegistrarNode>& MemberTable::registrarNodes() const
{
    rebuildNodeLists();
    return registrarNodes_;
}

const std::vector<MemberKey>& MemberTable::alivePeers() const
{
    rebuildNodeLists();
    return alivePeers_;
}

const std::vector<MemberKey>& MemberTable::failedPeers() const
{
    rebuildNodeLists();
    return failedPeers_;
}

std::vector<MemberKey> MemberTable::chooseRegistrars(MemberKey member, std::optional<base::TimePoint> settledAt) const
{
    rebuildNodeLists();
    const RegistrarNode* first = nullptr;
    const RegistrarNode* second = nullptr;
    std::uint64_t firstScore = 0;
    std::uint64_t secondScore = 0;
    // Updates `first`, or `second` if `mustDiffer`, when the node has a higher score. Skips
    // the member itself and, if `settledAt` is set, nodes that have not settled by then.
    const auto consider = [&](const RegistrarNode& node, bool mustDiffer) {
        const std::uint64_t score = rendezvousScore(RendezvousDomain::Registrar, member, node.key);
        if (node.key == member || (settledAt && node.eligibleSince + registrarSettlingPeriod > *settledAt))
            return;
        if (!mustDiffer) {
            if (!first || score > firstScore) {
                first = &node;
                firstScore = score;
            }
        } else if (&node != first && (!second || score > secondScore)) {
            second = &node;
            secondScore = score;
        }
    };
    for (const RegistrarNode& node : registrarNodes_)
        consider(node, false);
    if (!first)
        return {};
    for (const RegistrarNode& node : registrarNodes_) {
        if (node.dataCentre != first->dataCentre)
            consider(node, true);
    }
    if (!second) {
        for (const RegistrarNode& node : registrarNodes_)
            consider(node, true);
    }
    std::vector<MemberKey> registrars { first->key };
    if (second)
        registrars.push_back(second->key);
    assert(registrars.size() <= registrarsPerMember);
    return registrars;
}

} // namespace arbutus::membership
