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

// What the sheet grants a team.
struct TeamRule {
    std::string team;
    // 0 is the most urgent class; classes after the last one count as the last.
    int priority = 0;
    // Share relative to other teams; above zero.
    double weight = 1;
    // Requests running at a time; 0 is unlimited.
    std::size_t maxRunning = 0;
    // Requests a second, in bursts of one second; 0 is unlimited.
    double maxRate = 0;
};

struct AdmissionRequest {
    std::uint64_t id = 0;
    std::string team;
    // The expected cost in tokens; the fair share is measured in these.
    std::size_t expectedTokens = 1;
    base::TimePoint deadline;
    // The same for a request and its resend, for instance a hash of the body.
    std::uint64_t fingerprint = 0;
};

struct AdmissionRefusal {
    std::uint64_t id = 0;
    base::Error error;
};

// Decides which request starts next on this VM, and refuses at once, as not run,
// what cannot be answered in time. Start-time fair queueing over one queue for
// each team; a team's share follows its weight and its priority class, and no
// class is starved. Not safe to use from several threads.
class AdmissionController {
public:
    struct Options {
        // Queued requests of all teams. A team may queue at most as many
        // requests as places are free, so one team cannot take every place.
        std::size_t maxQueued = 4096;
        std::size_t maxQueuedPerTeam = 1024;
        // Requests that may run at a time on this VM.
        std::size_t slots = 64;
        // Time for each token of a running request, until it has been observed.
        std::chrono::nanoseconds initialTokenTime = std::chrono::milliseconds(50);
    };

    explicit AdmissionController(const Options&);
    ~AdmissionController();
    AdmissionController(const AdmissionController&) = delete;
    AdmissionController& operator=(const AdmissionController&) = delete;

    // Replaces the rules of all teams. Queued requests stay, also those of a team
    // that is no longer named; new requests of such a team are refused.
    void setRules(const std::vector<TeamRule>&, base::TimePoint now);
    void setSlots(std::size_t slots) { options_.slots = slots; }

    // Queues the request. Fails with Forbidden (no such team), Overloaded (rate
    // limit or full queue) or DeadlineUnreachable. The error's retryAt is when a
    // resend with the same time to its deadline is expected to be queued and
    // answered in time; it is absent when the request alone takes longer. The
    // place is kept for a resend with the same fingerprint until shortly after
    // that time, as far as resends have been seen to come.
    base::Result<void> enqueue(const AdmissionRequest&, base::TimePoint now);

    // Returns the request to start now; nothing when all slots are taken or no
    // team may start one. Call until it returns nothing.
    std::optional<std::uint64_t> startNext(base::TimePoint now);

    // A started request has ended after `tokens` tokens, in the unit of expectedTokens.
    void requestFinished(std::uint64_t id, std::size_t tokens, base::TimePoint now);
    // Removes a queued request; returns false when it is not queued.
    bool cancel(std::uint64_t id);
    // Removes and returns queued requests that can no longer be answered in time.
    std::vector<AdmissionRefusal> removeExpired(base::TimePoint now);

    std::size_t queuedCount() const { return queued_.size(); }
    std::size_t runningCount() const { return running_.size(); }
    std::size_t queuedCount(const std::string& team) const;
    std::size_t runningCount(const std::string& team) const;

private:
    // Lowest start tag first, then the more urgent class, then the older team.
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
    // Takes a team out of the ready set while its state changes, and puts it
    // back when it has a request that may start.
    template <typename Change>
    void updateReadySet(TeamQueue&, const Change&);
    void removeFromQueue(std::uint64_t id);
    void eraseIfUnused(TeamQueue&);
    double serviceSeconds(std::size_t tokens) const;
    double waitSeconds(const TeamQueue&, double expectedRetryTokens, base::TimePoint now) const;
    double secondsUntilEnded(double seconds, base::TimePoint now) const;
    base::Error makeRefusal(TeamQueue&, const AdmissionRequest&, base::ErrorKind, std::string detail, double delaySeconds, base::TimePoint now) const;

    Options options_;
    std::unordered_map<std::string, std::unique_ptr<TeamQueue>> teams_;
    std::set<ReadyKey> ready_;
    std::unordered_map<std::uint64_t, TeamQueue*> queued_;
    // By the time after which the request cannot be answered in time.
    std::set<std::pair<base::TimePoint, std::uint64_t>> latestStarts_;
    std::unordered_map<std::uint64_t, Running> running_;
    double virtualTime_ = 0;
    std::uint64_t nextCreationIndex_ = 0;
    // Decayed sums over finished requests.
    double observedTokens_;
    double observedSeconds_;
    double observedRequests_;
    // Tokens a second that all teams started lately.
    DecayedRate startedRate_;
};

} // namespace arbutus::routing
