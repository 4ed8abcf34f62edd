#pragma once

#include "include/base/Random.h"
#include "include/base/Time.h"
#include "include/fleet/CrashReportRegistry.h"
#include "include/routing/PromptPart.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace arbutus::routing {

// Holds back requests that may crash the upstreams: those whose prompt has a part under
// which an upstream ended just as it began to answer, and those under which as a whole two
// upstreams ended, whoever sent them. An answer clears them. After some time, each VM tries
// a single request; the more crashes, the later. What other entry VMs observe counts like
// own observations, and is exchanged by the caller. Not thread-safe.
class CrashGuard {
public:
    using Origin = fleet::CrashReportRegistry::Origin;
    using Suspicion = fleet::CrashReportRegistry::Suspicion;

    // Observations that the other entry VMs must learn.
    struct PartCrashed {
        PromptPart part = 0;
        Origin origin;
    };
    struct PartAnswered {
        PromptPart part = 0;
    };
    // An upstream has answered a request. The crash of its incarnation that was seen before the
    // request was sent was none, if the answer came from the same process.
    struct UpstreamAnswered {
        std::uint64_t crash = 0;
        base::TimePoint sentAt;
        // When the connection of the answer was established; nullopt if the answer shows by
        // itself that the process is the same.
        std::optional<base::TimePoint> connectedAt;
    };
    using Observation = std::variant<PartCrashed, PartAnswered, UpstreamAnswered>;

    explicit CrashGuard(std::uint64_t seed)
        : random_(seed)
    {
    }

    // Sets the number of entry VMs, over which the trials are spread.
    void setEntryVmCount(std::uint32_t count) { entryVmCount_ = count; }

    // Identifies one incarnation of an upstream that has ended.
    static std::uint64_t identifyCrash(const std::string& upstream, std::int64_t startedAtMilliseconds);

    // Returns when the caller of a request with these parts should ask again; nullopt if
    // the request may run.
    std::optional<std::chrono::milliseconds> holdTime(const PromptParts&, base::TimePoint now) const;

    // Call when a request is sent. Returns whether the attempt is the trial of a suspected
    // part; if it is, call attemptEnded() when it has ended for any reason.
    bool attemptStarted(const PromptParts&, base::TimePoint now);
    void attemptEnded(const PromptParts&);

    // Call when the first part of an answer has arrived.
    void answerBegan(const PromptParts&, base::TimePoint now);
    // Call when an upstream has brought the first part of an answer to a request that was
    // sent at `sentAt`, with what identifyCrash() returns for it. See UpstreamAnswered.
    void upstreamAnswered(std::uint64_t crash, base::TimePoint sentAt, std::optional<base::TimePoint> connectedAt);
    // Call when an upstream has ended before any of the answer to a stream request, which it
    // had begun, or the whole answer to another call arrived.
    void upstreamCrashed(const PromptParts&, std::uint64_t crash, base::TimePoint now);

    // Sets what the entry VMs together hold against a part.
    void setSuspicion(PromptPart, const Suspicion&, base::TimePoint now);
    // Returns the observations since the last call.
    std::vector<Observation> takeObservations() { return std::exchange(observations_, {}); }
    // Ends old suspicions, and forgets answers that are too old to refute a crash. Call
    // about once a second.
    void tick(base::TimePoint now);

    std::size_t heldPartCount() const { return held_.size(); }
    // Whether requests with the part are held back now or may only be tried.
    bool isHeldBack(PromptPart) const;
    // Returns how many crashes of different incarnations nobody refutes for a part.
    std::size_t crashCount(PromptPart) const;

private:
    struct Held {
        std::vector<Origin> origins;
        base::TimePoint settlesAt;
        // When a request may run that tells the part from the others of its crashes.
        base::TimePoint distinctionAt;
        // When any request may run; nullopt: not until the suspicion ends.
        std::optional<base::TimePoint> trialAt;
        base::TimePoint endsAt;
        // Set while a trial is running.
        std::optional<base::TimePoint> trialDeadline;
    };

    using AnswerTimes = std::unordered_map<PromptPart, base::TimePoint>;

    // Whether there are enough crashes to hold requests back.
    static bool isConclusive(PromptPart, const Held&);
    // Whether requests with the part are held back, unless one may be tried.
    bool isHeldBack(PromptPart, const Held&) const;
    // Whether another request or part was there in all crashes of a request that was there
    // in few, and in others as well.
    bool isExplainedByAnother(PromptPart request, const Held&) const;
    // Whether another request was there in all crashes of this one.
    bool hasRivalRequest(PromptPart request, const Held&) const;
    // Adds one crash to those of the part, unless it is known.
    void countCrash(PromptPart, const Origin&, base::TimePoint now);
    void hold(PromptPart, std::vector<Origin>, base::TimePoint crashedAt);
    // When a request with a held part may run.
    std::optional<base::TimePoint> trialTime(PromptPart, const Held&, const PromptParts& request) const;
    // Whether the outcome of the request tells the part from the others that may be the
    // cause of its crashes, because it lacks one of these.
    bool isDistinctive(PromptPart, const Held&, const PromptParts& request) const;
    // Whether another part of the crashed request may be the cause and is not in `request`.
    bool hasAbsentRival(PromptPart, const Origin&, const PromptParts& request) const;
    // Ends the oldest suspicion except that of `newest`; one that holds nothing back first.
    void evictOne(PromptPart newest);
    const AnswerTimes& answerTimesOf(PromptPart part) const { return isWholeRequest(part) ? requestAnsweredAt_ : partAnsweredAt_; }
    bool wasAnsweredAround(PromptPart, base::TimePoint crashedAt) const;

    base::Random random_;
    std::uint32_t entryVmCount_ = 1;
    std::map<PromptPart, Held> held_;
    // When each shared part and each whole request was last answered.
    AnswerTimes partAnsweredAt_;
    AnswerTimes requestAnsweredAt_;
    std::vector<Observation> observations_;
    // Until then, answers of upstreams may show that they have not crashed.
    base::TimePoint refutableUntil_;
};

} // namespace arbutus::routing
