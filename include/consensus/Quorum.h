#pragma once

#include "include/consensus/Messages.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace arbutus::consensus {

// The voters whose disk is known to be lost, each with the voters that had been in contact so
// shortly before this was learned that they can't have acted as a half that is apart before the
// loss.
using LostVoters = std::map<ReplicaKey, std::set<ReplicaKey>>;

// Voters each of which has been apart from all of the others for the separation timeout when it
// gave its vote in a term.
struct SeparateHalf {
    std::set<ReplicaKey> members;
    std::set<ReplicaKey> others;
};

// Decides which voters are enough for an election, a commit or a lease: a quorum of each
// configuration in force.
//
// A quorum is a majority of the voters. In a set of even size, half of it is enough
// - beside another voter that is known to have lost its disk, if the half knows that the other
//   half had not acted alone before that loss;
// - if it includes the set's tie-breaker, and each member has been apart from all voters of the
//   other half for the separation timeout before it voted in the term.
// Any two such quorums have a voter in common that acted in both with the same disk, or one of
// them excludes the other; see docs/design/quorum-with-a-lost-disk.md.
class QuorumRule {
public:
    using HasActed = std::function<bool(const ReplicaKey&)>;
    using ValueOf = std::function<std::uint64_t(const ReplicaKey&)>;

    // `configurations` must not be empty, and must outlive this object like the others.
    QuorumRule(std::vector<const Configuration*> configurations, const LostVoters& lostVoters, const SeparateHalf& separateHalf)
        : configurations_(std::move(configurations))
        , lostVoters_(lostVoters)
        , separateHalf_(separateHalf)
    {
    }

    // Whether the voters that have acted are enough.
    bool isReachedBy(const HasActed&) const;
    // Returns the highest value that enough voters have reached.
    std::uint64_t highestReached(const ValueOf&) const;
    // Whether, in a configuration in force of even size, the separate half is a quorum.
    bool hasSeparateHalf() const;

private:
    bool isLost(const ReplicaKey& voter) const { return lostVoters_.count(voter) > 0; }
    bool isReachedIn(const Configuration&, const HasActed&) const;
    // Both take the voters of a configuration of even size that have acted.
    bool isHalfBesideLostVoter(const Configuration&, const std::set<ReplicaKey>& acted) const;
    bool isSeparateHalf(const Configuration&, const std::set<ReplicaKey>& acted) const;

    std::vector<const Configuration*> configurations_;
    const LostVoters& lostVoters_;
    const SeparateHalf& separateHalf_;
};

} // namespace arbutus::consensus
