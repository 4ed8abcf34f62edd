#include "include/consensus/ReplicaDeparture.h"

namespace arbutus::consensus {

bool ReplicaDeparture::mayEnd(const ReplicaKey& self, const Configuration& configuration, bool isCommitted, base::TimePoint now) const
{
    if (isRemoved_ || now >= deadline_)
        return true;
    if (!configuration.isVoter(self))
        return isCommitted;
    const bool hasSuccessor = configuration.voters.size() > targetVoterCount_ || !configuration.learners.empty();
    return !hasSuccessor;
}

} // namespace arbutus::consensus
