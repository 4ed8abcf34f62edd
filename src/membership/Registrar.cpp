#include "include/membership/Registrar.h"

#include "include/base/Digest.h"
#include "include/membership/Rendezvous.h"
#include "src/membership/Wire.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace arbutus::membership {

std::string encode(const Heartbeat& message) { return encodeMessage(message); }
std::string encode(const AnnounceAnswer& message) { return encodeMessage(message); }
base::Result<Heartbeat> decodeHeartbeat(std::string_view bytes) { return decodeMessage<Heartbeat>(bytes); }
base::Result<AnnounceAnswer> decodeAnnounceAnswer(std::string_view bytes) { return decodeMessage<AnnounceAnswer>(bytes); }

std::uint32_t versionTag(std::uint64_t incarnation, std::uint64_t version) { return static_cast<std::uint32_t>(mix64(version ^ mix64(incarnation))); }

std::uint16_t registrarsTag(const std::vector<PeerAddress>& registrars)
{
    std::uint64_t tag = 0;
    for (const PeerAddress& peer : registrars)
        tag ^= base::hash64(peer.address, peer.port);
    return static_cast<std::uint16_t>(tag);
}

static std::vector<PeerAddress> addressesOf(const MemberTable& table, const std::vector<MemberKey>& keys)
{
    std::vector<PeerAddress> addresses;
    addresses.reserve(keys.size());
    for (MemberKey key : keys) {
        const MemberDescriptor& descriptor = *table.find(key)->descriptor;
        addresses.push_back({ descriptor.address, descriptor.controlPort });
    }
    return addresses;
}

AnnounceAnswer Registrar::makeAnswer(MemberKey member) const
{
    AnnounceAnswer answer;
    answer.registrars = addressesOf(table_, table_.registrarsOf(member));
    answer.registrarsTag = registrarsTag(answer.registrars);
    if (const MemberEntry* entry = table_.find(member)) {
        const bool isSuspectedHere = std::binary_search(entry->suspectedBy.begin(), entry->suspectedBy.end(), table_.self());
        // A suspicion of another registrar alone is not refuted. Over a bad link it would
        // recur with every lease and be gossiped again each time.
        answer.mustRaiseVersion = isSuspectedHere || table_.isFailed(member);
    }
    return answer;
}

bool Registrar::isRegistrarOf(MemberKey member) const
{
    const std::vector<MemberKey> registrars = table_.registrarsOf(member);
    return std::find(registrars.begin(), registrars.end(), table_.self()) != registrars.end();
}

void Registrar::renew(MemberKey member, base::TimePoint now)
{
    if (auto found = leases_.find(member); found != leases_.end())
        found->second = now + leaseDuration;
    else if (isRegistrarOf(member))
        leases_.emplace(member, now + leaseDuration);
}

AnnounceAnswer Registrar::onAnnouncement(const MemberDescriptor& descriptor, base::TimePoint now)
{
    if (auto checked = validateDescriptor(descriptor); !checked) {
        AnnounceAnswer answer;
        answer.refusal = checked.error().detail;
        return answer;
    }
    const MemberEntry entry = makeEntry(descriptor);
    const MergeOutcome outcome = table_.mergeAnnounced(entry, now);
    AnnounceAnswer answer = makeAnswer(entry.key);
    if (outcome == MergeOutcome::AddressConflict)
        answer.refusal = "another address uses this id with the same or a higher incarnation";
    else if (outcome == MergeOutcome::KeyCollision)
        answer.refusal = "another id has the same key";
    else if (outcome == MergeOutcome::TableFull)
        answer.refusal = "the member table is full";
    else if (outcome == MergeOutcome::Outdated)
        answer.mustRaiseVersion = true;
    if (!isRefused(outcome))
        renew(entry.key, now);
    return answer;
}

std::optional<AnnounceAnswer> Registrar::onHeartbeat(const Heartbeat& heartbeat, base::TimePoint now)
{
    const MemberEntry* entry = table_.find(heartbeat.member);
    AnnounceAnswer answer = makeAnswer(heartbeat.member);
    if (!entry || !entry->descriptor || versionTag(entry->incarnation, entry->version) != heartbeat.versionTag) {
        answer.mustAnnounce = true;
        return answer;
    }
    renew(heartbeat.member, now);
    if (answer.mustRaiseVersion || answer.registrarsTag != heartbeat.registrarsTag)
        return answer;
    return std::nullopt;
}

