#include "include/consensus/Quorum.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace arbutus::consensus {

std::size_t QuorumRule::quorumSize(const Configuration& configuration) const
{
    const auto& voters = configuration.voters;
    const bool isAnyLost = std::any_of(voters.begin(), voters.end(), [this](const ReplicaKey& voter) { return isLost(voter); });
    const bool isHalfEnough = isAnyLost && voters.size() % 2 == 0;
    return isHalfEnough ? voters.size() / 2 : configuration.majority();
}

bool QuorumRule::isReachedBy(const HasActed& hasActed) const
{
    assert(!configurations_.empty());
    return std::all_of(configurations_.begin(), configurations_.end(), [&](const Configuration* configuration) {
        const auto& voters = configuration->voters;
        const auto acted = std::count_if(voters.begin(), voters.end(), [&](const ReplicaKey& voter) { return !isLost(voter) && hasActed(voter); });
        return static_cast<std::size_t>(acted) >= quorumSize(*configuration);
    });
}

std::uint64_t QuorumRule::highestReached(const ValueOf& valueOf) const
{
    assert(!configurations_.empty());
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    for (const Configuration* configuration : configurations_) {
        std::vector<std::uint64_t> values;
        for (const ReplicaKey& voter : configuration->voters)
            values.push_back(isLost(voter) ? 0 : valueOf(voter));
        if (values.empty())
            return 0;
        auto last = values.begin() + static_cast<std::ptrdiff_t>(quorumSize(*configuration) - 1);
        std::nth_element(values.begin(), last, values.end(), std::greater<>());
        lowest = std::min(lowest, *last);
    }
    return lowest;
}

} // namespace arbutus::consensus
