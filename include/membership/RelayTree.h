#pragma once

#include "include/base/Time.h"
#include "include/membership/Member.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutus::membership {

constexpr std::size_t maxRelayChildren = 4;
constexpr std::size_t maxLeaderChildren = 100;
// Covers the hold time of 500 ms and the slowest round trip between regions. After the
// timeout the child tries its next candidate.
constexpr std::chrono::milliseconds parentTimeout { 800 };
// A parent that refused, did not answer or was stale is not tried again for this long.
constexpr std::chrono::seconds parentSuspension { 10 };
// A parent with an older configuration than this has lost its own parent.
constexpr std::chrono::milliseconds staleParentAge { 2'500 };

// Assigns nodes to the levels of the relay tree. A node's level depends only on a hash of
// its id and on the planned fleet size, which changes in steps of 25%.
class LevelPlan {
public:
    // Adapts the plan to a fleet of `nodes`. Grows immediately, but shrinks only well below
    // the step, so that a fleet at a boundary does not change its plan with each restart.
    void update(std::size_t nodes);

    // Returns the level of a node; the leader's children have level 1. Levels increase with the position.
    unsigned levelOf(MemberKey) const;
    unsigned levelCount() const { return static_cast<unsigned>(bounds_.size()) + 1; }

    // Returns the node's position in a total order of all nodes. A parent's position is
    // always lower than its child's, even if the two have different plans, so there are
    // no cycles.
    static std::uint64_t position(MemberKey);

private:
    std::size_t capacity_ = maxLeaderChildren;
    // Upper bounds of the positions of all levels except the last.
    std::vector<std::uint64_t> bounds_;
};

// Selects the parent that this node polls for the configuration.
class RelayTree {
public:
    explicit RelayTree(MemberKey self)
        : self_(self)
    {
    }

    // Sets the keys of the alive entry VMs, including this one.
    void setNodes(std::vector<MemberKey>);
    // Sets the leader of the replicas; absent if none is known.
    void setRoot(std::optional<MemberKey>);

    unsigned level() const { return plan_.levelOf(self_); }
    // Returns the parent to poll, or nullopt if there is no candidate. The parent stays the
    // same until it leaves, refuses, times out or has a stale configuration.
    std::optional<MemberKey> parent(base::TimePoint now);

    void onPollSent(base::TimePoint now) { polledAt_ = now; }
    void onAnswered(std::optional<std::chrono::microseconds> parentAge, base::TimePoint now);
    void onRefused(base::TimePoint now);
    // Drops a parent that did not answer within parentTimeout. Returns whether it did; the
    // next poll must then be urgent.
    bool tick(base::TimePoint now);

private:
    void suspend(base::TimePoint now);

    const MemberKey self_;
    LevelPlan plan_;
    std::vector<MemberKey> nodes_;
    std::optional<MemberKey> root_;
    std::optional<MemberKey> parent_;
    std::optional<base::TimePoint> polledAt_;
    std::unordered_map<MemberKey, base::TimePoint> suspendedUntil_;
};

} // namespace arbutus::membership
