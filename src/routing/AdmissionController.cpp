#include "include/routing/AdmissionController.h"

#include "src/routing/TeamQueue.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace arbutus::routing {

// Decay per finished request; the observed speed averages over about 64 requests.
static constexpr double observationDecay = 1 - 1.0 / 64;
static constexpr double initialObservedTokens = 64;
// The expected wait is a mean. Without this margin, about half of the requests
// accepted at the limit would miss their deadline in the queue.
static constexpr double waitMargin = 0.2;
// Margin for the wait of a client retry, which lies further ahead and is less certain.
static constexpr double retryWaitMargin = 1.6;
static constexpr double minRetrySeconds = 0.001;

static std::chrono::nanoseconds toNanoseconds(double seconds)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
}

AdmissionController::AdmissionController(const Options& options)
    : options_(options)
    , observedTokens_(initialObservedTokens)
    , observedSeconds_(std::chrono::duration<double>(options.initialTokenTime).count() * initialObservedTokens)
    , observedRequests_(1)
{
    assert(options.maxQueued && options.maxQueuedPerTeam && options.initialTokenTime.count() > 0);
}

AdmissionController::~AdmissionController() = default;

AdmissionController::ReadyKey AdmissionController::readyKey(TeamQueue& team) const
{
    return { team.startTag(), team.priorityClass(), team.creationIndex(), &team };
}

template <typename Change>
void AdmissionController::updateReadySet(TeamQueue& team, const Change& change)
{
    if (team.canStart())
        ready_.erase(readyKey(team));
    change();
    if (team.canStart())
        ready_.insert(readyKey(team));
}

void AdmissionController::setRules(const std::vector<TeamRule>& rules, base::TimePoint now)
{
    std::set<std::string> named;
    for (const auto& rule : rules) {
        named.insert(rule.team);
        auto& team = teams_[rule.team];
        if (!team)
            team = std::make_unique<TeamQueue>(rule, nextCreationIndex_++, now);
        else
            updateReadySet(*team, [&] { team->setRule(rule, virtualTime_, now); });
    }
    std::vector<TeamQueue*> removed;
    for (const auto& [name, team] : teams_) {
        if (!named.count(name))
            removed.push_back(team.get());
    }
    for (TeamQueue* team : removed) {
        team->markRemoved();
        eraseIfUnused(*team);
    }
}

void AdmissionController::eraseIfUnused(TeamQueue& team)
{
    if (team.isRemoved() && !team.queuedCount() && !team.runningCount())
        teams_.erase(std::string(team.rule().team));
}

double AdmissionController::serviceSeconds(std::size_t tokens) const
{
    return static_cast<double>(tokens) * observedSeconds_ / observedTokens_;
}

// Returns the expected wait of a request that `team` queues now, behind the
// expected retries. Takes the longest of several estimates: the queues ahead, the
// rate left over by other teams, the team's running limit, and the observed
// service rate of the team's queue.
double AdmissionController::waitSeconds(const TeamQueue& team, double expectedRetryTokens, base::TimePoint now) const
{
    const double tokenSeconds = observedSeconds_ / observedTokens_;
    const double meanTokens = observedTokens_ / observedRequests_;
    const double tokensPerSecond = static_cast<double>(std::max<std::size_t>(options_.slots, 1)) / tokenSeconds;
    const std::size_t limit = team.rule().maxRunning;
    const bool isAtLimit = limit && team.runningCount() >= limit;
    const bool hasFreeSlot = running_.size() < options_.slots;
    if (hasFreeSlot && ready_.empty() && !isAtLimit)
        return 0;

    const double own = static_cast<double>(team.queuedTokens()) + expectedRetryTokens;
    // Tokens that start before the request: those of its own team, and those of
    // other teams with a lower start tag.
    const double tag = std::max(team.startTag(), virtualTime_) + own / team.effectiveWeight();
    double ahead = own;
    double totalWeight = team.effectiveWeight();
    for (const auto& key : ready_) {
        if (key.startTag >= tag)
            break;
        if (key.team == &team)
            continue;
        ahead += std::min(static_cast<double>(key.team->queuedTokens()), (tag - key.startTag) * key.team->effectiveWeight() + meanTokens);
        totalWeight += key.team->effectiveWeight();
    }
    double wait = (ahead + (hasFreeSlot ? 0 : meanTokens)) / tokensPerSecond;
    // Teams whose queue is empty now still use capacity. The team gets what they
    // leave over, but at least its fair share.
    const double otherRate = startedRate_.perSecond(now) - team.startedPerSecond(now);
    const double ownRate = std::max(tokensPerSecond * team.effectiveWeight() / totalWeight, tokensPerSecond - otherRate);
    if (isAtLimit)
        wait = std::max(wait, (own + meanTokens) * tokenSeconds / static_cast<double>(limit));
    return std::max(wait, team.drainSeconds(expectedRetryTokens, ownRate, now));
}

