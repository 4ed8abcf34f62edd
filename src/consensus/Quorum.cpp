#include "include/consensus/Quorum.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace arbutus::consensus {

// Half of a smaller set is one voter, whose disk alone would hold what it commits.
static constexpr std::size_t minVotersOfHalves = 4;

static bool hasEvenSize(const Configuration& configuration) { return configuration.voters.size() % 2 == 0; }

bool QuorumRule::isHalfBesideLostVoter(const Configuration& configuration, const std::set<ReplicaKey>& acted) const
{
    // The other half consists of the lost voter and of voters that have not acted.
    auto isInOtherHalf = [&](const ReplicaKey& voter) { return configuration.isVoter(voter) && !acted.count(voter); };
    return std::any_of(lostVoters_.begin(), lostVoters_.end(), [&](const auto& lost) {
        const auto& [voter, contacts] = lost;
        return configuration.isVoter(voter) && std::any_of(contacts.begin(), contacts.end(), isInOtherHalf);
    });
}

bool QuorumRule::isSeparateHalf(const Configuration& configuration, const std::set<ReplicaKey>& acted) const
{
    const auto& [members, others] = separateHalf_;
    auto isOnItsSide = [&, &members = members, &others = others](const ReplicaKey& voter) { return acted.count(voter) ? members.count(voter) : others.count(voter); };
    return configuration.voters.size() >= minVotersOfHalves && acted.count(configuration.tieBreaker()) && std::all_of(configuration.voters.begin(), configuration.voters.end(), isOnItsSide);
}

bool QuorumRule::isReachedIn(const Configuration& configuration, const HasActed& hasActed) const
{
    std::set<ReplicaKey> acted;
    for (const ReplicaKey& voter : configuration.voters) {
        if (!isLost(voter) && hasActed(voter))
            acted.insert(voter);
    }
    if (acted.size() >= configuration.majority())
        return true;
    const bool isHalf = !acted.empty() && hasEvenSize(configuration) && acted.size() == configuration.voters.size() / 2;
    return isHalf && (isHalfBesideLostVoter(configuration, acted) || isSeparateHalf(configuration, acted));
}

bool QuorumRule::isReachedBy(const HasActed& hasActed) const
{
    assert(!configurations_.empty());
    return std::all_of(configurations_.begin(), configurations_.end(), [&](const Configuration* configuration) { return isReachedIn(*configuration, hasActed); });
}

std::uint64_t QuorumRule::highestReached(const ValueOf& valueOf) const
{
    assert(!configurations_.empty());
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    for (const Configuration* configuration : configurations_) {
        std::uint64_t highest = 0;
        for (const ReplicaKey& voter : configuration->voters) {
            const std::uint64_t value = valueOf(voter);
            if (value > highest && isReachedIn(*configuration, [&](const ReplicaKey& other) { return valueOf(other) >= value; }))
                highest = value;
        }
        lowest = std::min(lowest, highest);
    }
    return lowest;
}

bool QuorumRule::hasSeparateHalf() const
{
    return std::any_of(configurations_.begin(), configurations_.end(), [this](const Configuration* configuration) {
        return hasEvenSize(*configuration) && !configuration->voters.empty() && isSeparateHalf(*configuration, separateHalf_.members);
    });
}

} // namespace arbutus::consensus
