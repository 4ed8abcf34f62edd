#include "src/routing/TeamQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace arbutus::routing {

// Each class has a quarter of the share of the class before it, so an urgent
// request waits little and the least urgent class still progresses.
static constexpr double classShares[] = { 64, 16, 4, 1 };
static constexpr int classCount = 4;
// The service rate of a queue is an average over about this much waiting time.
static constexpr double serviceMemorySeconds = 3;
// The expected rate counts as much as an observation of this length; the first
// starts of a queue depend on how other teams' requests happen to end.
static constexpr double expectedSeconds = 1;
static constexpr std::chrono::seconds serviceValidity(10);
// Retry-After counts whole seconds, so a resend comes up to 1 s late.
static constexpr std::chrono::seconds promiseGrace(2);
static constexpr std::size_t maxPromises = 1024;
static constexpr double redeemedGain = 0.05;

TeamQueue::TeamQueue(const TeamRule& rule, std::uint64_t order, base::TimePoint now)
    : rule_(rule)
    , order_(order)
    , rateTokens_(std::max(rule.maxRate, 1.0))
    , rateUpdatedAt_(now)
{
    assert(rule.weight > 0 && rule.maxRate >= 0);
}

void TeamQueue::setRule(const TeamRule& rule, double virtualTime, base::TimePoint now)
{
    assert(rule.weight > 0 && rule.maxRate >= 0);
    if (!isReady())
        startTag_ = std::max(startTag_, virtualTime);
    rateTokens_ = std::min(rateTokens(now), std::max(rule.maxRate, 1.0));
    rateUpdatedAt_ = now;
    rule_ = rule;
    isRemoved_ = false;
}

int TeamQueue::priorityClass() const { return std::clamp(rule_.priority, 0, classCount - 1); }

double TeamQueue::share() const { return rule_.weight * classShares[priorityClass()]; }

double TeamQueue::rateTokens(base::TimePoint now) const
{
    const double seconds = std::max(std::chrono::duration<double>(now - rateUpdatedAt_).count(), 0.0);
    return std::min(rateTokens_ + seconds * rule_.maxRate, std::max(rule_.maxRate, 1.0));
}

double TeamQueue::rateDelaySeconds(double reserved, base::TimePoint now) const
{
    if (!(rule_.maxRate > 0))
        return 0;
    // A microsecond of the rate absorbs the rounding of retryAt to nanoseconds.
    const double missing = 1 + reserved - rateTokens(now) - rule_.maxRate * 1e-6;
    return missing > 0 ? missing / rule_.maxRate : 0;
}

void TeamQueue::takeRate(base::TimePoint now)
{
    if (!(rule_.maxRate > 0))
        return;
    rateTokens_ = std::max(rateTokens(now) - 1, 0.0);
    rateUpdatedAt_ = now;
}

bool TeamQueue::isReady() const
{
    return !queue_.empty() && (!rule_.maxRunning || runningCount_ < rule_.maxRunning);
}

void TeamQueue::push(const Queued& request, double virtualTime)
{
    // A team does not accumulate service while it is idle.
    if (queue_.empty()) {
        startTag_ = std::max(startTag_, virtualTime);
        servedFrom_ = request.queuedAt;
    }
    index_[request.id] = queue_.insert(queue_.end(), request);
    queuedTokens_ += request.expectedTokens;
}

TeamQueue::Queued TeamQueue::startHead(base::TimePoint now)
{
    assert(isReady());
    const Queued head = remove(queue_.front().id);
    startTag_ += static_cast<double>(head.expectedTokens) / share();
    ++runningCount_;
    startedRate_.add(static_cast<double>(head.expectedTokens), now);
    if (head.queuedAt < now) {
        const double seconds = std::chrono::duration<double>(now - servedFrom_).count();
        const double decay = std::exp(-seconds / serviceMemorySeconds);
        servedTokens_ = servedTokens_ * decay + static_cast<double>(head.expectedTokens);
        servedSeconds_ = servedSeconds_ * decay + seconds;
        servedFrom_ = now;
    }
    return head;
}

double TeamQueue::drainSeconds(double extraTokens, double expectedRate, base::TimePoint now) const
{
    const bool isRecent = !queue_.empty() && now - servedFrom_ < serviceValidity;
    const double tokens = (isRecent ? servedTokens_ : 0) + expectedRate * expectedSeconds;
    const double seconds = (isRecent ? servedSeconds_ : 0) + expectedSeconds;
    return (static_cast<double>(queuedTokens_) + extraTokens) * seconds / tokens;
}

TeamQueue::Queued TeamQueue::remove(std::uint64_t id)
{
    const auto found = index_.find(id);
    assert(found != index_.end());
    const Queued request = *found->second;
    queue_.erase(found->second);
    index_.erase(found);
    queuedTokens_ -= request.expectedTokens;
    return request;
}

void TeamQueue::ended(std::size_t expectedTokens, std::size_t tokens, double virtualTime)
{
    assert(runningCount_);
    const bool wasBlocked = !isReady();
    --runningCount_;
    startTag_ += (static_cast<double>(tokens) - static_cast<double>(expectedTokens)) / share();
    // A team that its own running limit held back, or that ran fewer tokens
    // than expected, is not compensated by a burst.
    if (wasBlocked || tokens < expectedTokens)
        startTag_ = std::max(startTag_, virtualTime);
}

void TeamQueue::dropPromise(std::uint64_t fingerprint)
{
    const auto found = promises_.find(fingerprint);
    promiseOrder_.erase({ found->second.at, fingerprint });
    promisedTokens_ -= found->second.tokens;
    promises_.erase(found);
}

void TeamQueue::expirePromises(base::TimePoint now)
{
    while (!promiseOrder_.empty() && promiseOrder_.begin()->first + promiseGrace < now) {
        dropPromise(promiseOrder_.begin()->second);
        redeemedShare_ -= redeemedGain * redeemedShare_;
    }
}

base::TimePoint TeamQueue::promise(std::uint64_t fingerprint, std::size_t tokens, base::TimePoint at, base::TimePoint now)
{
    expirePromises(now);
    if (!fingerprint)
        return at;
    if (const auto found = promises_.find(fingerprint); found != promises_.end() && found->second.at > now)
        return found->second.at;
    if (!promiseOrder_.empty())
        at = std::max(at, promiseOrder_.rbegin()->first);
    if (promises_.size() < maxPromises && !promises_.count(fingerprint)) {
        promises_[fingerprint] = { at, tokens };
        promiseOrder_.insert({ at, fingerprint });
        promisedTokens_ += tokens;
    }
    return at;
}

bool TeamQueue::redeem(std::uint64_t fingerprint, base::TimePoint now)
{
    expirePromises(now);
    const auto found = promises_.find(fingerprint);
    if (found == promises_.end() || found->second.at > now)
        return false;
    dropPromise(fingerprint);
    redeemedShare_ += redeemedGain * (1 - redeemedShare_);
    return true;
}

} // namespace arbutus::routing
