#pragma once

#include "include/base/Time.h"
#include "include/membership/Member.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutus::membership {

// Maximum age at which a configuration counts as fresh.
constexpr std::chrono::seconds freshnessLimit { 3 };
// A parent holds a long poll for at most this time while it has no newer revision.
constexpr std::chrono::milliseconds pollHoldDuration { 500 };

struct FeedPoll {
    MemberKey child = 0;
    // Revision of the child's configuration; 0 if it has none.
    std::uint64_t revision = 0;
    // The parent answers immediately instead of holding the poll. Set after a change of
    // parent, when the child's configuration is about to become stale.
    bool isUrgent = false;

    MSGPACK_DEFINE(child, revision, isUrgent)
};

struct FeedAnswer {
    // The parent already has its maximum number of children.
    bool isRefused = false;
    std::uint64_t revision = 0;
    std::uint32_t heldMicroseconds = 0;
    // Age of the parent's configuration; absent if the parent does not know it.
    std::optional<std::uint32_t> ageMicroseconds;

    MSGPACK_DEFINE(isRefused, revision, heldMicroseconds, ageMicroseconds)
};

std::string encode(const FeedPoll&);
std::string encode(const FeedAnswer&);
base::Result<FeedPoll> decodeFeedPoll(std::string_view);
base::Result<FeedAnswer> decodeFeedAnswer(std::string_view);

// Tracks on the child how fresh its configuration is and when a gossip peer last answered.
class Freshness {
public:
    // Processes the answer, received at `now`, to a poll sent at `sentAt`. Returns
    // whether it carries a revision newer than the current one. Ignores refusals and
    // answers with a lower revision. revision() changes immediately, so the caller
    // must apply the new configuration before doing anything else.
    bool onAnswer(const FeedAnswer&, base::TimePoint sentAt, base::TimePoint now);

    // Updates the gossip state: whether other entry VMs are known and when one last answered.
    void onGossip(bool knowsPeers, std::optional<base::TimePoint> lastExchangeAt);

    std::uint64_t revision() const { return revision_; }
    // The configuration includes every change accepted before this time. Absent until
    // an answer has carried an age.
    std::optional<base::TimePoint> currentAsOf() const { return currentAsOf_; }
    // True if the configuration was current within the last freshnessLimit.
    bool isConfigurationFresh(base::TimePoint now) const;
    // True if the configuration is fresh and, when other entry VMs are known, one of them
    // answered within the last freshnessLimit.
    bool isFresh(base::TimePoint now) const;

private:
    std::uint64_t revision_ = 0;
    std::optional<base::TimePoint> currentAsOf_;
    bool knowsPeers_ = false;
    std::optional<base::TimePoint> lastExchangeAt_;
};

// Answers the long polls of a bounded number of children on behalf of a parent.
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

    // Processes a poll. Returns the answer if it is due immediately; otherwise holds the
    // poll, and a later tick() returns the answer.
    std::optional<FeedAnswer> onPoll(const FeedPoll&, std::uint64_t revision, std::optional<base::TimePoint> currentAsOf, base::TimePoint now);
    // Returns the answers that are due: polls held for pollHoldDuration, and polls of
    // children whose revision is lower than `revision`.
    std::vector<Outgoing> tick(std::uint64_t revision, std::optional<base::TimePoint> currentAsOf, base::TimePoint now);

    std::size_t childCount() const { return children_.size(); }

private:
    struct Child {
        base::TimePoint lastSeenAt;
        // Receipt time of the held poll; absent if none is held.
        std::optional<base::TimePoint> polledAt;
        std::uint64_t revision = 0;
    };

    const std::size_t maxChildren_;
    std::unordered_map<MemberKey, Child> children_;
};

} // namespace arbutus::membership
