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
    Abandoned,
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
    void setOthersRunning(std::map<std::string, double> running) { others_ = std::move(running); }
    void suspect(const std::string& id, base::TimePoint until);

    // Returns nothing if there is no upstream outside `avoided`. A suspect is
    // chosen only where nothing else is left.
    std::optional<fleet::UpstreamFact> choose(const std::set<std::string>& avoided, base::TimePoint now) const;

    void started(const std::string& id);
    void finished(const std::string& id, CallResult, std::chrono::nanoseconds took);

    std::map<std::string, double> ownRunning() const;
    bool isEmpty() const { return upstreams_.empty(); }

private:
    struct Upstream {
        fleet::UpstreamFact fact;
        double running = 0;
        // Moving averages.
        double milliseconds = 0;
        double failureShare = 0;
        base::TimePoint suspectUntil;
    };

    double score(const Upstream&, base::TimePoint now) const;

    std::string dataCentre_;
    std::map<std::string, Upstream> upstreams_;
    std::map<std::string, double> others_;
};

} // namespace arbutus::routing
