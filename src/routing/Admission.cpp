#include "include/routing/Admission.h"

#include "src/routing/TeamQueue.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace arbutus::routing {

// Weight of the past in the observed speed; 64 requests or so decide it.
static constexpr double observationDecay = 1 - 1.0 / 64;
static constexpr double initialObservedTokens = 64;
// The expected wait is a mean. Without this share on top, about half of the
// requests accepted at the limit would pass their deadline in the queue.
static constexpr double waitMargin = 0.2;
// A time promised for the resend lies further ahead and is less certain.
static constexpr double promiseMargin = 1.6;
static constexpr double shortestRetrySeconds = 0.001;

static std::chrono::nanoseconds toNanoseconds(double seconds)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
}

Admission::Admission(const Options& options)
    : options_(options)
    , observedTokens_(initialObservedTokens)
    , observedSeconds_(std::chrono::duration<double>(options.initialTokenTime).count() * initialObservedTokens)
    , observedRequests_(1)
{
    assert(options.maxQueued && options.maxQueuedPerTeam && options.initialTokenTime.count() > 0);
}

Admission::~Admission() = default;

Admission::ReadyKey Admission::readyKey(TeamQueue& team) const
{
    return { team.startTag(), team.priorityClass(), team.order(), &team };
}

template <typename Change>
void Admission::update(TeamQueue& team, const Change& change)
{
    if (team.isReady())
        ready_.erase(readyKey(team));
    change();
    if (team.isReady())
        ready_.insert(readyKey(team));
}

void Admission::setRules(const std::vector<TeamRule>& rules, base::TimePoint now)
{
    std::set<std::string> named;
    for (const auto& rule : rules) {
        named.insert(rule.team);
        auto& team = teams_[rule.team];
        if (!team)
            team = std::make_unique<TeamQueue>(rule, nextTeamOrder_++, now);
        else
            update(*team, [&] { team->setRule(rule, virtualTime_, now); });
    }
    std::vector<TeamQueue*> removed;
    for (const auto& [name, team] : teams_) {
        if (!named.count(name))
            removed.push_back(team.get());
    }
    for (TeamQueue* team : removed) {
        team->markRemoved();
        dropIfUnused(*team);
    }
}

void Admission::dropIfUnused(TeamQueue& team)
{
    if (team.isRemoved() && !team.queuedCount() && !team.runningCount())
        teams_.erase(std::string(team.rule().team));
}

double Admission::serviceSeconds(std::size_t tokens) const
{
    return static_cast<double>(tokens) * observedSeconds_ / observedTokens_;
}

// Returns the wait of a request that joins the queue of `team` now, behind
// `promisedTokens` that are expected to be resent: the longest of what the
// queues ahead, the rate left by other teams, the team's own running limit and
// the observed service of its queue let expect.
double Admission::waitSeconds(const TeamQueue& team, double promisedTokens, base::TimePoint now) const
{
    const double tokenSeconds = observedSeconds_ / observedTokens_;
    const double meanTokens = observedTokens_ / observedRequests_;
    const double tokensPerSecond = static_cast<double>(std::max<std::size_t>(options_.slots, 1)) / tokenSeconds;
    const std::size_t limit = team.rule().maxRunning;
    const bool isAtLimit = limit && team.runningCount() >= limit;
    const bool hasFreeSlot = running_.size() < options_.slots;
    if (hasFreeSlot && ready_.empty() && !isAtLimit)
        return 0;

    const double own = static_cast<double>(team.queuedTokens()) + promisedTokens;
    // Tokens that start before it: its own team's, and those of other teams with
    // a lower start tag.
    const double tag = std::max(team.startTag(), virtualTime_) + own / team.share();
    double ahead = own;
    double shares = team.share();
    for (const auto& key : ready_) {
        if (key.startTag >= tag)
            break;
        if (key.team == &team)
            continue;
        ahead += std::min(static_cast<double>(key.team->queuedTokens()), (tag - key.startTag) * key.team->share() + meanTokens);
        shares += key.team->share();
    }
    double wait = (ahead + (hasFreeSlot ? 0 : meanTokens)) / tokensPerSecond;
    // Teams without a queue at this moment keep sending, too. The team can count
    // on what they leave, and on its fair share.
    const double otherRate = startedRate_.perSecond(now) - team.startedPerSecond(now);
    const double ownRate = std::max(tokensPerSecond * team.share() / shares, tokensPerSecond - otherRate);
    if (isAtLimit)
        wait = std::max(wait, (own + meanTokens) * tokenSeconds / static_cast<double>(limit));
    return std::max(wait, team.drainSeconds(promisedTokens, ownRate, now));
}

