#pragma once

#include "include/base/Time.h"
#include "include/fleet/UpstreamFact.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace arbutus::routing {

enum class CallResult {
    Answered,
    // The upstream answered that it failed.
    Failed,
    // No usable answer: refused, reset, cut off or too late.
    Lost,
    // The upstream stated that it did not run the call.
    Refused,
    // The caller left; says nothing about the upstream.
    Cancelled,
};

// Chooses an upstream of a plain service: the least expected time by its own
// speed and the calls at it, with a preference for the own data centre; upstreams
// that fail are chosen less often.
class ServiceBalancer {
public:
    explicit ServiceBalancer(std::string dataCentre)
        : dataCentre_(std::move(dataCentre))
    {
    }

    void setUpstream(const fleet::UpstreamFact&);
    void removeUpstream(const std::string& id) { upstreams_.erase(id); }
    void setRemoteRunning(std::map<std::string, double> running) { remoteRunning_ = std::move(running); }
    void markSuspect(const std::string& id, base::TimePoint until);

    // Returns nothing if there is no upstream outside `avoided`. A suspect is
    // chosen only where nothing else is left.
    std::optional<fleet::UpstreamFact> choose(const std::set<std::string>& avoided, base::TimePoint now) const;

    void callStarted(const std::string& id);
    void callFinished(const std::string& id, CallResult, std::chrono::nanoseconds duration);

    std::map<std::string, double> localRunning() const;
    bool isEmpty() const { return upstreams_.empty(); }

private:
    struct Upstream {
        fleet::UpstreamFact fact;
        double running = 0;
        // Moving averages.
        double milliseconds = 0;
        double failureRate = 0;
        base::TimePoint suspectUntil;
    };

    double expectedCost(const Upstream&, base::TimePoint now) const;

    std::string dataCentre_;
    std::map<std::string, Upstream> upstreams_;
    std::map<std::string, double> remoteRunning_;
};

} // namespace arbutus::routing
