#pragma once

#include "include/base/Time.h"
#include "include/membership/Member.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutus::membership {

// The age up to which a configuration counts as current.
constexpr std::chrono::seconds freshnessLimit { 3 };
// How long a parent holds a poll while it has no newer revision.
constexpr std::chrono::milliseconds pollHoldDuration { 500 };

struct FeedPoll {
    MemberKey child = 0;
    // The revision that the child has; 0 for none.
    std::uint64_t revision = 0;
    // The parent answers at once: the child has changed its parent and needs proof of freshness soon.
    bool isUrgent = false;

    MSGPACK_DEFINE(child, revision, isUrgent)
};

struct FeedAnswer {
    // The parent has no room for another child.
    bool isRefused = false;
    std::uint64_t revision = 0;
    std::uint32_t heldMicroseconds = 0;
    // Age of the parent's configuration; absent when the parent has no proof of it.
    std::optional<std::uint32_t> ageMicroseconds;

    MSGPACK_DEFINE(isRefused, revision, heldMicroseconds, ageMicroseconds)
};

std::string encode(const FeedPoll&);
std::string encode(const FeedAnswer&);
base::Result<FeedPoll> decodeFeedPoll(std::string_view);
base::Result<FeedAnswer> decodeFeedAnswer(std::string_view);

// The child's side: since when its configuration is known to be current.
class Freshness {
public:
    // Notes an answer to a poll sent at `sentAt`, received at `now`, and returns
    // whether it offers a revision that is newer than the present one. A lower
    // revision is ignored altogether. The new revision counts at once, so the
    // caller applies it before anything else.
    bool onAnswer(const FeedAnswer&, base::TimePoint sentAt, base::TimePoint now);

    // Notes gossip's state: whether other entry VMs are known and when one answered last.
    void onGossip(bool knowsPeers, std::optional<base::TimePoint> lastExchangeAt);

    std::uint64_t revision() const { return revision_; }
    // The configuration included everything accepted before this time; absent before the first answer.
    std::optional<base::TimePoint> currentAsOf() const { return currentAsOf_; }
    // The configuration was current within the last 3 s.
    bool isConfigurationFresh(base::TimePoint now) const;
    // The configuration is fresh and, if other entry VMs are known, one of them was heard within the last 3 s.
    bool isFresh(base::TimePoint now) const;

private:
    std::uint64_t revision_ = 0;
    std::optional<base::TimePoint> currentAsOf_;
    bool knowsPeers_ = false;
    std::optional<base::TimePoint> lastExchangeAt_;
};

// The parent's side: holds the polls of a bounded number of children.
class FeedParent {
public:
    struct Outgoing {
        MemberKey child;
        FeedAnswer answer;
    };

    explicit FeedParent(std::size_t maxChildren)
        : maxChildren_(maxChildren)
    {
    }

    // Takes a poll. The answer comes from here or from a later tick().
    std::optional<FeedAnswer> onPoll(const FeedPoll&, std::uint64_t revision, std::optional<base::TimePoint> currentAsOf, base::TimePoint now);
    // Returns the answers that are due, all of them once the revision has risen.
    std::vector<Outgoing> tick(std::uint64_t revision, std::optional<base::TimePoint> currentAsOf, base::TimePoint now);

    std::size_t childCount() const { return children_.size(); }

private:
    struct Child {
        base::TimePoint lastSeenAt;
        // Set while a poll is held.
        std::optional<base::TimePoint> polledAt;
        std::uint64_t revision = 0;
    };

    const std::size_t maxChildren_;
    std::unordered_map<MemberKey, Child> children_;
};

} // namespace arbutus::membership
