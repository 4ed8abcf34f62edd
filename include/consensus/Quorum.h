#pragma once

#include "include/consensus/Messages.h"

#include <functional>
#include <set>
#include <vector>

namespace arbutus::consensus {

// Decides which voters are enough for an election, a commit or a lease: a quorum of each
// configuration in force.
//
// A quorum is a majority of the voters. In a set of even size, half of it is enough if one of
// the other voters is known to have lost its disk: that voter will never act again, and the
// half is a majority of the rest. Any two such quorums have a voter in common that acted in
// both with the same disk, provided that every act that is counted together with a loss took
// place after the loss; see docs/design/quorum-with-a-lost-disk.md.
class QuorumRule {
public:
    using HasActed = std::function<bool(const ReplicaKey&)>;
    using ValueOf = std::function<std::uint64_t(const ReplicaKey&)>;

    // `configurations` must not be empty, and must outlive this object like `lostVoters`.
    QuorumRule(std::vector<const Configuration*> configurations, const std::set<ReplicaKey>& lostVoters)
        : configurations_(std::move(configurations))
        , lostVoters_(lostVoters)
    {
    }

    // Whether the voters that have acted are enough.
    bool isReachedBy(const HasActed&) const;
    // Returns the highest value that enough voters have reached.
    std::uint64_t highestReached(const ValueOf&) const;

private:
    bool isLost(const ReplicaKey& voter) const { return lostVoters_.count(voter) > 0; }
    std::size_t quorumSize(const Configuration&) const;

    std::vector<const Configuration*> configurations_;
    const std::set<ReplicaKey>& lostVoters_;
};

} // namespace arbutus::consensus
