#include "include/routing/CapacityQueue.h"

#include <algorithm>
#include <cmath>

namespace arbutus::routing {

// Time constant of the completion rate; several answers end within it.
static constexpr double rateTimeConstantSeconds = 2;
static constexpr std::chrono::milliseconds minRetryDelay(300);
static constexpr std::chrono::milliseconds maxRetryDelay(2500);

// Ahead of the most urgent request that has not started.
static constexpr int startedPriority = -2;

static double secondsBetween(base::TimePoint from, base::TimePoint to) { return std::chrono::duration<double>(to - from).count(); }

double CapacityQueue::completionsPerSecond(base::TimePoint now) const { return completionRate_ * std::exp(-std::max(0.0, secondsBetween(completionRateAt_, now)) / rateTimeConstantSeconds); }

void CapacityQueue::recordCompletion(base::TimePoint now)
{
    completionRate_ = completionsPerSecond(now) + 1 / rateTimeConstantSeconds;
    completionRateAt_ = now;
}

CapacityQueue::Waiters::const_iterator CapacityQueue::insertPosition(int priority) const
{
    return std::find_if(waiters_.begin(), waiters_.end(), [priority](const Waiter& waiter) { return waiter.priority > priority; });
}

CapacityQueue::WaiterId CapacityQueue::insert(Waiters::const_iterator position, int priority)
{
    auto id = nextWaiterId_++;
    waiters_.insert(position, { id, priority });
    return id;
}

std::optional<CapacityQueue::WaiterId> CapacityQueue::tryEnqueue(int priority, base::TimePoint now)
{
    auto position = insertPosition(priority);
    auto ahead = static_cast<double>(std::distance(waiters_.cbegin(), position)) + 1;
    double seconds = std::chrono::duration<double>(maxWait_).count();
    if (ahead > completionsPerSecond(now) * seconds)
        return std::nullopt;
    return insert(position, priority);
}

CapacityQueue::WaiterId CapacityQueue::enqueueStarted() { return insert(insertPosition(startedPriority), startedPriority); }

void CapacityQueue::remove(WaiterId id)
{
    waiters_.remove_if([id](const Waiter& waiter) { return waiter.id == id; });
}

bool CapacityQueue::isAmongFirst(WaiterId id, std::size_t count) const
{
    auto end = std::next(waiters_.begin(), static_cast<std::ptrdiff_t>(std::min(count, waiters_.size())));
    return std::any_of(waiters_.begin(), end, [id](const Waiter& waiter) { return waiter.id == id; });
}

std::chrono::milliseconds CapacityQueue::suggestedRetryDelay(base::TimePoint now) const
{
    double seconds = (static_cast<double>(waiters_.size()) + 1) / std::max(0.1, completionsPerSecond(now));
    auto wait = std::chrono::milliseconds(std::llround(seconds * 1000));
    return std::clamp(wait, minRetryDelay, maxRetryDelay);
}

} // namespace arbutus::routing
