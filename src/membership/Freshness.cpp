#include "include/membership/Freshness.h"

#include "src/membership/Wire.h"

#include <algorithm>
#include <limits>

namespace arbutus::membership {

// A child that has not polled for this long is down or has switched to another parent.
static constexpr std::chrono::seconds childTimeout { 2 };

std::string encode(const FeedPoll& message) { return encodeMessage(message); }
std::string encode(const FeedAnswer& message) { return encodeMessage(message); }
base::Result<FeedPoll> decodeFeedPoll(std::string_view bytes) { return decodeMessage<FeedPoll>(bytes); }
base::Result<FeedAnswer> decodeFeedAnswer(std::string_view bytes) { return decodeMessage<FeedAnswer>(bytes); }

bool Freshness::onAnswer(const FeedAnswer& answer, base::TimePoint sentAt, base::TimePoint now)
{
    if (answer.isRefused || answer.revision < revision_ || now < sentAt)
        return false;
    const bool isNewer = answer.revision > revision_;
    revision_ = answer.revision;
    if (answer.ageMicroseconds) {
        // Bounds the reported hold time by the round trip, so a wrong value cannot prove a future state.
        const std::chrono::nanoseconds held = std::min<std::chrono::nanoseconds>(std::chrono::microseconds(answer.heldMicroseconds), now - sentAt);
        const base::TimePoint asOf = sentAt + held - std::chrono::microseconds(*answer.ageMicroseconds);
        currentAsOf_ = currentAsOf_ ? std::max(*currentAsOf_, asOf) : asOf;
    }
    return isNewer;
}

void Freshness::onGossip(bool knowsPeers, std::optional<base::TimePoint> lastExchangeAt)
{
    knowsPeers_ = knowsPeers;
    if (lastExchangeAt && (!lastExchangeAt_ || *lastExchangeAt > *lastExchangeAt_))
        lastExchangeAt_ = lastExchangeAt;
}

bool Freshness::isConfigurationFresh(base::TimePoint now) const { return currentAsOf_ && now - *currentAsOf_ <= freshnessLimit; }

bool Freshness::isFresh(base::TimePoint now) const
{
    return isConfigurationFresh(now) && (!knowsPeers_ || (lastExchangeAt_ && now - *lastExchangeAt_ <= freshnessLimit));
}

// Rounds up so that the child never assumes a newer state than the parent has.
static std::optional<std::uint32_t> ageOf(std::optional<base::TimePoint> currentAsOf, base::TimePoint now)
{
    if (!currentAsOf)
        return std::nullopt;
    const auto age = std::chrono::ceil<std::chrono::microseconds>(std::max(now - *currentAsOf, std::chrono::nanoseconds::zero())).count();
    if (age > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return static_cast<std::uint32_t>(age);
}

static FeedAnswer makeAnswer(std::uint64_t revision, std::optional<base::TimePoint> currentAsOf, base::TimePoint polledAt, base::TimePoint now)
{
    // Rounds down so that the child never assumes a newer state than the parent has.
    const auto held = std::chrono::floor<std::chrono::microseconds>(now - polledAt).count();
    return { false, revision, static_cast<std::uint32_t>(held), ageOf(currentAsOf, now) };
}

std::optional<FeedAnswer> FeedParent::onPoll(const FeedPoll& poll, std::uint64_t revision, std::optional<base::TimePoint> currentAsOf, base::TimePoint now)
{
    auto found = children_.find(poll.child);
    if (found == children_.end()) {
        if (children_.size() >= maxChildren_) {
            for (auto child = children_.begin(); child != children_.end();)
                child = now - child->second.lastSeenAt > childTimeout ? children_.erase(child) : std::next(child);
        }
        if (children_.size() >= maxChildren_)
            return FeedAnswer { true, 0, 0, std::nullopt };
        found = children_.emplace(poll.child, Child {}).first;
    }
    Child& child = found->second;
    child.lastSeenAt = now;
    child.revision = poll.revision;
    if (poll.isUrgent || poll.revision < revision) {
        child.polledAt.reset();
        return makeAnswer(revision, currentAsOf, now, now);
    }
    child.polledAt = now;
    return std::nullopt;
}

std::vector<FeedParent::Outgoing> FeedParent::tick(std::uint64_t revision, std::optional<base::TimePoint> currentAsOf, base::TimePoint now)
{
    std::vector<Outgoing> outgoing;
    for (auto each = children_.begin(); each != children_.end();) {
        Child& child = each->second;
        if (child.polledAt && (child.revision < revision || now >= *child.polledAt + pollHoldDuration)) {
            outgoing.push_back({ each->first, makeAnswer(revision, currentAsOf, *child.polledAt, now) });
            child.polledAt.reset();
        }
        each = now - child.lastSeenAt > childTimeout ? children_.erase(each) : std::next(each);
    }
    return outgoing;
}

} // namespace arbutus::membership