// Returns the seconds until as many running requests have ended as the mean rate
// predicts for `seconds`. Uses the individual start times, because requests that
// started together also end together.
double AdmissionController::secondsUntilEnded(double seconds, base::TimePoint now) const
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

base::Error AdmissionController::makeRejection(TeamQueue& team, const AdmissionRequest& request, base::ErrorKind kind, std::string detail, double delaySeconds, base::TimePoint now) const
{
    auto error = base::makeError(kind, std::move(detail));
    const double timeToDeadline = std::chrono::duration<double>(request.deadline - now).count();
    const double service = serviceSeconds(request.expectedTokens);
    if (service > timeToDeadline)
        return error;
    // At the time of the retry, the queue must be short enough for its deadline.
    const double wait = waitSeconds(team, team.expectedRetryTokens(), now);
    const double excessSeconds = (1 + retryWaitMargin) * wait + service - timeToDeadline;
    const double delay = std::max({ delaySeconds, excessSeconds, minRetrySeconds });
    const auto at = now + toNanoseconds(wait > 0 ? std::max(delay, secondsUntilEnded(delay, now)) : delay);
    error.retryAt = team.reserveRetry(request.fingerprint, request.expectedTokens, at, now);
    return error;
}

base::Result<void> AdmissionController::enqueue(const AdmissionRequest& request, base::TimePoint now)
{
    assert(!queued_.count(request.id) && !running_.count(request.id));
    const auto found = teams_.find(request.team);
    if (found == teams_.end() || found->second->isRemoved())
        return base::makeError(base::ErrorKind::Forbidden, fmt::format("team {} is not in the sheet", request.team));
    TeamQueue& team = *found->second;
    // A retry that claims its reservation is not delayed by later reservations, nor
    // by the wait margin, which its retry time already includes.
    const bool hasClaimedReservation = team.claimReservation(request.fingerprint, now);
    const double expectedRetries = hasClaimedReservation ? 0 : team.expectedRetryRequests();
    if (const double delay = team.rateDelaySeconds(expectedRetries, now); delay > 0)
        return makeRejection(team, request, base::ErrorKind::Overloaded, fmt::format("team {} exceeds its limit of {} requests per second", request.team, team.rule().maxRate), delay, now);

    // Ignores reservations while the queue is short. Otherwise each slot that
    // becomes free would stay idle until the next request arrives.
    const bool keepsSlotsBusy = team.queuedCount() * 4 < options_.slots;
    const bool countsReservations = !hasClaimedReservation && !keepsSlotsBusy;
    const double wait = waitSeconds(team, countsReservations ? team.expectedRetryTokens() : 0, now) * (hasClaimedReservation ? 1 : 1 + waitMargin);
    const std::size_t freeCapacity = options_.maxQueued - std::min(options_.maxQueued, queued_.size());
    const std::size_t teamCapacity = std::min(options_.maxQueuedPerTeam, hasClaimedReservation ? team.queuedCount() + freeCapacity : freeCapacity);
    const double occupied = static_cast<double>(team.queuedCount()) + (countsReservations ? expectedRetries : 0);
    if (wait > 0 && occupied >= static_cast<double>(teamCapacity)) {
        const double interval = wait / (occupied + 1);
        const double secondsUntilFree = interval * (occupied + 1 - static_cast<double>(teamCapacity));
        return makeRejection(team, request, base::ErrorKind::Overloaded, fmt::format("the queue of team {} is full ({} requests)", request.team, team.queuedCount()), secondsUntilFree, now);
    }
    const auto service = toNanoseconds(serviceSeconds(request.expectedTokens));
    if (now + toNanoseconds(wait) + service > request.deadline)
        return makeRejection(team, request, base::ErrorKind::DeadlineUnreachable, fmt::format("the expected completion in {:.3f} s is after the deadline", wait + std::chrono::duration<double>(service).count()), 0, now);

    team.consumeRateToken(now);
    const auto latestStart = request.deadline - service;
    updateReadySet(team, [&] { team.push({ request.id, request.expectedTokens, request.deadline, latestStart, request.deadline - now, now }, virtualTime_); });
    queued_[request.id] = &team;
    latestStarts_.insert({ latestStart, request.id });
    return base::outcome::success();
}

