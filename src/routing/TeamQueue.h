#pragma once

#include "include/routing/AdmissionController.h"

#include <list>
#include <unordered_map>

namespace arbutus::routing {

// The queue, limits and share of one team.
class TeamQueue {
public:
    struct Queued {
        std::uint64_t id;
        std::size_t expectedTokens;
        base::TimePoint deadline;
        base::TimePoint latestStart;
        // The time that the request had until its deadline when it was offered.
        std::chrono::nanoseconds timeToDeadline;
        base::TimePoint queuedAt;
    };

    TeamQueue(const TeamRule&, std::uint64_t creationIndex, base::TimePoint now);

    // A team does not accumulate service while its running limit holds it back.
    void setRule(const TeamRule&, double virtualTime, base::TimePoint now);
    void markRemoved() { isRemoved_ = true; }
    bool isRemoved() const { return isRemoved_; }
    const TeamRule& rule() const { return rule_; }
    std::uint64_t creationIndex() const { return creationIndex_; }
    int priorityClass() const;
    // Virtual time advances by 1 / share for each token.
    double effectiveWeight() const;

    // Returns the seconds until the rate limit permits a request after
    // `reserved` others, 0 for now.
    double rateDelaySeconds(double reserved, base::TimePoint now) const;
    void consumeRateToken(base::TimePoint now);

    // Returns true when the head of the queue may start as far as the team's own limits go.
    bool canStart() const;
    void push(const Queued&, double virtualTime);
    // Starts the head; charges its expected tokens to the team.
    Queued startHead(base::TimePoint now);
    Queued remove(std::uint64_t id);
    const Queued& find(std::uint64_t id) const { return *index_.at(id); }
    // Corrects the charge of a request that ended.
    void requestFinished(std::size_t expectedTokens, std::size_t tokens, double virtualTime);

    double startTag() const { return startTag_; }
    std::size_t queuedCount() const { return queue_.size(); }
    std::size_t queuedTokens() const { return queuedTokens_; }
    std::size_t runningCount() const { return runningCount_; }

    // Returns the seconds until all queued and the extra tokens have started, at
    // `expectedRate` tokens a second corrected by the rate at which this queue
    // was served lately.
    double drainSeconds(double extraTokens, double expectedRate, base::TimePoint now) const;

    // Keeps `at` as the time that the request was given for its resend. The time
    // promised first stands when the resend comes earlier, and no request is
    // promised an earlier time than the one before, whose place it might take.
    base::TimePoint reserveRetry(std::uint64_t fingerprint, std::size_t tokens, base::TimePoint at, base::TimePoint now);
    // Returns true, once, for a resend at its promised time.
    bool claimReservation(std::uint64_t fingerprint, base::TimePoint now);
    // Requests and tokens that are expected to be resent, from the promises that
    // stand and the share of promises that was redeemed before.
    double expectedRetryRequests() const { return static_cast<double>(reservations_.size()) * claimedRatio_; }
    double expectedRetryTokens() const { return static_cast<double>(reservedRetryTokens_) * claimedRatio_; }

    double startedPerSecond(base::TimePoint now) const { return startedRate_.perSecond(now); }

private:
    double rateTokens(base::TimePoint now) const;

    TeamRule rule_;
    std::uint64_t creationIndex_;
    bool isRemoved_ = false;
    std::list<Queued> queue_;
    std::unordered_map<std::uint64_t, std::list<Queued>::iterator> index_;
    std::size_t queuedTokens_ = 0;
    std::size_t runningCount_ = 0;
    // Start tag of the head; the finish tag of the last started request while the queue is empty.
    double startTag_ = 0;
    // Decayed sums over the requests that waited before they started.
    double servedTokens_ = 0;
    double servedSeconds_ = 0;
    // Start of the interval in which the next start is measured.
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
