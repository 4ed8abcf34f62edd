#include "src/routing/TeamQueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace arbutus::routing {

// Each class has a quarter of the weight of the class before it, so urgent
// requests wait little and the least urgent class still makes progress.
static constexpr double classWeights[] = { 64, 16, 4, 1 };
static constexpr int classCount = 4;
// Time constant of the observed service rate, counted while requests wait.
static constexpr double serviceRateTimeConstantSeconds = 3;
// The expected rate counts as an observation of this length, because the first
// starts of a queue depend on when requests of other teams happen to end.
static constexpr double expectedRateWeightSeconds = 1;
static constexpr std::chrono::seconds serviceRateValidity(10);
// Retry-After has a resolution of whole seconds, so a retry arrives up to 1 s late.
static constexpr std::chrono::seconds reservationGrace(2);
static constexpr std::size_t maxReservations = 1024;
static constexpr double claimedRatioGain = 0.05;

TeamQueue::TeamQueue(const TeamRule& rule, std::uint64_t creationIndex, base::TimePoint now)
    : rule_(rule)
    , creationIndex_(creationIndex)
    , rateTokens_(std::max(rule.maxRate, 1.0))
    , rateUpdatedAt_(now)
{
    assert(rule.weight > 0 && rule.maxRate >= 0);
}

void TeamQueue::setRule(const TeamRule& rule, double virtualTime, base::TimePoint now)
{
    assert(rule.weight > 0 && rule.maxRate >= 0);
    if (!canStart())
        startTag_ = std::max(startTag_, virtualTime);
    rateTokens_ = std::min(rateTokens(now), std::max(rule.maxRate, 1.0));
    rateUpdatedAt_ = now;
    rule_ = rule;
    isRemoved_ = false;
}

int TeamQueue::priorityClass() const { return std::clamp(rule_.priority, 0, classCount - 1); }

double TeamQueue::effectiveWeight() const { return rule_.weight * classWeights[priorityClass()]; }

double TeamQueue::rateTokens(base::TimePoint now) const
{
    const double seconds = std::max(std::chrono::duration<double>(now - rateUpdatedAt_).count(), 0.0);
    return std::min(rateTokens_ + seconds * rule_.maxRate, std::max(rule_.maxRate, 1.0));
}

double TeamQueue::rateDelaySeconds(double reserved, base::TimePoint now) const
{
    if (!(rule_.maxRate > 0))
        return 0;
    // One microsecond of the rate absorbs the rounding of retryAt to nanoseconds.
    const double missing = 1 + reserved - rateTokens(now) - rule_.maxRate * 1e-6;
    return missing > 0 ? missing / rule_.maxRate : 0;
}

void TeamQueue::consumeRateToken(base::TimePoint now)
{
    if (!(rule_.maxRate > 0))
        return;
    rateTokens_ = std::max(rateTokens(now) - 1, 0.0);
    rateUpdatedAt_ = now;
}

bool TeamQueue::canStart() const
{
    return !queue_.empty() && (!rule_.maxRunning || runningCount_ < rule_.maxRunning);
}

void TeamQueue::push(const QueuedRequest& request, double virtualTime)
{
    // A team accumulates no credit while it is idle.
    if (queue_.empty()) {
        startTag_ = std::max(startTag_, virtualTime);
        serviceIntervalStart_ = request.queuedAt;
    }
    index_[request.id] = queue_.insert(queue_.end(), request);
    queuedTokens_ += request.expectedTokens;
}

TeamQueue::QueuedRequest TeamQueue::startHead(base::TimePoint now)
{
    assert(canStart());
    const QueuedRequest head = remove(queue_.front().id);
    startTag_ += static_cast<double>(head.expectedTokens) / effectiveWeight();
    ++runningCount_;
    startedRate_.add(static_cast<double>(head.expectedTokens), now);
    if (head.queuedAt < now) {
        const double seconds = std::chrono::duration<double>(now - serviceIntervalStart_).count();
        const double decay = std::exp(-seconds / serviceRateTimeConstantSeconds);
        servedTokens_ = servedTokens_ * decay + static_cast<double>(head.expectedTokens);
        servedSeconds_ = servedSeconds_ * decay + seconds;
        serviceIntervalStart_ = now;
    }
    return head;
}

double TeamQueue::drainSeconds(double extraTokens, double expectedRate, base::TimePoint now) const
{
    const bool isRecent = !queue_.empty() && now - serviceIntervalStart_ < serviceRateValidity;
    const double tokens = (isRecent ? servedTokens_ : 0) + expectedRate * expectedRateWeightSeconds;
    const double seconds = (isRecent ? servedSeconds_ : 0) + expectedRateWeightSeconds;
    return (static_cast<double>(queuedTokens_) + extraTokens) * seconds / tokens;
}

TeamQueue::QueuedRequest TeamQueue::remove(std::uint64_t id)
{
    const auto found = index_.find(id);
    assert(found != index_.end());
    const QueuedRequest request = *found->second;
    queue_.erase(found->second);
    index_.erase(found);
    queuedTokens_ -= request.expectedTokens;
    return request;
}

void TeamQueue::requestFinished(std::size_t expectedTokens, std::size_t tokens, double virtualTime)
{
    assert(runningCount_);
    const bool wasBlocked = !canStart();
    --runningCount_;
    startTag_ += (static_cast<double>(tokens) - static_cast<double>(expectedTokens)) / effectiveWeight();
    // A team that was blocked by its own running limit, or that used fewer tokens
    // than expected, is not compensated by a later burst.
    if (wasBlocked || tokens < expectedTokens)
        startTag_ = std::max(startTag_, virtualTime);
}

void TeamQueue::eraseReservation(std::uint64_t fingerprint)
{
    const auto found = reservations_.find(fingerprint);
    reservationsByTime_.erase({ found->second.at, fingerprint });
    reservedRetryTokens_ -= found->second.tokens;
    reservations_.erase(found);
}

void TeamQueue::expireReservations(base::TimePoint now)
{
    while (!reservationsByTime_.empty() && reservationsByTime_.begin()->first + reservationGrace < now) {
        eraseReservation(reservationsByTime_.begin()->second);
        claimedRatio_ -= claimedRatioGain * claimedRatio_;
    }
}

base::TimePoint TeamQueue::reserveRetry(std::uint64_t fingerprint, std::size_t tokens, base::TimePoint at, base::TimePoint now)
{
    expireReservations(now);
    if (!fingerprint)
        return at;
    if (const auto found = reservations_.find(fingerprint); found != reservations_.end() && found->second.at > now)
        return found->second.at;
    if (!reservationsByTime_.empty())
        at = std::max(at, reservationsByTime_.rbegin()->first);
    if (reservations_.size() < maxReservations && !reservations_.count(fingerprint)) {
        reservations_[fingerprint] = { at, tokens };
        reservationsByTime_.insert({ at, fingerprint });
        reservedRetryTokens_ += tokens;
    }
    return at;
}

bool TeamQueue::claimReservation(std::uint64_t fingerprint, base::TimePoint now)
{
    expireReservations(now);
    const auto found = reservations_.find(fingerprint);
    if (found == reservations_.end() || found->second.at > now)
        return false;
    eraseReservation(fingerprint);
    claimedRatio_ += claimedRatioGain * (1 - claimedRatio_);
    return true;
}

} // namespace arbutus::routing
