#pragma once

#include "include/base/Time.h"
#include "include/consensus/Messages.h"

#include <map>
#include <set>
#include <vector>

namespace arbutus::consensus {

// Since when a replica has heard nothing from each other one, and when it last had contact that
// proves that a voter can't have voted in a half that is apart from this replica. Times are those
// of the replica's clock. Not thread-safe.
class VoterContacts {
public:
    // `separationTimeout` must be the same at all replicas.
    VoterContacts(const ReplicaKey& self, std::chrono::nanoseconds separationTimeout, base::TimePoint startedAt)
        : self_(self)
        , separationTimeout_(separationTimeout)
        , startedAt_(startedAt)
    {
    }

    void recordMessageFrom(const ReplicaKey& sender, base::TimePoint now) { heardAt_[sender] = now; }
    // Whether nothing has arrived from the voter for the separation timeout.
    bool isApartFrom(const ReplicaKey& voter, base::TimePoint now) const;

    // Records that this replica sent a message at `sentAt` that the voter has answered, while this
    // replica had stored all that was committed.
    void recordContact(const ReplicaKey& voter, base::TimePoint sentAt);
    // Returns the voters whose contact is so recent that none of them can have voted in a half
    // that is apart from this replica.
    std::set<ReplicaKey> recentContacts(base::TimePoint now) const;

    // Returns the recent contacts for the hard state.
    std::vector<StoredContact> store(base::TimePoint now) const;
    // Adds the contacts of an earlier process whose times are of the same clock.
    void load(const std::vector<StoredContact>&, base::TimePoint now);
    // Forgets what is too old to matter.
    void forgetOld(base::TimePoint now);

private:
    bool isRecent(base::TimePoint sentAt, base::TimePoint now) const;

    const ReplicaKey self_;
    const std::chrono::nanoseconds separationTimeout_;
    const base::TimePoint startedAt_;
    std::map<ReplicaKey, base::TimePoint> heardAt_;
    std::map<ReplicaKey, base::TimePoint> contactAt_;
};

} // namespace arbutus::consensus
