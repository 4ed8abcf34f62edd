#include "include/routing/CrashGuard.h"

#include "include/base/Digest.h"

#include <algorithm>
#include <array>

namespace arbutus::routing {

// An upstream may lose a connection just after it began to answer although the request
// is harmless. A part that was answered up to this long before is not suspected.
static constexpr std::chrono::seconds refutingAnswerAge(2);
// A part that was answered within this time is not suspected beside one that was not.
static constexpr std::chrono::seconds answerRetention(60);
// An upstream that lives on after it lost a connection answers other requests well within
// this time.
static constexpr std::chrono::minutes refutableTime(1);
static constexpr std::size_t maxAnsweredParts = 8192;
static constexpr std::size_t maxHeldParts = 512;
// A whole request is held back from this number of crashes on, because a connection that
// was lost once says little about a request that nobody else sends.
static constexpr std::size_t minCrashesOfRequest = 2;
// A trial whose outcome is unknown after this time no longer prevents another one.
static constexpr std::chrono::seconds trialTimeout(5);

// The time from a crash to the next trial, by the number of crashes; beyond these there is
// no trial. Sound parts are mostly cleared by answers to other requests, so a trial mostly
// costs an upstream. The VMs learn of the outcome of a trial after some 100 ms. So each
// draws its own time from a range that grows with their number.
struct TrialDelay {
    std::chrono::milliseconds min;
    std::chrono::milliseconds rangePerEntryVm;
};
static constexpr std::array trialDelays {
    TrialDelay { std::chrono::minutes(1), std::chrono::seconds(5) },
    TrialDelay { std::chrono::minutes(15), std::chrono::minutes(1) },
    TrialDelay { std::chrono::hours(2), std::chrono::minutes(10) },
};
// The same for whole requests, beginning with minCrashesOfRequest crashes. All entry VMs
// together send a deadly one at most a few times a day.
static constexpr std::array requestTrialDelays { trialDelays.front(), trialDelays.back() };
// Answers to requests that were on their way at the crash clear sound parts within this
// time, so callers are not told to stay away for longer before.
static constexpr std::chrono::seconds settlingTime(2);
// A request with only some of the suspected parts of a crashed one may run earlier, because
// its outcome tells which of them is the cause; so may one of several requests under which
// the same upstreams ended. After more crashes they are not told apart.
static constexpr TrialDelay distinctionDelay { std::chrono::seconds(3), std::chrono::seconds(1) };
static constexpr std::size_t maxDistinguishedCrashes = 2;
// Bounds what callers are told, who may know better when to come back.
static constexpr std::chrono::minutes longestHoldTime(5);

static base::TimePoint drawTime(base::Random& random, const TrialDelay& delay, std::uint32_t entryVms, base::TimePoint crashedAt)
{
    auto range = static_cast<double>(delay.rangePerEntryVm.count()) * std::max(1U, entryVms);
    return crashedAt + delay.min + std::chrono::milliseconds(static_cast<std::int64_t>(random.between(0, range)));
}

static std::optional<TrialDelay> trialDelayAfter(PromptPart part, std::size_t crashes)
{
    auto first = isWholeRequest(part) ? minCrashesOfRequest : 1;
    if (crashes < first)
        return std::nullopt;
    auto step = crashes - first;
    if (isWholeRequest(part))
        return step < requestTrialDelays.size() ? std::optional(requestTrialDelays[step]) : std::nullopt;
    return step < trialDelays.size() ? std::optional(trialDelays[step]) : std::nullopt;
}

bool CrashGuard::isConclusive(PromptPart part, const Held& held) { return held.origins.size() >= (isWholeRequest(part) ? minCrashesOfRequest : 1); }

// Whether an upstream ended under the one in each crash in which one ended under the other.
static bool includesCrashes(const std::vector<CrashGuard::Origin>& outer, const std::vector<CrashGuard::Origin>& inner)
{
    return std::all_of(inner.begin(), inner.end(), [&outer](const auto& origin) {
        return std::any_of(outer.begin(), outer.end(), [&origin](const auto& other) { return other.crash == origin.crash; });
    });
}

bool CrashGuard::isHeldBack(PromptPart part, const Held& held) const { return isConclusive(part, held) && !isExplainedByAnother(part, held); }

bool CrashGuard::isHeldBack(PromptPart part) const
{
    auto found = held_.find(part);
    return found != held_.end() && isHeldBack(part, found->second);
}

bool CrashGuard::isExplainedByAnother(PromptPart request, const Held& held) const
{
    if (!isWholeRequest(request) || held.origins.size() > maxDistinguishedCrashes)
        return false;
    return std::any_of(held_.begin(), held_.end(), [&held](const auto& entry) {
        const auto& origins = entry.second.origins;
        return origins.size() > std::max(held.origins.size(), maxDistinguishedCrashes) && includesCrashes(origins, held.origins);
    });
}

bool CrashGuard::hasRivalRequest(PromptPart request, const Held& held) const
{
    return std::any_of(held_.begin(), held_.end(), [request, &held](const auto& entry) { return entry.first != request && isWholeRequest(entry.first) && includesCrashes(entry.second.origins, held.origins); });
}

std::uint64_t CrashGuard::identifyCrash(const std::string& upstream, std::int64_t startedAtMilliseconds) { return base::hash64(upstream, static_cast<std::uint64_t>(startedAtMilliseconds)); }

std::optional<std::chrono::milliseconds> CrashGuard::holdTime(const PromptParts& parts, base::TimePoint now) const
{
    std::optional<std::chrono::milliseconds> longest;
    for (auto part : parts) {
        auto found = held_.find(part);
        if (found == held_.end())
            continue;
        const auto& held = found->second;
        if (!isHeldBack(part, held))
            continue;
        auto end = trialTime(part, held, parts);
        if (end && held.trialDeadline)
            end = std::max(*end, *held.trialDeadline);
        if (end && now >= *end)
            continue;
        std::chrono::milliseconds time = longestHoldTime;
        auto told = now < held.settlesAt ? held.settlesAt : end;
        if (told)
            time = std::min(time, std::chrono::ceil<std::chrono::milliseconds>(*told - now));
        longest = std::max(longest.value_or(time), time);
    }
    return longest;
}

bool CrashGuard::attemptStarted(const PromptParts& parts, base::TimePoint now)
{
    bool isTrial = false;
    for (auto part : parts) {
        if (auto found = held_.find(part); found != held_.end() && isHeldBack(part, found->second)) {
            found->second.trialDeadline = now + trialTimeout;
            isTrial = true;
        }
    }
    return isTrial;
}

void CrashGuard::attemptEnded(const PromptParts& parts)
{
    for (auto part : parts) {
        if (auto found = held_.find(part); found != held_.end())
            found->second.trialDeadline.reset();
    }
}

void CrashGuard::answerBegan(const PromptParts& parts, base::TimePoint now)
{
    for (auto part : parts) {
        auto& answeredAt = isWholeRequest(part) ? requestAnsweredAt_ : partAnsweredAt_;
        if (answeredAt.size() < maxAnsweredParts || answeredAt.count(part))
            answeredAt[part] = now;
        if (held_.erase(part))
            observations_.push_back(PartAnswered { part });
    }
}

void CrashGuard::upstreamAnswered(std::uint64_t crash, base::TimePoint sentAt, std::optional<base::TimePoint> connectedAt)
{
    if (sentAt < refutableUntil_)
        observations_.push_back(UpstreamAnswered { crash, sentAt, connectedAt });
}

bool CrashGuard::wasAnsweredAround(PromptPart part, base::TimePoint crashedAt) const
{
    const auto& answeredAt = answerTimesOf(part);
    auto found = answeredAt.find(part);
    return found != answeredAt.end() && found->second + refutingAnswerAge >= crashedAt;
}

void CrashGuard::upstreamCrashed(const PromptParts& parts, std::uint64_t crash, base::TimePoint now)
{
    const Origin origin { crash, requestAmong(parts) };
    bool hasUnanswered = std::any_of(parts.begin(), parts.end(), [this](PromptPart part) { return !isWholeRequest(part) && !partAnsweredAt_.count(part); });
    for (auto part : parts) {
        if (wasAnsweredAround(part, now) || (hasUnanswered && partAnsweredAt_.count(part)))
            continue;
        observations_.push_back(PartCrashed { part, origin });
        countCrash(part, origin, now);
        auto& held = held_[part];
        held.distinctionAt = std::max(held.distinctionAt, now + distinctionDelay.min);
        if (held.trialAt)
            held.trialAt = std::max(*held.trialAt, now + trialDelays.front().min);
    }
}

void CrashGuard::countCrash(PromptPart part, const Origin& origin, base::TimePoint now)
{
    auto origins = held_[part].origins;
    auto isBefore = [](const Origin& left, const Origin& right) { return left.crash < right.crash; };
    auto place = std::lower_bound(origins.begin(), origins.end(), origin, isBefore);
    // Another VM may have seen the same crash.
    if (place != origins.end() && place->crash == origin.crash)
        return;
    origins.insert(place, origin);
    hold(part, std::move(origins), now);
}

std::optional<base::TimePoint> CrashGuard::trialTime(PromptPart part, const Held& held, const PromptParts& request) const { return isDistinctive(part, held, request) ? held.distinctionAt : held.trialAt; }

bool CrashGuard::isDistinctive(PromptPart part, const Held& held, const PromptParts& request) const
{
    if (held.origins.size() > maxDistinguishedCrashes)
        return false;
    if (isWholeRequest(part))
        return hasRivalRequest(part, held);
    return std::all_of(held.origins.begin(), held.origins.end(), [&](const Origin& origin) { return hasAbsentRival(part, origin, request); });
}

bool CrashGuard::hasAbsentRival(PromptPart part, const Origin& origin, const PromptParts& request) const
{
    return std::any_of(held_.begin(), held_.end(), [&](const auto& entry) {
        const auto& [rival, held] = entry;
        if (isWholeRequest(rival) || haveSameText(rival, part) || std::find(held.origins.begin(), held.origins.end(), origin) == held.origins.end())
            return false;
        return std::none_of(request.begin(), request.end(), [rival = rival](PromptPart present) { return haveSameText(present, rival); });
    });
}

void CrashGuard::hold(PromptPart part, std::vector<Origin> origins, base::TimePoint crashedAt)
{
    auto& held = held_[part];
    if (origins == held.origins)
        return;
    auto crashes = origins.size();
    held = { std::move(origins), crashedAt + settlingTime, drawTime(random_, distinctionDelay, entryVmCount_, crashedAt), std::nullopt, crashedAt + fleet::CrashReportRegistry::reportLifetime, std::nullopt };
    refutableUntil_ = std::max(refutableUntil_, crashedAt + refutableTime);
    if (held_.size() > maxHeldParts)
        evictOne(part);
    if (auto delay = trialDelayAfter(part, crashes))
        held.trialAt = drawTime(random_, *delay, entryVmCount_, crashedAt);
}

void CrashGuard::evictOne(PromptPart newest)
{
    auto rank = [](const auto& entry) { return std::make_pair(isConclusive(entry.first, entry.second), entry.second.endsAt); };
    auto first = held_.end();
    for (auto it = held_.begin(); it != held_.end(); ++it) {
        if (it->first != newest && (first == held_.end() || rank(*it) < rank(*first)))
            first = it;
    }
    held_.erase(first);
}

void CrashGuard::setSuspicion(PromptPart part, const Suspicion& suspicion, base::TimePoint now)
{
    if (suspicion.origins.empty())
        held_.erase(part);
    else if (wasAnsweredAround(part, now - suspicion.age))
        observations_.push_back(PartAnswered { part });
    else
        hold(part, suspicion.origins, now - suspicion.age);
}

std::size_t CrashGuard::crashCount(PromptPart part) const
{
    auto found = held_.find(part);
    return found == held_.end() ? 0 : found->second.origins.size();
}

template <typename AnswerTimes>
static void forgetAnswers(AnswerTimes& answeredAt, base::TimePoint before)
{
    for (auto it = answeredAt.begin(); it != answeredAt.end();)
        it = it->second <= before ? answeredAt.erase(it) : std::next(it);
}

void CrashGuard::tick(base::TimePoint now)
{
    forgetAnswers(partAnsweredAt_, now - answerRetention);
    forgetAnswers(requestAnsweredAt_, now - refutingAnswerAge);
    for (auto it = held_.begin(); it != held_.end();)
        it = now >= it->second.endsAt ? held_.erase(it) : std::next(it);
}

} // namespace arbutus::routing
