#include "include/membership/RelayTree.h"

#include "include/membership/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace arbutus::membership {

// Expected numbers of children. They leave a margin below the hard limits (88 of 100 for
// the leader, 3 of 4 for other nodes), because the hash distributes nodes unevenly.
static constexpr double expectedLeaderChildren = 88;
static constexpr double expectedChildrenPerNode = 3;
static constexpr double planGrowthFactor = 1.25;

std::uint64_t LevelPlan::position(MemberKey key) { return rendezvousScore(RendezvousDomain::RelayLevel, key, key); }

void LevelPlan::update(std::size_t nodes)
{
    std::size_t capacity = capacity_;
    while (nodes > capacity)
        capacity = static_cast<std::size_t>(static_cast<double>(capacity) * planGrowthFactor);
    while (capacity > maxLeaderChildren && static_cast<double>(nodes) < static_cast<double>(capacity) / planGrowthFactor * 0.9)
        capacity = std::max(maxLeaderChildren, static_cast<std::size_t>(std::ceil(static_cast<double>(capacity) / planGrowthFactor)));
    capacity_ = capacity;
    bounds_.clear();
    if (capacity_ <= maxLeaderChildren)
        return;
    const double totalNodes = static_cast<double>(capacity_);
    double cumulativeNodes = 0;
    for (double level = expectedLeaderChildren; cumulativeNodes + level < totalNodes; level *= expectedChildrenPerNode) {
        cumulativeNodes += level;
        bounds_.push_back(static_cast<std::uint64_t>(cumulativeNodes / totalNodes * 0x1.0p64));
    }
}

unsigned LevelPlan::levelOf(MemberKey key) const
{
    const auto above = std::upper_bound(bounds_.begin(), bounds_.end(), position(key));
    return static_cast<unsigned>(above - bounds_.begin()) + 1;
}

void RelayTree::setNodes(std::vector<MemberKey> nodes)
{
    nodes_ = std::move(nodes);
    std::sort(nodes_.begin(), nodes_.end());
    plan_.update(nodes_.size());
    if (parent_ && parent_ != root_ && !std::binary_search(nodes_.begin(), nodes_.end(), *parent_)) {
        parent_.reset();
        polledAt_.reset();
    }
}

void RelayTree::setRoot(std::optional<MemberKey> root)
{
    if (root == root_)
        return;
    if (parent_ && parent_ == root_) {
        parent_.reset();
        polledAt_.reset();
    }
    root_ = root;
}

std::optional<MemberKey> RelayTree::parent(base::TimePoint now)
{
    if (parent_)
        return parent_;
    for (auto suspension = suspendedUntil_.begin(); suspension != suspendedUntil_.end();)
        suspension = now >= suspension->second ? suspendedUntil_.erase(suspension) : std::next(suspension);

    const unsigned ownLevel = level();
    if (ownLevel == 1 && root_ && !suspendedUntil_.count(*root_)) {
        parent_ = root_;
        return parent_;
    }
    // Prefers nodes one level up, then any node at a lower position, then the leader.
    const std::uint64_t ownPosition = LevelPlan::position(self_);
    std::optional<MemberKey> best;
    std::pair<bool, std::uint64_t> bestRank;
    for (MemberKey node : nodes_) {
        if (node == self_ || LevelPlan::position(node) >= ownPosition || suspendedUntil_.count(node))
            continue;
        const std::pair<bool, std::uint64_t> rank { plan_.levelOf(node) + 1 == ownLevel, rendezvousScore(RendezvousDomain::RelayParent, self_, node) };
        if (!best || rank > bestRank) {
            best = node;
            bestRank = rank;
        }
    }
    if (!best && root_ && !suspendedUntil_.count(*root_))
        best = root_;
    if (!best) {
        // Every candidate is suspended. Starts over with the first choice.
        suspendedUntil_.clear();
        return std::nullopt;
    }
    parent_ = best;
    return parent_;
}

void RelayTree::suspend(base::TimePoint now)
{
    if (parent_)
        suspendedUntil_[*parent_] = now + parentSuspension;
    parent_.reset();
    polledAt_.reset();
}

void RelayTree::onAnswered(std::optional<std::chrono::microseconds> parentAge, base::TimePoint now)
{
    polledAt_.reset();
    if (!parentAge || *parentAge > staleParentAge)
        suspend(now);
}

void RelayTree::onRefused(base::TimePoint now) { suspend(now); }

bool RelayTree::tick(base::TimePoint now)
{
    if (!polledAt_ || now < *polledAt_ + parentTimeout)
        return false;
    suspend(now);
    return true;
}

} // namespace arbutus::membership
