#pragma once

#include "include/base/Time.h"

#include <deque>
#include <map>
#include <string>

namespace arbutus::routing {

// Streams that engines have recently refused, and how often such an engine is tried again.
// A refusal shows that an engine is fuller than the reported load says. Entry VMs learn of
// each other's refusals only with the next reports; if each tried the engine for itself, a
// large fleet would send it a burst of streams that it refuses. So all entry VMs together
// try it at a limited rate, which the refusals lower and which grows again without them.
class RefusalTracker {
public:
    // Call when an engine has refused a stream of this VM.
    void record(const std::string& engine, base::TimePoint now);
    // Sets the refusals that other entry VMs report, by engine.
    void setPeers(const std::map<std::string, double>& refusals, base::TimePoint now);

    // Returns how many streams of this VM each engine refused in the last 500 ms.
    std::map<std::string, double> ownRecent(base::TimePoint now) const;
    // Returns how strongly the engine refuses: the refusals in the last 500 ms, then less,
    // by half every 100 ms. 0 if it does not.
    double level(const std::string& engine, base::TimePoint now) const;
    // Returns the probability with which this VM may try the engine now, if it last placed a
    // stream `sinceLastChoice` ago.
    double tryProbability(const std::string& engine, std::chrono::nanoseconds sinceLastChoice, std::uint32_t entryVmCount, base::TimePoint now) const;

private:
    struct Engine {
        std::deque<base::TimePoint> ownAt;
        double peers = 0;
        base::TimePoint peersAt;
        double level = 0;
        base::TimePoint levelAt;
    };

    static double ownRecent(const Engine&, base::TimePoint now);
    static double level(const Engine&, base::TimePoint now);
    static void keepLevel(Engine&, base::TimePoint now);
    void removeExpired(base::TimePoint now);

    std::map<std::string, Engine> engines_;
};

} // namespace arbutus::routing
