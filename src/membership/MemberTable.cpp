#include "include/membership/MemberTable.h"

#include "include/base/Digest.h"
#include "include/membership/Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace arbutus::membership {

static constexpr std::size_t registrarsPerMember = 2;

// One registrar behind a bad link observes a lapse again after each refutation.
// It cannot take the member out alone, so refutations are limited.
static constexpr std::chrono::seconds refutationInterval { 10 };

// A partition changes the registrars many times within seconds, and each change
// concerns every member with observations. New observations count at once.
static constexpr std::chrono::milliseconds evaluationInterval { 250 };

static bool isBefore(const MemberEntry& left, const MemberEntry& right)
{
    return left.incarnation != right.incarnation ? left.incarnation < right.incarnation : left.version < right.version;
}

static bool hasSameAddress(const MemberFacts& left, const MemberFacts& right)
{
    return left.address == right.address && left.controlPort == right.controlPort;
}

static bool isRegistrarCandidate(const MemberEntry& entry)
{
    return entry.facts && entry.facts->kind == MemberKind::EntryVm && !entry.facts->isLeaving && entry.lapsedBy.empty();
}

// Unites two sorted sets and keeps the registrars that rank highest for the member.
static std::vector<MemberKey> uniteObservations(MemberKey member, const std::vector<MemberKey>& left, const std::vector<MemberKey>& right)
{
    std::vector<MemberKey> united;
    std::set_union(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(united));
    if (united.size() > maxObservations) {
        std::sort(united.begin(), united.end(), [member](MemberKey first, MemberKey second) {
            return rendezvousScore(RendezvousUse::Registrar, member, first) > rendezvousScore(RendezvousUse::Registrar, member, second);
        });
        united.resize(maxObservations);
        std::sort(united.begin(), united.end());
    }
    return united;
}

MemberTable::MemberTable(MemberFacts self, base::TimePoint now, TableLimits limits)
    : limits_(limits)
    , self_(memberKey(self.id))
{
    assert(checkFacts(self));
    // A process may act as registrar from its start; settling protects against returning VMs only.
    store(slots_[self_], makeEntry(std::move(self)), now, base::TimePoint {});
}

std::uint64_t MemberTable::entryHash(const MemberEntry& entry)
{
    std::uint64_t hash = mix64(entry.key ^ mix64(entry.incarnation ^ mix64(entry.version ^ mix64(entry.factsDigest))));
    for (MemberKey observer : entry.lapsedBy)
        hash = mix64(hash ^ observer);
    return hash;
}

MergeOutcome MemberTable::merge(const MemberEntry& entry, base::TimePoint now) { return mergeEntry(entry, now, now); }

MergeOutcome MemberTable::mergeInitial(const MemberEntry& entry, base::TimePoint now) { return mergeEntry(entry, now, base::TimePoint {}); }

MergeOutcome MemberTable::mergeAnnounced(const MemberEntry& entry, base::TimePoint now)
{
    assert(entry.facts);
    if (const MemberEntry* known = find(entry.key); known && known->facts && known->incarnation >= entry.incarnation && !hasSameAddress(*known->facts, *entry.facts))
        return refuse(MergeOutcome::RefusedAddress);
    return mergeEntry(entry, now, now);
}

MergeOutcome MemberTable::refuse(MergeOutcome outcome)
{
    ++refusedCount_;
    return outcome;
}

MergeOutcome MemberTable::mergeEntry(const MemberEntry& incoming, base::TimePoint now, base::TimePoint eligibleSince)
{
    // An entry that states nothing must not displace one that does.
    if (!incoming.key || (!incoming.facts && incoming.lapsedBy.empty()))
        return MergeOutcome::Unchanged;
    auto found = slots_.find(incoming.key);
    if (found == slots_.end()) {
        if (incoming.facts ? slots_.size() - tombstoneCount_ >= limits_.members : tombstoneCount_ >= limits_.tombstones)
            return refuse(MergeOutcome::RefusedFull);
        changes_.push_back({ incoming.key, !incoming.facts });
        store(slots_[incoming.key], incoming, now, eligibleSince);
        return MergeOutcome::Changed;
    }

    Slot& slot = found->second;
    const MemberEntry& known = slot.entry;
    if (known.facts && incoming.facts && known.facts->id != incoming.facts->id)
        return refuse(MergeOutcome::RefusedKey);
    if (isBefore(incoming, known)) {
        if (known.facts && incoming.facts && incoming.incarnation < known.incarnation && !hasSameAddress(*known.facts, *incoming.facts))
            return refuse(MergeOutcome::RefusedAddress);
        return MergeOutcome::Outdated;
    }
    if (isBefore(known, incoming)) {
        // Another process uses the id of this one. Raising the version against it would never end.
        if (incoming.key == self_ && incoming.facts && !hasSameAddress(*known.facts, *incoming.facts))
            return refuse(MergeOutcome::RefusedAddress);
        if (incoming.key == self_) {
            // An entry from before a restart whose clock went back: continue above it.
            MemberFacts facts = *known.facts;
            facts.incarnation = incoming.incarnation;
            facts.version = incoming.version + 1;
            store(slot, makeEntry(std::move(facts)), now, base::TimePoint {});
        } else {
            store(slot, incoming, now, eligibleSince);
        }
        changes_.push_back({ incoming.key, false });
        return MergeOutcome::Changed;
    }

    MemberEntry merged = known;
    merged.lapsedBy = uniteObservations(known.key, known.lapsedBy, incoming.lapsedBy);
    const bool hasNewObservations = merged.lapsedBy != known.lapsedBy;
    // One version with two contents is a fault of the member; the tables still agree on one of them.
    const bool hasNewFacts = incoming.factsDigest > known.factsDigest && incoming.key != self_;
    if (!hasNewObservations && !hasNewFacts)
        return MergeOutcome::Unchanged;
    if (hasNewFacts) {
        merged.facts = incoming.facts;
        merged.factsDigest = incoming.factsDigest;
    }
    const bool wasTombstone = !known.facts;
    store(slot, std::move(merged), now, eligibleSince);
    if (incoming.key == self_) {
        refuteIfLapsed(now);
        return MergeOutcome::Changed;
    }
    // An old entry of a member that is out stays a tombstone.
    if (wasTombstone && slot.isOut && slot.entry.facts) {
        MemberEntry tombstone = slot.entry;
        tombstone.facts = nullptr;
        tombstone.factsDigest = 0;
        store(slot, std::move(tombstone), now, eligibleSince);
        if (!hasNewObservations)
            return MergeOutcome::Outdated;
    }
    changes_.push_back({ incoming.key, !hasNewFacts });
    return MergeOutcome::Changed;
}

