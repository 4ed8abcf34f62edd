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

CapacityQueue::Entries::const_iterator CapacityQueue::insertPosition(int priority) const
{
    return std::find_if(entries_.begin(), entries_.end(), [priority](const Entry& entry) { return entry.priority > priority; });
}

CapacityQueue::Ticket CapacityQueue::insert(Entries::const_iterator position, int priority)
{
    auto ticket = nextTicket_++;
    entries_.insert(position, { ticket, priority });
    return ticket;
}

std::optional<CapacityQueue::Ticket> CapacityQueue::tryEnqueue(int priority, base::TimePoint now)
{
    auto position = insertPosition(priority);
    auto ahead = static_cast<double>(std::distance(entries_.cbegin(), position)) + 1;
    double seconds = std::chrono::duration<double>(maxWait_).count();
    if (ahead > completionsPerSecond(now) * seconds)
        return std::nullopt;
    return insert(position, priority);
}

CapacityQueue::Ticket CapacityQueue::enqueueStarted() { return insert(insertPosition(startedPriority), startedPriority); }

void CapacityQueue::remove(Ticket ticket)
{
    entries_.remove_if([ticket](const Entry& entry) { return entry.ticket == ticket; });
}

bool CapacityQueue::isAmongFirst(Ticket ticket, std::size_t count) const
{
    auto end = std::next(entries_.begin(), static_cast<std::ptrdiff_t>(std::min(count, entries_.size())));
    return std::any_of(entries_.begin(), end, [ticket](const Entry& entry) { return entry.ticket == ticket; });
}

std::chrono::milliseconds CapacityQueue::suggestedRetryDelay(base::TimePoint now) const
{
    double seconds = (static_cast<double>(entries_.size()) + 1) / std::max(0.1, completionsPerSecond(now));
    auto wait = std::chrono::milliseconds(std::llround(seconds * 1000));
    return std::clamp(wait, minRetryDelay, maxRetryDelay);
}

} // namespace arbutus::routing