std::optional<std::uint64_t> AdmissionController::startNext(base::TimePoint now)
{
    if (running_.size() >= options_.slots || ready_.empty())
        return std::nullopt;
    TeamQueue& team = *ready_.begin()->team;
    virtualTime_ = std::max(virtualTime_, team.startTag());
    TeamQueue::QueuedRequest head {};
    updateReadySet(team, [&] { head = team.startHead(now); });
    queued_.erase(head.id);
    latestStarts_.erase({ head.latestStart, head.id });
    startedRate_.add(static_cast<double>(head.expectedTokens), now);
    running_[head.id] = Running { &team, head.expectedTokens, now };
    return head.id;
}

void AdmissionController::requestFinished(std::uint64_t id, std::size_t tokens, base::TimePoint now)
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
    updateReadySet(*running.team, [&] { running.team->requestFinished(running.expectedTokens, tokens, virtualTime_); });
    eraseIfUnused(*running.team);
}

void AdmissionController::removeFromQueue(std::uint64_t id)
{
    const auto found = queued_.find(id);
    assert(found != queued_.end());
    TeamQueue& team = *found->second;
    updateReadySet(team, [&] {
        const auto request = team.remove(id);
        latestStarts_.erase({ request.latestStart, id });
    });
    queued_.erase(found);
}

bool AdmissionController::cancel(std::uint64_t id)
{
    const auto found = queued_.find(id);
    if (found == queued_.end())
        return false;
    TeamQueue& team = *found->second;
    removeFromQueue(id);
    eraseIfUnused(team);
    return true;
}

std::vector<AdmissionRejection> AdmissionController::removeExpired(base::TimePoint now)
{
    std::vector<AdmissionRejection> rejections;
    while (!latestStarts_.empty() && latestStarts_.begin()->first < now) {
        const std::uint64_t id = latestStarts_.begin()->second;
        TeamQueue& team = *queued_.at(id);
        const TeamQueue::QueuedRequest queued = team.find(id);
        removeFromQueue(id);
        AdmissionRequest retry { id, team.rule().team, queued.expectedTokens, now + queued.timeToDeadline, 0 };
        rejections.push_back({ id, makeRejection(team, retry, base::ErrorKind::DeadlineUnreachable, "the request waited too long in the queue to meet its deadline", 0, now) });
        eraseIfUnused(team);
    }
    return rejections;
}

std::size_t AdmissionController::queuedCount(const std::string& team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second->queuedCount();
}

std::size_t AdmissionController::runningCount(const std::string& team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? 0 : found->second->runningCount();
}

} // namespace arbutus::routing
