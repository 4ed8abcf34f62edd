#include "include/consensus/VoterContacts.h"

#include <algorithm>
#include <iterator>

namespace arbutus::consensus {

// The clocks of two replicas differ by less during a separation timeout.
static constexpr int maxClockDriftPercent = 10;

bool VoterContacts::isApartFrom(const ReplicaKey& voter, base::TimePoint now) const
{
    if (voter == self_)
        return false;
    auto heard = heardAt_.find(voter);
    const auto since = heard == heardAt_.end() ? startedAt_ : std::max(startedAt_, heard->second);
    return now >= since + separationTimeout_;
}

void VoterContacts::recordContact(const ReplicaKey& voter, base::TimePoint sentAt)
{
    auto [contact, isNew] = contactAt_.emplace(voter, sentAt);
    contact->second = std::max(contact->second, sentAt);
}

bool VoterContacts::isRecent(base::TimePoint sentAt, base::TimePoint now) const { return now < sentAt + separationTimeout_ * (100 - maxClockDriftPercent) / 100; }

std::set<ReplicaKey> VoterContacts::recentContacts(base::TimePoint now) const
{
    std::set<ReplicaKey> result;
    for (const auto& [voter, sentAt] : contactAt_) {
        if (isRecent(sentAt, now))
            result.insert(voter);
    }
    return result;
}

std::vector<StoredContact> VoterContacts::store(base::TimePoint now) const
{
    std::vector<StoredContact> result;
    for (const auto& [voter, sentAt] : contactAt_) {
        if (isRecent(sentAt, now))
            result.push_back({ voter, sentAt.time_since_epoch().count() });
    }
    return result;
}

void VoterContacts::load(const std::vector<StoredContact>& contacts, base::TimePoint now)
{
    for (const StoredContact& contact : contacts) {
        if (const base::TimePoint sentAt(std::chrono::nanoseconds(contact.sentAt)); sentAt <= now)
            recordContact(contact.voter, sentAt);
    }
}

void VoterContacts::forgetOld(base::TimePoint now)
{
    for (auto it = heardAt_.begin(); it != heardAt_.end();)
        it = now >= it->second + separationTimeout_ ? heardAt_.erase(it) : std::next(it);
    for (auto it = contactAt_.begin(); it != contactAt_.end();)
        it = isRecent(it->second, now) ? std::next(it) : contactAt_.erase(it);
}

} // namespace arbutus::consensus