// Returns the seconds until as many running requests have ended as the mean
// rate says for `seconds`; requests that started together also end together.
double Admission::untilEnded(double seconds, base::TimePoint now) const
{
    if (running_.empty())
        return 0;
    std::vector<double> ends;
    ends.reserve(running_.size());
    for (const auto& [id, running] : running_)
        ends.push_back(std::max(serviceSeconds(running.expectedTokens) - std::chrono::duration<double>(now - running.startedAt).count(), 0.0));
    const double meanService = observedSeconds_ / observedRequests_;
    const auto count = static_cast<std::size_t>(std::ceil(seconds / meanService * static_cast<double>(ends.size())));
    const std::size_t last = count ? count - 1 : 0;
    const auto position = ends.begin() + static_cast<std::ptrdiff_t>(last % ends.size());
    std::nth_element(ends.begin(), position, ends.end());
    const std::size_t rounds = last / ends.size();
    return *position + static_cast<double>(rounds) * meanService;
}

base::Error Admission::refusal(TeamQueue& team, const AdmissionRequest& request, base::ErrorKind kind, std::string detail, double delaySeconds, base::TimePoint now) const
{
    auto error = base::makeError(kind, std::move(detail));
    const double budget = std::chrono::duration<double>(request.deadline - now).count();
    const double service = serviceSeconds(request.expectedTokens);
    if (service > budget)
        return error;
    // The resend must find the queue short enough for its deadline, too.
    const double wait = waitSeconds(team, team.promisedTokens(), now);
    const double late = (1 + promiseMargin) * wait + service - budget;
    const double delay = std::max({ delaySeconds, late, shortestRetrySeconds });
    const auto at = now + toNanoseconds(wait > 0 ? std::max(delay, untilEnded(delay, now)) : delay);
    error.retryAt = team.promise(request.fingerprint, request.expectedTokens, at, now);
    return error;
}

base::Result<void> Admission::offer(const AdmissionRequest& request, base::TimePoint now)
{
    assert(!queued_.count(request.id) && !running_.count(request.id));
    const auto found = teams_.find(request.team);
    if (found == teams_.end() || found->second->isRemoved())
        return base::makeError(base::ErrorKind::Forbidden, fmt::format("team {} is not in the sheet", request.team));
    TeamQueue& team = *found->second;
    // A resend at its promised time is not held up by later promises, nor by the
    // margin, which its promise included.
    const bool isRedeemed = team.redeem(request.fingerprint, now);
    const double promised = isRedeemed ? 0 : team.promisedRequests();
    if (const double delay = team.rateDelaySeconds(promised, now); delay > 0)
        return refusal(team, request, base::ErrorKind::Overloaded, fmt::format("team {} exceeds {} requests a second", request.team, team.rule().maxRate), delay, now);

    // Promises do not hold up a request that a slot may soon need; otherwise each
    // slot that becomes free would stay empty until the next request arrives.
    const bool keepsSlotsBusy = team.queuedCount() * 4 < options_.slots;
    const bool countsPromises = !isRedeemed && !keepsSlotsBusy;
    const double wait = waitSeconds(team, countsPromises ? team.promisedTokens() : 0, now) * (isRedeemed ? 1 : 1 + waitMargin);
    const std::size_t freePlaces = options_.maxQueued - std::min(options_.maxQueued, queued_.size());
    const std::size_t places = std::min(options_.maxQueuedPerTeam, isRedeemed ? team.queuedCount() + freePlaces : freePlaces);
    const double taken = static_cast<double>(team.queuedCount()) + (countsPromises ? promised : 0);
    if (wait > 0 && taken >= static_cast<double>(places)) {
        const double interval = wait / (taken + 1);
        const double untilFree = interval * (taken + 1 - static_cast<double>(places));
        return refusal(team, request, base::ErrorKind::Overloaded, fmt::format("the queue of team {} is full with {} requests", request.team, team.queuedCount()), untilFree, now);
    }
    const auto service = toNanoseconds(serviceSeconds(request.expectedTokens));
    if (now + toNanoseconds(wait) + service > request.deadline)
        return refusal(team, request, base::ErrorKind::DeadlineUnreachable, fmt::format("the answer is expected in {:.3f} s, after the deadline", wait + std::chrono::duration<double>(service).count()), 0, now);

    team.takeRate(now);
    const auto latestStart = request.deadline - service;
    update(team, [&] { team.push({ request.id, request.expectedTokens, request.deadline, latestStart, request.deadline - now, now }, virtualTime_); });
    queued_[request.id] = &team;
    latestStarts_.insert({ latestStart, request.id });
    return base::outcome::success();
}

