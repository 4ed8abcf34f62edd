#pragma once

#include "include/routing/DecayedRate.h"
#include "include/routing/PriorityAdmission.h"

namespace arbutus::routing {

// Measures the streams of one service at one entry VM by priority class, for
// PriorityAdmission. Every class must be in [0, routes::priorityClassCount).
class DemandMeter {
public:
    void requestArrived(int priorityClass, base::TimePoint now) { of(priorityClass).arrivals.add(1, now); }
    // Call when a stream that an engine had begun to answer has ended.
    void streamEnded(int priorityClass, base::TimePoint now) { of(priorityClass).completions.add(1, now); }
    // Call when an engine has refused an attempt for lack of memory or slots.
    void attemptRefused(int priorityClass, base::TimePoint now) { of(priorityClass).refusals.add(1, now); }

    ClassDemands demand(base::TimePoint now) const
    {
        ClassDemands result;
        for (std::size_t i = 0; i < result.size(); ++i)
            result[i] = { classes_[i].arrivals.perSecond(now), classes_[i].completions.perSecond(now), classes_[i].refusals.perSecond(now) };
        return result;
    }

private:
    // Shorter than the time in which a burst fills the engines; long enough for many streams
    // of a busy service.
    static constexpr std::chrono::milliseconds timeConstant { 500 };

    struct Class {
        DecayedRate arrivals { timeConstant };
        DecayedRate completions { timeConstant };
        DecayedRate refusals { timeConstant };
    };

    Class& of(int priorityClass) { return classes_[static_cast<std::size_t>(priorityClass)]; }

    std::array<Class, routes::priorityClassCount> classes_;
};

} // namespace arbutus::routing
