#pragma once

#include "include/base/Time.h"
#include "include/fleet/UpstreamRecord.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace arbutus::routing {

enum class CallResult {
    Answered,
    // The upstream answered with an error.
    Failed,
    // No usable answer: connection refused, reset, truncated or timed out.
    Lost,
    // The upstream stated that it did not execute the call.
    NotRun,
    // The caller disconnected; the call says nothing about the upstream.
    Cancelled,
};

// Load balancer of one plain service. Chooses the upstream with the lowest expected
// cost, from its latency, its in-flight calls and its failure rate, with a preference
// for the local data centre.
class ServiceBalancer {
public:
    explicit ServiceBalancer(std::string dataCentre)
        : dataCentre_(std::move(dataCentre))
    {
    }

    void setUpstream(const fleet::UpstreamRecord&);
    void removeUpstream(const std::string& id) { upstreams_.erase(id); }
    // Sets the in-flight calls that other entry VMs report, by upstream.
    void setPeerRunning(std::map<std::string, double> running) { peerRunning_ = std::move(running); }
    // Whether a call stays in the local data centre while a sound upstream there has a free
    // slot. Off by default.
    void setStaysLocal(bool staysLocal) { staysLocal_ = staysLocal; }
    void markSuspect(const std::string& id, base::TimePoint until);

    // Returns nullopt if there is no upstream outside `avoided`. A suspect upstream is
    // chosen only if there is no other.
    std::optional<fleet::UpstreamRecord> choose(const std::set<std::string>& avoided, base::TimePoint now) const;

    // Call when a call is sent and when it ends. Calls that were cancelled or not run do
    // not affect the averages; the duration of a lost call is ignored.
    void callStarted(const std::string& id);
    void callFinished(const std::string& id, CallResult, std::chrono::nanoseconds duration);

    // In-flight calls of this VM, by upstream.
    std::map<std::string, double> ownRunning() const;
    bool isEmpty() const { return upstreams_.empty(); }

private:
    struct Upstream {
        fleet::UpstreamRecord record;
        double running = 0;
        // Exponential moving averages over finished calls.
        double milliseconds = 0;
        double failureRate = 0;
        base::TimePoint suspectUntil;
    };

    double runningAt(const Upstream&) const;
    double expectedCost(const Upstream&, base::TimePoint now) const;
    bool hasFreeSlot(const Upstream& upstream) const { return runningAt(upstream) + 1 <= std::max(1, upstream.record.slots); }

    std::string dataCentre_;
    bool staysLocal_ = false;
    std::map<std::string, Upstream> upstreams_;
    std::map<std::string, double> peerRunning_;
};

} // namespace arbutus::routing