void Registrar::updateAssignments(base::TimePoint now)
{
    const std::uint64_t generation = table_.registrarGeneration();
    if ((generation == generation_ && tableSize_ == table_.size()) || now < nextAssignmentAt_)
        return;
    nextAssignmentAt_ = now + assignmentInterval;
    std::vector<MemberKey> nodes;
    for (const MemberTable::RegistrarNode& node : table_.registrarNodes())
        nodes.push_back(node.key);
    std::vector<MemberKey> added;
    std::vector<MemberKey> removed;
    std::set_difference(nodes.begin(), nodes.end(), nodes_.begin(), nodes_.end(), std::back_inserter(added));
    std::set_difference(nodes_.begin(), nodes_.end(), nodes.begin(), nodes.end(), std::back_inserter(removed));
    const bool wasEmpty = nodes_.empty();
    nodes_ = std::move(nodes);
    generation_ = generation;
    tableSize_ = table_.size();

    const auto dataCentreOf = [this](MemberKey key) {
        const std::vector<MemberTable::RegistrarNode>& all = table_.registrarNodes();
        return std::lower_bound(all.begin(), all.end(), key, [](const MemberTable::RegistrarNode& node, MemberKey wanted) { return node.key < wanted; })->dataCentre;
    };
    const auto contains = [](const std::vector<MemberKey>& sorted, MemberKey key) { return std::binary_search(sorted.begin(), sorted.end(), key); };
    table_.forEach([&](const MemberEntry& entry, bool) {
        auto [found, isNew] = assignments_.try_emplace(entry.key);
        Assignment& assignment = found->second;
        const bool isAffected = isNew || wasEmpty || !assignment.second || contains(removed, assignment.first) || contains(removed, assignment.second)
            || std::any_of(added.begin(), added.end(), [&](MemberKey node) { return rendezvousScore(RendezvousDomain::Registrar, entry.key, node) > assignment.lowestScore; });
        if (!isAffected)
            return;
        const std::vector<MemberKey> registrars = table_.registrarsOf(entry.key);
        assignment = {};
        if (!registrars.empty())
            assignment.first = registrars.front();
        if (registrars.size() > 1) {
            assignment.second = registrars.back();
            // If both registrars are in one data centre, any node of another one may replace one of them.
            const bool isDiverse = dataCentreOf(assignment.first) != dataCentreOf(assignment.second);
            assignment.lowestScore = !isDiverse ? 0 : std::min(rendezvousScore(RendezvousDomain::Registrar, entry.key, assignment.first), rendezvousScore(RendezvousDomain::Registrar, entry.key, assignment.second));
        }
        const bool isAssignedHere = entry.key != table_.self() && (assignment.first == table_.self() || assignment.second == table_.self());
        if (isAssignedHere)
            leases_.try_emplace(entry.key, now + leaseDuration);
        else
            leases_.erase(entry.key);
    });
    if (assignments_.size() > table_.size()) {
        for (auto each = assignments_.begin(); each != assignments_.end();)
            each = table_.find(each->first) ? std::next(each) : assignments_.erase(each);
    }
}

void Registrar::tick(base::TimePoint now, bool isIsolated)
{
    updateAssignments(now);
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (!table_.find(lease->first)) {
            lease = leases_.erase(lease);
            continue;
        }
        if (isIsolated || wasIsolated_)
            lease->second = std::max(lease->second, now + leaseDuration);
        else if (now >= lease->second) {
            // The registrars may have changed since the last assignment.
            if (isRegistrarOf(lease->first))
                table_.recordSuspicion(lease->first, table_.self(), now);
            // A version learned only through gossip gets a full lease too.
            lease->second = now + leaseDuration;
        }
        ++lease;
    }
    wasIsolated_ = isIsolated;
}

std::vector<HeartbeatSender::Outgoing> HeartbeatSender::tick(const MemberTable& table, base::TimePoint now)
{
    if (now < nextAt_)
        return {};
    nextAt_ = now + heartbeatInterval;
    const MemberDescriptor& self = table.selfDescriptor();
    std::vector<Outgoing> outgoing;
    const std::vector<PeerAddress> registrars = addressesOf(table, table.registrarsOf(table.self()));
    outgoing.reserve(registrars.size());
    for (const PeerAddress& peer : registrars)
        outgoing.push_back({ peer, { table.self(), versionTag(self.incarnation, self.version), registrarsTag(registrars) } });
    return outgoing;
}

} // namespace arbutus::membership