void MemberTable::refuteIfLapsed(base::TimePoint now)
{
    Slot& slot = slots_.at(self_);
    if (slot.entry.lapsedBy.empty() || (slot.entry.lapsedBy.size() < registrarsPerMember && now < nextRefutationAt_))
        return;
    nextRefutationAt_ = now + refutationInterval;
    MemberFacts facts = *slot.entry.facts;
    ++facts.version;
    store(slot, makeEntry(std::move(facts)), now, base::TimePoint {});
    changes_.push_back({ self_, false });
}

bool MemberTable::observeLapsed(MemberKey member, MemberKey registrar, base::TimePoint now)
{
    auto found = slots_.find(member);
    if (found == slots_.end() || member == self_)
        return false;
    MemberEntry entry = found->second.entry;
    entry.lapsedBy = uniteObservations(member, entry.lapsedBy, { registrar });
    if (entry.lapsedBy == found->second.entry.lapsedBy)
        return false;
    store(found->second, std::move(entry), now, now);
    changes_.push_back({ member, true });
    return true;
}

void MemberTable::updateSelf(MemberFacts facts, base::TimePoint now)
{
    const MemberFacts& current = selfFacts();
    facts.id = current.id;
    facts.incarnation = current.incarnation;
    facts.version = current.version + 1;
    assert(checkFacts(facts));
    store(slots_.at(self_), makeEntry(std::move(facts)), now, base::TimePoint {});
    changes_.push_back({ self_, false });
}

void MemberTable::store(Slot& slot, MemberEntry entry, base::TimePoint now, base::TimePoint eligibleSince)
{
    const bool hadSlot = slot.entry.key != 0;
    const bool wasTombstone = hadSlot && !slot.entry.facts;
    slot.entry = std::move(entry);
    tombstoneCount_ += (slot.entry.facts ? 0 : 1) - (wasTombstone ? 1 : 0);
    if (slot.entry.lapsedBy.empty() && slot.entry.facts)
        watched_.erase(slot.entry.key);
    else
        watched_.insert(slot.entry.key);

    const bool isEligible = isRegistrarCandidate(slot.entry);
    if (isEligible != slot.eligibleSince.has_value()) {
        slot.eligibleSince = isEligible ? std::optional(eligibleSince) : std::nullopt;
        settlesAt_ = std::max(settlesAt_, eligibleSince + registrarSettling);
        ++registrarGeneration_;
        mustEvaluate_ = true;
        areListsCurrent_ = false;
    }
    if (!slot.entry.facts || slot.entry.facts->kind == MemberKind::EntryVm)
        areListsCurrent_ = false;
    evaluate(slot, now);
}

void MemberTable::evaluate(Slot& slot, base::TimePoint now)
{
    bool isOut = false;
    if (!slot.entry.lapsedBy.empty() && slot.entry.key != self_) {
        const std::vector<MemberKey> registrars = chooseRegistrars(slot.entry.key, now);
        // After a partition most entry VMs settle again, and for a while fewer
        // than two of them may judge: one observation must not be enough then.
        isOut = !registrars.empty() && registrars.size() == registrarsOf(slot.entry.key).size() && std::all_of(registrars.begin(), registrars.end(), [&slot](MemberKey registrar) {
            return std::binary_search(slot.entry.lapsedBy.begin(), slot.entry.lapsedBy.end(), registrar);
        });
    }
    if (isOut != slot.isOut) {
        slot.isOut = isOut;
        areListsCurrent_ = false;
    }
    if (!isOut && slot.entry.facts)
        slot.goneSince = {};
    else if (slot.goneSince == base::TimePoint {})
        slot.goneSince = now;
    contribute(slot);
}

