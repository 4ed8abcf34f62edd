#pragma once

#include "include/base/Time.h"
#include "include/routes/RouteTable.h"

#include <array>
#include <chrono>

namespace arbutus::routing {

// The streams of one priority class, summed over all entry VMs. All rates are per second.
struct ClassDemand {
    double arrivals = 0;
    // Streams that ended after an engine had begun to answer them.
    double completions = 0;
    // Attempts that engines refused for lack of memory or slots.
    double refusals = 0;
};

// By priority class, the most urgent first.
using ClassDemands = std::array<ClassDemand, routes::priorityClassCount>;

// Decides which new streams of a service an entry VM admits while the demand at all entry
// VMs exceeds what the engines can carry. Every entry VM decides alike from the same sums
// and applies the resulting shares to its own arrivals, so that no VM has to ask another.
// Admissions follow the rate at which streams end, plus the free room within about a
// second, less what refusals of engines show to be missing. More urgent classes are
// admitted first, but every class keeps a quarter of the overall share.
class PriorityAdmission {
public:
    // `phase`, in [0, 1), sets which of the first streams are admitted; entry VMs need
    // different ones.
    explicit PriorityAdmission(double phase);

    // Sets the demand over all entry VMs and the number of typical streams for which the
    // engines have room. Invalid numbers count as 0.
    void update(const ClassDemands&, double freeStreams, base::TimePoint now);

    // Returns whether a new stream may run, and charges its class if so.
    bool tryAdmit(int priorityClass, base::TimePoint now);
    // Charges the class of a stream that another entry VM has begun, which is never refused.
    void admitBegun(int priorityClass, base::TimePoint now);

    // The share of a class's streams that is admitted. 1 if there was no update for 2 s.
    double share(int priorityClass, base::TimePoint now) const;
    // The admitted share of all streams.
    double overallShare(base::TimePoint now) const { return isFresh(now) ? overallShare_ : 1; }
    bool isLimiting(base::TimePoint now) const { return overallShare(now) < 1; }
    // Delay after which the caller of a refused stream should retry. `draw`, in [0, 1), is
    // random and spreads the retries. Longer for less urgent classes.
    std::chrono::milliseconds retryDelay(int priorityClass, double draw) const;

private:
    struct Class {
        double arrivals = 0;
        double share = 1;
        // Admissions that the class has saved up; one stream costs 1.
        double credit = 0;
    };

    bool isFresh(base::TimePoint now) const { return now < freshUntil_; }
    void updateRate(double completions, double refusals, double freeStreams, double arrivals, base::TimePoint now);
    void divide(double arrivals);

    std::array<Class, routes::priorityClassCount> classes_;
    base::TimePoint updatedAt_;
    base::TimePoint freshUntil_;
    // Room that the entry VMs believe free, but that refusals show to be taken, in streams.
    double missingRoom_ = 0;
    // Admissions per second over all entry VMs.
    double rate_ = 0;
    double overallShare_ = 1;
    // Arrivals divided by `rate_`, at least 1.
    double overload_ = 1;
};

} // namespace arbutus::routing
