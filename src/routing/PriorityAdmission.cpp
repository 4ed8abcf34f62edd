#include "include/routing/PriorityAdmission.h"

#include <algorithm>
#include <cmath>

namespace arbutus::routing {

// An entry VM that has no answer of a control VM for this time admits everything.
static constexpr std::chrono::seconds demandLifetime(2);
// Free room is used up within this time. Several times the age of the reports, so that all
// VMs together do not fill the same room twice.
static constexpr double fillSeconds = 1;
// Room that stays free, in seconds of the rate at which streams end: the age of the oldest
// reports. With less, entry VMs that place streams by such reports refill an engine that is
// full, and reading their prompts holds up its streams.
static constexpr double reserveSeconds = 0.24;
// Time constant of the admitted rate; smooths the differences between two reports.
static constexpr double rateTimeConstantSeconds = 0.15;
// Time constant at which room that refusals showed to be missing is trusted again.
static constexpr double missingRoomTimeConstantSeconds = 2;
// After a longer pause the previous state says nothing.
static constexpr double maxUpdateInterval = 0.5;
// Refusals per completed stream that occur in normal operation, because several entry VMs
// choose the last room of an engine at a time.
static constexpr double usualRefusals = 0.1;
// Refusals never lower the admissions below this part of the rate at which streams end:
// those streams did leave room.
static constexpr double minCompletionShare = 0.8;
// Part of the arrivals that is admitted whatever the room, so that a wrong size of typical
// streams cannot shut a service off.
static constexpr double probeShare = 0.02;
// Every class gets at least this part of the share that all get together.
static constexpr double floorShare = 0.25;
// Bound of what streams begun elsewhere can take from the new streams of their class.
static constexpr double maxDebt = 20;
// The retry delay at an overload of 1, its growth, and its maximum. The last callers of a
// burst return within 5 s of its end, and sooner than a third of the 20 s that callers of
// streams have, since they would not wait longer.
static constexpr double baseRetrySeconds = 1;
static constexpr double retrySecondsPerOverload = 2;
static constexpr double maxRetrySeconds = 4.5;

static double usable(double value) { return std::isfinite(value) ? std::max(0.0, value) : 0; }

static std::size_t indexOf(int priorityClass) { return static_cast<std::size_t>(std::clamp(priorityClass, 0, routes::priorityClassCount - 1)); }

PriorityAdmission::PriorityAdmission(double phase)
{
    for (auto& entry : classes_)
        entry.credit = phase;
}

void PriorityAdmission::update(const ClassDemands& demands, double freeStreams, base::TimePoint now)
{
    ClassDemand sum;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        classes_[i].arrivals = usable(demands[i].arrivals);
        sum.arrivals += classes_[i].arrivals;
        sum.completions += usable(demands[i].completions);
        sum.refusals += usable(demands[i].refusals);
    }
    updateRate(sum.completions, sum.refusals, usable(freeStreams), sum.arrivals, now);
    divide(sum.arrivals);
    freshUntil_ = now + demandLifetime;
}

void PriorityAdmission::updateRate(double completions, double refusals, double freeStreams, double arrivals, base::TimePoint now)
{
    double seconds = std::clamp(std::chrono::duration<double>(now - updatedAt_).count(), 0.0, maxUpdateInterval);
    double unusualRefusals = std::max(0.0, refusals - usualRefusals * completions);
    missingRoom_ = std::min(freeStreams, missingRoom_ * std::exp(-seconds / missingRoomTimeConstantSeconds) + unusualRefusals * seconds);
    double target = completions + (freeStreams - missingRoom_ - reserveSeconds * completions) / fillSeconds - unusualRefusals;
    target = std::max({ target, completions * minCompletionShare, arrivals * probeShare });
    // Without a recent state there is nothing to smooth.
    rate_ = isFresh(now) ? rate_ + (target - rate_) * (1 - std::exp(-seconds / rateTimeConstantSeconds)) : target;
    updatedAt_ = now;
}

// Reserves the floor of every class, then gives the rest to the classes in their order.
void PriorityAdmission::divide(double arrivals)
{
    overload_ = arrivals > 0 ? std::max(1.0, arrivals / std::max(rate_, arrivals * probeShare)) : 1;
    overallShare_ = 1 / overload_;
    double floor = overallShare_ < 1 ? floorShare * overallShare_ : 1;
    double rest = arrivals * (overallShare_ - floor);
    for (auto& entry : classes_) {
        double extra = std::min(rest, entry.arrivals * (1 - floor));
        rest -= extra;
        // A class without arrivals gets what the next stream of it would.
        bool isServed = entry.arrivals > 0 ? extra > 0 : rest > 0;
        entry.share = isServed ? floor + (entry.arrivals > 0 ? extra / entry.arrivals : 1 - floor) : floor;
    }
}

bool PriorityAdmission::tryAdmit(int priorityClass, base::TimePoint now)
{
    double granted = share(priorityClass, now);
    if (granted >= 1)
        return true;
    auto& entry = classes_[indexOf(priorityClass)];
    entry.credit += granted;
    if (entry.credit < 1)
        return false;
    entry.credit -= 1;
    return true;
}

void PriorityAdmission::admitBegun(int priorityClass, base::TimePoint now)
{
    auto& entry = classes_[indexOf(priorityClass)];
    entry.credit = std::max(-maxDebt, entry.credit + share(priorityClass, now) - 1);
}

double PriorityAdmission::share(int priorityClass, base::TimePoint now) const { return isFresh(now) ? classes_[indexOf(priorityClass)].share : 1; }

std::chrono::milliseconds PriorityAdmission::retryDelay(int priorityClass, double draw) const
{
    // The classes that have demand divide the time among them, in their order.
    double count = 0;
    double rank = 0;
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        bool isPresent = classes_[i].arrivals > 0 || i == indexOf(priorityClass);
        count += isPresent ? 1 : 0;
        rank += isPresent && i < indexOf(priorityClass) ? 1 : 0;
    }
    double horizon = std::min(maxRetrySeconds, baseRetrySeconds + retrySecondsPerOverload * (overload_ - 1));
    double seconds = horizon * (rank + 1 + draw) / (count + 1);
    return std::chrono::milliseconds(std::llround(seconds * 1000));
}

} // namespace arbutus::routing
