#include "include/routing/WaitingLine.h"

#include <algorithm>
#include <cmath>

namespace arbutus::routing {

// Time constant of the average rate of ends; several answers end within it.
static constexpr double rateSeconds = 2;
static constexpr std::chrono::milliseconds minComeBack(300);
static constexpr std::chrono::milliseconds maxComeBack(2500);

// Before the most urgent request that has not begun.
static constexpr int begunPriority = -2;

static double secondsBetween(base::TimePoint from, base::TimePoint to) { return std::chrono::duration<double>(to - from).count(); }

double WaitingLine::endsPerSecond(base::TimePoint now) const { return rate_ * std::exp(-std::max(0.0, secondsBetween(rateAt_, now)) / rateSeconds); }

void WaitingLine::recordEnd(base::TimePoint now)
{
    rate_ = endsPerSecond(now) + 1 / rateSeconds;
    rateAt_ = now;
}

WaitingLine::Places::const_iterator WaitingLine::placeFor(int priority) const
{
    return std::find_if(waiting_.begin(), waiting_.end(), [priority](const Waiting& other) { return other.priority > priority; });
}

WaitingLine::Ticket WaitingLine::insert(Places::const_iterator place, int priority)
{
    auto ticket = nextTicket_++;
    waiting_.insert(place, { ticket, priority });
    return ticket;
}

std::optional<WaitingLine::Ticket> WaitingLine::join(int priority, base::TimePoint now)
{
    auto place = placeFor(priority);
    auto ahead = static_cast<double>(std::distance(waiting_.cbegin(), place)) + 1;
    double seconds = std::chrono::duration<double>(limit_).count();
    if (ahead > endsPerSecond(now) * seconds)
        return std::nullopt;
    return insert(place, priority);
}

WaitingLine::Ticket WaitingLine::rejoin() { return insert(placeFor(begunPriority), begunPriority); }

void WaitingLine::leave(Ticket ticket)
{
    waiting_.remove_if([ticket](const Waiting& other) { return other.ticket == ticket; });
}

bool WaitingLine::isNearFront(Ticket ticket, std::size_t count) const
{
    auto end = std::next(waiting_.begin(), static_cast<std::ptrdiff_t>(std::min(count, waiting_.size())));
    return std::any_of(waiting_.begin(), end, [ticket](const Waiting& other) { return other.ticket == ticket; });
}

std::chrono::milliseconds WaitingLine::comeBackAfter(base::TimePoint now) const
{
    double seconds = (static_cast<double>(waiting_.size()) + 1) / std::max(0.1, endsPerSecond(now));
    auto wait = std::chrono::milliseconds(std::llround(seconds * 1000));
    return std::clamp(wait, minComeBack, maxComeBack);
}

} // namespace arbutus::routing