std::optional<std::uint64_t> Admission::start(base::TimePoint now)
{
    if (running_.size() >= options_.slots || ready_.empty())
        return std::nullopt;
    TeamQueue& team = *ready_.begin()->team;
    virtualTime_ = std::max(virtualTime_, team.startTag());
    TeamQueue::Queued head {};
    update(team, [&] { head = team.startHead(now); });
    queued_.erase(head.id);
    latestStarts_.erase({ head.latestStart, head.id });
    startedRate_.add(static_cast<double>(head.expectedTokens), now);
    running_[head.id] = Running { &team, head.expectedTokens, now };
    return head.id;
}

void Admission::finished(std::uint64_t id, std::size_t tokens, base::TimePoint now)
{
    const auto found = running_.find(id);
    assert(found != running_.end());
    const Running running = found->second;
    running_.erase(found);
    if (tokens) {
        const double seconds = std::chrono::duration<double>(now - running.startedAt).count();
        observedTokens_ = observedTokens_ * observationDecay + static_cast<double>(tokens);
        observedSeconds_ = observedSeconds_ * observationDecay + std::max(seconds, 0.0);
        observedRequests_ = observedRequests_ * observationDecay + 1;
    }
    update(*running.team, [&] { running.team->ended(running.expectedTokens, tokens, virtualTime_); });
    dropIfUnused(*running.team);
}

void Admission::removeFromQueue(std::uint64_t id)
{
    const auto found = queued_.find(id);
    assert(found != queued_.end());
    TeamQueue& team = *found->second;
    update(team, [&] {
        const auto request = team.remove(id);
        latestStarts_.erase({ request.latestStart, id });
    });
    queued_.erase(found);
}

bool Admission::cancel(std::uint64_t id)
{
    const auto found = queued_.find(id);
    if (found == queued_.end())
        return false;
    TeamQueue& team = *found->second;
    removeFromQueue(id);
    dropIfUnused(team);
    return true;
}

std::vector<AdmissionRefusal> Admission::takeExpired(base::TimePoint now)
{
    std::vector<AdmissionRefusal> refusals;
    while (!latestStarts_.empty() && latestStarts_.begin()->first < now) {
        const std::uint64_t id = latestStarts_.begin()->second;
        TeamQueue& team = *queued_.at(id);
        const TeamQueue::Queued queued = team.find(id);
        removeFromQueue(id);
        AdmissionRequest resend { id, team.rule().team, queued.expectedTokens, now + queued.budget, 0 };
        refusals.push_back({ id, refusal(team, resend, base::ErrorKind::DeadlineUnreachable, "the deadline passed in the queue", 0, now) });
        dropIfUnused(team);
    }
    return refusals;
}

std::size_t Admission::queuedCount(const std::string& team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second->queuedCount();
}

std::size_t Admission::runningCount(const std::string& team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second->runningCount();
}

} // namespace arbutus::routing
