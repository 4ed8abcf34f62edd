#pragma once

#include "include/routing/AdmissionController.h"

#include <list>
#include <unordered_map>

namespace arbutus::routing {

// The request queue of one team, with its limits, its position in virtual time, and
// the capacity reserved for client retries.
class TeamQueue {
public:
    struct QueuedRequest {
        std::uint64_t id;
        std::size_t expectedTokens;
        base::TimePoint deadline;
        base::TimePoint latestStart;
        // Time from arrival to the deadline.
        std::chrono::nanoseconds timeToDeadline;
        base::TimePoint queuedAt;
    };

    TeamQueue(const TeamRule&, std::uint64_t creationIndex, base::TimePoint now);

    // A team that is blocked by its running limit accumulates no credit.
    void setRule(const TeamRule&, double virtualTime, base::TimePoint now);
    void markRemoved() { isRemoved_ = true; }
    bool isRemoved() const { return isRemoved_; }
    const TeamRule& rule() const { return rule_; }
    std::uint64_t creationIndex() const { return creationIndex_; }
    int priorityClass() const;
    // Weight times the factor of the priority class. The team's virtual time
    // advances by 1 / effectiveWeight() per token.
    double effectiveWeight() const;

    // Returns the seconds until the rate limit permits a request behind `reserved`
    // other requests; 0 if it is permitted now.
    double rateDelaySeconds(double reserved, base::TimePoint now) const;
    void consumeRateToken(base::TimePoint now);

    // True if the queue is not empty and the team's own limits permit its head to start.
    bool canStart() const;
    void push(const QueuedRequest&, double virtualTime);
    // Removes and returns the head, and charges its expected tokens to the team.
    QueuedRequest startHead(base::TimePoint now);
    QueuedRequest remove(std::uint64_t id);
    const QueuedRequest& find(std::uint64_t id) const { return *index_.at(id); }
    // Adjusts the charge of a finished request from expected to actual tokens.
    void requestFinished(std::size_t expectedTokens, std::size_t tokens, double virtualTime);

    double startTag() const { return startTag_; }
    std::size_t queuedCount() const { return queue_.size(); }
    std::size_t queuedTokens() const { return queuedTokens_; }
    std::size_t runningCount() const { return runningCount_; }

    // Returns the seconds until all queued tokens and `extraTokens` have started.
    // Combines `expectedRate`, in tokens per second, with the recently observed
    // service rate of this queue.
    double drainSeconds(double extraTokens, double expectedRate, base::TimePoint now) const;

    // Reserves capacity for a client retry and returns the time to report to the
    // client. A request that already holds a reservation in the future keeps its
    // time. Otherwise the time is `at`, or that of the latest reservation if this is
    // later, so that a new reservation cannot displace an earlier one. Reserves
    // nothing if `fingerprint` is 0 or there are too many reservations.
    base::TimePoint reserveRetry(std::uint64_t fingerprint, std::size_t tokens, base::TimePoint at, base::TimePoint now);
    // Consumes the reservation of the request. Returns false if there is none or its
    // time is still in the future.
    bool claimReservation(std::uint64_t fingerprint, base::TimePoint now);
    // Expected retries, in requests and in tokens: the current reservations times the
    // fraction of earlier reservations that were claimed.
    double expectedRetryRequests() const { return static_cast<double>(reservations_.size()) * claimedRatio_; }
    double expectedRetryTokens() const { return static_cast<double>(reservedRetryTokens_) * claimedRatio_; }

    double startedPerSecond(base::TimePoint now) const { return startedRate_.perSecond(now); }

private:
    double rateTokens(base::TimePoint now) const;

    TeamRule rule_;
    std::uint64_t creationIndex_;
    bool isRemoved_ = false;
    std::list<QueuedRequest> queue_;
    std::unordered_map<std::uint64_t, std::list<QueuedRequest>::iterator> index_;
    std::size_t queuedTokens_ = 0;
    std::size_t runningCount_ = 0;
    // Start tag of the head. While the queue is empty, finish tag of the last started request.
    double startTag_ = 0;
    // Exponentially decayed sums over the requests that waited before they started.
    double servedTokens_ = 0;
    double servedSeconds_ = 0;
    // Time of the last start, or of the first arrival at the empty queue. Service
    // until the next start is measured from here.
    base::TimePoint serviceIntervalStart_;
    double rateTokens_;
    base::TimePoint rateUpdatedAt_;
    struct Reservation {
        base::TimePoint at;
        std::size_t tokens;
    };
    void eraseReservation(std::uint64_t fingerprint);
    void expireReservations(base::TimePoint now);

    DecayedRate startedRate_;
    std::unordered_map<std::uint64_t, Reservation> reservations_;
    std::set<std::pair<base::TimePoint, std::uint64_t>> reservationsByTime_;
    std::size_t reservedRetryTokens_ = 0;
    double claimedRatio_ = 1;
};

} // namespace arbutus::routing
