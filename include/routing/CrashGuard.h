#pragma once

#include "include/base/Random.h"
#include "include/base/Time.h"
#include "include/fleet/CrashReportRegistry.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace arbutus::routing {

// Holds back requests that may crash the upstreams: those whose prompt has a part under
// which an upstream ended just as it began to answer, and those under which as a whole two
// upstreams ended. An answer clears them. After some time, each VM tries a single request;
// the more crashes, the later. What other entry VMs observe counts like own observations,
// and is exchanged by the caller. Not thread-safe.
class CrashGuard {
public:
    // Identifies a part of a prompt or a whole request.
    using Part = std::uint64_t;
    using Origin = fleet::CrashReportRegistry::Origin;
    using Suspicion = fleet::CrashReportRegistry::Suspicion;
    using Parts = std::vector<Part>;

    // Observations that the other entry VMs must learn.
    struct PartCrashed {
        Part part = 0;
        Origin origin;
    };
    struct PartAnswered {
        Part part = 0;
    };
    // An upstream has answered a request, so the crash of its incarnation that was seen
    // before the request was sent was none.
    struct UpstreamAnswered {
        std::uint64_t crash = 0;
        base::TimePoint sentAt;
    };
    using Observation = std::variant<PartCrashed, PartAnswered, UpstreamAnswered>;

    // The time from a crash to a trial of a part.
    struct TrialDelay {
        std::chrono::milliseconds min;
        // Of a random time on top, so that the VMs do not all try at once.
        std::chrono::milliseconds rangePerEntryVm;
    };

    explicit CrashGuard(std::uint64_t seed)
        : random_(seed)
    {
    }

    // Sets the number of entry VMs, over which the trials are spread.
    void setEntryVmCount(std::uint32_t count) { entryVmCount_ = count; }

    // Identifies the parts of a prompt. Each is counted by itself and together with its
    // position, so that a part which is harmless elsewhere is suspected in one position.
    static Parts identify(const std::vector<std::string>& sharedParts);
    // Identifies a request by what its caller repeats when it sends it again.
    static Part identifyRequest(std::string_view host, std::string_view target, std::string_view apiKey, std::string_view body);
    // Identifies one incarnation of an upstream that has ended.
    static std::uint64_t identifyCrash(const std::string& upstream, std::int64_t startedAtMilliseconds);

    // Returns when the caller of a request with these parts should ask again; nullopt if
    // the request may run.
    std::optional<std::chrono::milliseconds> holdTime(const Parts&, base::TimePoint now) const;

    // Call when a request is sent. Returns whether the attempt is the trial of a suspected
    // part; if it is, call attemptEnded() when it has ended for any reason.
    bool attemptStarted(const Parts&, base::TimePoint now);
    void attemptEnded(const Parts&);

    // Call when the first part of an answer has arrived.
    void answerBegan(const Parts&, base::TimePoint now);
    // Call when an upstream has brought the first part of an answer to a request that was
    // sent at `sentAt`, with what identifyCrash() returns for it.
    void upstreamAnswered(std::uint64_t crash, base::TimePoint sentAt);
    // Call when an upstream has begun to answer and ended before any of the answer arrived.
    void upstreamCrashed(const Parts&, std::uint64_t crash, base::TimePoint now);

    // Sets what the entry VMs together hold against a part.
    void setSuspicion(Part, const Suspicion&, base::TimePoint now);
    // Returns the observations since the last call.
    std::vector<Observation> takeObservations() { return std::exchange(observations_, {}); }
    // Ends old suspicions, and forgets answers that are too old to refute a crash. Call
    // about once a second.
    void tick(base::TimePoint now);

    std::size_t heldPartCount() const { return held_.size(); }

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

    // Whether there are enough crashes to hold requests back.
    static bool isConclusive(Part, const Held&);
    void hold(Part, std::vector<Origin>, base::TimePoint crashedAt);
    // When a request with a held part may run.
    std::optional<base::TimePoint> trialTime(Part, const Held&, const Parts& request) const;
    // Whether the outcome of the request tells the part from the others that may be the
    // cause of its crashes, because it lacks one of these.
    bool isDistinctive(Part, const Held&, const Parts& request) const;
    // Whether another part of the crashed request may be the cause and is not in `request`.
    bool hasAbsentRival(Part, const Origin&, const Parts& request) const;
    base::TimePoint drawTime(const TrialDelay&, base::TimePoint crashedAt);
    // Ends the oldest suspicion except that of `newest`.
    void evictOne(Part newest);
    bool wasAnsweredAround(Part, base::TimePoint crashedAt) const;

    base::Random random_;
    std::uint32_t entryVmCount_ = 1;
    std::map<Part, Held> held_;
    // When each part was last answered.
    std::unordered_map<Part, base::TimePoint> answeredAt_;
    std::vector<Observation> observations_;
    // Until then, answers of upstreams may show that they have not crashed.
    base::TimePoint refutableUntil_;
};

} // namespace arbutus::routing
