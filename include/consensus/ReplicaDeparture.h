#pragma once

#include "include/base/Time.h"
#include "include/consensus/Messages.h"

namespace arbutus::consensus {

// Decides when the process of a replica that has been told to stop may end. A voter that
// has a successor first waits for its removal: until then it counts towards the quorum, so
// that its end and the loss of one more voter might leave no quorum for good. Without a
// successor it ends at once, because it is expected to return with its disk.
class ReplicaDeparture {
public:
    // The process may end at `deadline` in any case.
    ReplicaDeparture(std::size_t targetVoterCount, base::TimePoint deadline)
        : targetVoterCount_(targetVoterCount)
        , deadline_(deadline)
    {
    }

    // Records that the leader has confirmed the removal.
    void recordRemoval() { isRemoved_ = true; }

    // `configuration` is the newest one in the replica's log; `isCommitted` tells whether
    // the replica knows that it is committed.
    bool mayEnd(const ReplicaKey& self, const Configuration& configuration, bool isCommitted, base::TimePoint now) const;

private:
    std::size_t targetVoterCount_;
    base::TimePoint deadline_;
    bool isRemoved_ = false;
};

} // namespace arbutus::consensus
