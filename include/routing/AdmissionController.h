#pragma once

#include "include/base/Error.h"
#include "include/base/Time.h"
#include "include/routing/DecayedRate.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace arbutus::routing {

class TeamQueue;

// Scheduling weight and limits of a team, from the sheet.
struct TeamRule {
    std::string team;
    // Priority class; 0 is the most urgent. Values beyond the last class map to the last class.
    int priority = 0;
    // Weight relative to other teams; must be above zero.
    double weight = 1;
    // Maximum number of running requests; 0 is unlimited.
    std::size_t maxRunning = 0;
    // Requests per second, with a burst of one second's worth; 0 is unlimited.
    double maxRate = 0;
};

struct AdmissionRequest {
    std::uint64_t id = 0;
    std::string team;
    // Expected cost in tokens, the unit of fair queueing.
    std::size_t expectedTokens = 1;
    base::TimePoint deadline;
    // Identifies a request across client retries, for example a hash of the body; 0 if unknown.
    std::uint64_t fingerprint = 0;
};

struct AdmissionRejection {
    std::uint64_t id = 0;
    base::Error error;
};

// Admission control for this VM: decides which request starts next, and rejects
// requests that cannot be answered before their deadline immediately, as not run.
// Uses start-time fair queueing with one queue per team. A team's share depends
// on its weight and priority class, and no class is starved. Not thread-safe.
class AdmissionController {
public:
    struct Options {
        // Maximum number of queued requests over all teams. A team's queue may
        // not grow longer than the remaining capacity, so one team cannot fill it.
        std::size_t maxQueued = 4096;
        std::size_t maxQueuedPerTeam = 1024;
        // Maximum number of running requests on this VM.
        std::size_t slots = 64;
        // Time per token of a running request until measurements are available.
        std::chrono::nanoseconds initialTokenTime = std::chrono::milliseconds(50);
    };

    explicit AdmissionController(const Options&);
    ~AdmissionController();
    AdmissionController(const AdmissionController&) = delete;
    AdmissionController& operator=(const AdmissionController&) = delete;

    // Replaces the rules of all teams. Requests already queued are kept, even if
    // their team is no longer listed; new requests of such a team are rejected.
    void setRules(const std::vector<TeamRule>&, base::TimePoint now);
    void setSlots(std::size_t slots) { options_.slots = slots; }

    // Queues the request. Fails with Forbidden (unknown team), Overloaded (rate
    // limit or full queue) or DeadlineUnreachable. The error's retryAt is when a
    // client retry with the same time to its deadline is expected to be queued and
    // answered in time; it is absent if the service time alone exceeds that time.
    // Capacity is reserved for a retry with the same fingerprint until shortly
    // after retryAt, scaled by the fraction of earlier reservations that were used.
    base::Result<void> enqueue(const AdmissionRequest&, base::TimePoint now);

    // Starts the next request and returns its id. Returns nullopt if all slots are
    // in use or no team may start a request. Call until it returns nullopt.
    std::optional<std::uint64_t> startNext(base::TimePoint now);

    // Call when a started request has ended; `tokens` is its actual cost, in the
    // unit of expectedTokens.
    void requestFinished(std::uint64_t id, std::size_t tokens, base::TimePoint now);
    // Removes a queued request. Returns false if it is not queued.
    bool cancel(std::uint64_t id);
    // Removes and returns queued requests that can no longer be answered in time.
    std::vector<AdmissionRejection> removeExpired(base::TimePoint now);

    std::size_t queuedCount() const { return queued_.size(); }
    std::size_t runningCount() const { return running_.size(); }
    std::size_t queuedCount(const std::string& team) const;
    std::size_t runningCount(const std::string& team) const;

private:
    // Orders by lowest start tag, then by more urgent class, then by older team.
    struct ReadyKey {
        double startTag;
        int priority;
        std::uint64_t creationIndex;
        TeamQueue* team;

        friend bool operator<(const ReadyKey& left, const ReadyKey& right)
        {
            if (left.startTag != right.startTag)
                return left.startTag < right.startTag;
            return left.priority != right.priority ? left.priority < right.priority : left.creationIndex < right.creationIndex;
        }
    };
    struct Running {
        TeamQueue* team;
        std::size_t expectedTokens;
        base::TimePoint startedAt;
    };

    ReadyKey readyKey(TeamQueue&) const;
    // Removes the team from the ready set, applies `change`, and reinserts the team
    // if it has a request that may start.
    template <typename Change>
    void updateReadySet(TeamQueue&, const Change&);
    void removeFromQueue(std::uint64_t id);
    void eraseIfUnused(TeamQueue&);
    double serviceSeconds(std::size_t tokens) const;
    double waitSeconds(const TeamQueue&, double expectedRetryTokens, base::TimePoint now) const;
    double secondsUntilEnded(double seconds, base::TimePoint now) const;
    base::Error makeRejection(TeamQueue&, const AdmissionRequest&, base::ErrorKind, std::string detail, double delaySeconds, base::TimePoint now) const;

    Options options_;
    std::unordered_map<std::string, std::unique_ptr<TeamQueue>> teams_;
    std::set<ReadyKey> ready_;
    std::unordered_map<std::uint64_t, TeamQueue*> queued_;
    // Queued requests by the latest start that still meets their deadline.
    std::set<std::pair<base::TimePoint, std::uint64_t>> latestStarts_;
    std::unordered_map<std::uint64_t, Running> running_;
    double virtualTime_ = 0;
    std::uint64_t nextCreationIndex_ = 0;
    // Exponentially decayed sums over finished requests.
    double observedTokens_;
    double observedSeconds_;
    double observedRequests_;
    // Recent rate of tokens started, over all teams.
    DecayedRate startedRate_;
};

} // namespace arbutus::routing