void MemberTable::contribute(Slot& slot)
{
    const std::uint64_t contribution = slot.isOut ? 0 : entryHash(slot.entry);
    const std::uint64_t difference = contribution ^ slot.contribution;
    digest_ ^= difference;
    bucketDigests_[bucketOf(slot.entry.key)] ^= difference;
    slot.contribution = contribution;
}

void MemberTable::refresh(base::TimePoint now)
{
    if ((mustEvaluate_ || (settlesAt_ != base::TimePoint {} && now >= settlesAt_)) && now >= nextEvaluationAt_) {
        nextEvaluationAt_ = now + evaluationInterval;
        if (now >= settlesAt_)
            settlesAt_ = {};
        mustEvaluate_ = false;
        for (MemberKey key : watched_)
            evaluate(slots_.at(key), now);
    }
    refuteIfLapsed(now);
    dropExpired(now);
}

void MemberTable::dropExpired(base::TimePoint now)
{
    std::vector<MemberKey> expired;
    std::vector<std::pair<base::TimePoint, MemberKey>> tombstones;
    for (MemberKey key : watched_) {
        Slot& slot = slots_.at(key);
        if (!slot.isOut && slot.entry.facts)
            continue;
        const bool isEntryVm = slot.entry.facts && slot.entry.facts->kind == MemberKind::EntryVm;
        const base::TimePoint expiry = slot.goneSince + (isEntryVm ? std::chrono::seconds(limits_.entryVmRetention) : limits_.outRetention + limits_.tombstoneRetention);
        if (now >= expiry) {
            expired.push_back(key);
        } else if (slot.entry.facts && !isEntryVm && now >= slot.goneSince + limits_.outRetention) {
            slot.entry.facts = nullptr;
            slot.entry.factsDigest = 0;
            ++tombstoneCount_;
        }
        if (!slot.entry.facts)
            tombstones.emplace_back(slot.goneSince, key);
    }
    for (MemberKey key : expired)
        forget(slots_.find(key));
    if (tombstoneCount_ > limits_.tombstones) {
        std::sort(tombstones.begin(), tombstones.end());
        for (const auto& [since, key] : tombstones) {
            if (tombstoneCount_ <= limits_.tombstones)
                break;
            if (auto found = slots_.find(key); found != slots_.end())
                forget(found);
        }
    }
}

void MemberTable::forget(std::unordered_map<MemberKey, Slot>::iterator found)
{
    if (!found->second.entry.facts)
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

bool MemberTable::isIn(MemberKey key) const
{
    auto found = slots_.find(key);
    return found != slots_.end() && found->second.entry.facts && !found->second.isOut;
}

bool MemberTable::isOut(MemberKey key) const
{
    auto found = slots_.find(key);
    return found != slots_.end() && found->second.isOut;
}

bool MemberTable::isUsable(MemberKey key) const
{
    auto found = slots_.find(key);
    return found != slots_.end() && found->second.entry.facts && !found->second.isOut && !found->second.entry.facts->isLeaving;
}

void MemberTable::listNodes() const
{
    if (areListsCurrent_)
        return;
    registrarNodes_.clear();
    peersIn_.clear();
    peersOut_.clear();
    for (const auto& [key, slot] : slots_) {
        if (!slot.entry.facts || slot.entry.facts->kind != MemberKind::EntryVm)
            continue;
        if (slot.eligibleSince)
            registrarNodes_.push_back({ key, base::hash64(slot.entry.facts->dataCentre), *slot.eligibleSince });
        if (key != self_)
            (slot.isOut ? peersOut_ : peersIn_).push_back(key);
    }
    // The order of the hash map must not reach decisions that tests repeat with a seed.
    std::sort(registrarNodes_.begin(), registrarNodes_.end(), [](const RegistrarNode& left, const RegistrarNode& right) { return left.key < right.key; });
    std::sort(peersIn_.begin(), peersIn_.end());
    std::sort(peersOut_.begin(), peersOut_.end());
    areListsCurrent_ = true;
}

const std::vector<MemberTable::RegistrarNode>& MemberTable::registrarNodes() const
{
    listNodes();
    return registrarNodes_;
}

const std::vector<MemberKey>& MemberTable::peersIn() const
{
    listNodes();
    return peersIn_;
}

const std::vector<MemberKey>& MemberTable::peersOut() const
{
    listNodes();
    return peersOut_;
}

std::vector<MemberKey> MemberTable::chooseRegistrars(MemberKey member, std::optional<base::TimePoint> settledAt) const
{
    listNodes();
    const RegistrarNode* first = nullptr;
    const RegistrarNode* second = nullptr;
    std::uint64_t firstScore = 0;
    std::uint64_t secondScore = 0;
    // Best of the nodes outside the data centre of `first`, updated as `first` changes.
    const auto consider = [&](const RegistrarNode& node, bool mustDiffer) {
        const std::uint64_t score = rendezvousScore(RendezvousUse::Registrar, member, node.key);
        if (node.key == member || (settledAt && node.eligibleSince + registrarSettling > *settledAt))
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
