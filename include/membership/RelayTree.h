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
// The hold of 500 ms and the slowest round trip between regions; after it the child asks its next choice.
constexpr std::chrono::milliseconds parentTimeout { 800 };
// For this long a parent that refused or did not answer is not asked again.
constexpr std::chrono::seconds parentSuspension { 10 };
// A parent whose own configuration is older than this has lost its own parent.
constexpr std::chrono::milliseconds staleParentAge { 2'500 };

// Where nodes stand for a fleet size. A node's level depends only on a hash of
// its id and on the plan; the plan changes in steps of a quarter of the size.
class LevelPlan {
public:
    // Adapts to `nodes`. Grows at once, shrinks only well below the step, so
    // that a fleet at a boundary does not change its plan with every restart.
    void update(std::size_t nodes);

    // Returns 1 for the children of the leader. A higher level means a higher position.
    unsigned levelOf(MemberKey) const;
    unsigned levelCount() const { return static_cast<unsigned>(bounds_.size()) + 1; }

    // The place in the order of all nodes. A parent's position is always lower
    // than its child's, also between nodes with different plans, so there are no cycles.
    static std::uint64_t position(MemberKey);

private:
    std::size_t capacity_ = maxLeaderChildren;
    // Upper bounds of the positions of each level but the last.
    std::vector<std::uint64_t> bounds_;
};

// The child's side: which node to poll for the configuration.
class RelayTree {
public:
    explicit RelayTree(MemberKey self)
        : self_(self)
    {
    }

    // Keys of the entry VMs that are in, this one included.
    void setNodes(std::vector<MemberKey>);
    // The replica that leads; absent while none is known.
    void setRoot(std::optional<MemberKey>);

    unsigned level() const { return plan_.levelOf(self_); }
    // The parent to poll now; absent when there is nobody to ask. It stays the
    // same until it leaves, refuses, fails to answer or has no fresh configuration.
    std::optional<MemberKey> parent(base::TimePoint now);

    void onPollSent(base::TimePoint now) { polledAt_ = now; }
    void onAnswered(std::optional<std::chrono::microseconds> parentAge, base::TimePoint now);
    void onRefused(base::TimePoint now);
    // Leaves a parent that has not answered in time. Returns whether it did; the next poll is then urgent.
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
