#include "include/fleet/FleetPollServer.h"

#include <algorithm>

namespace arbutus::fleet {

static constexpr std::chrono::milliseconds expiryInterval(100);
// One that has just been started knows little.
static constexpr std::size_t minInformants = 2;
// Each entry VM polls several times in it.
static constexpr std::chrono::seconds maxInformationTime(3);

bool FleetPollServer::shouldSendRoutes(const FleetPoll& poll, base::TimePoint now) const
{
    return poll.wantsRoutes && poll.routesVersion < announcedRoutesVersion(poll) && routesPublisher_.maySend(now);
}

bool FleetPollServer::hasUpdates(const FleetPoll& poll, base::TimePoint now) const
{
    bool hasNewRoutes = poll.wantsRoutes ? shouldSendRoutes(poll, now) : poll.routesVersion < announcedRoutesVersion(poll);
    bool hasNewUpstreams = mayTellUpstreams(poll) && poll.revision < registry_.revision();
    bool hasNewLimits = poll.limitRevision && poll.limitRevision != permitAllocator_.revision();
    return poll.epoch != epoch_ || hasNewLimits || hasNewUpstreams || poll.crashRevision < crashReports_.revision() || hasNewRoutes;
}

void FleetPollServer::setCurrent(bool isCurrent, base::TimePoint now)
{
    if (isCurrent_ == isCurrent)
        return;
    isCurrent_ = isCurrent;
    if (!isCurrent)
        return;
    registry_.forgetLearnedProcesses();
    informants_.clear();
    informationDeadline_ = now + maxInformationTime;
}

bool FleetPollServer::hasLearnedProcesses(base::TimePoint now) const { return isCurrent_ && (informants_.size() >= minInformants || now >= informationDeadline_); }

void FleetPollServer::learnProcesses(const FleetPoll& poll)
{
    if (poll.processes.empty())
        return;
    for (const auto& process : poll.processes)
        registry_.learnProcess(process);
    informants_.insert(poll.sender);
}

void FleetPollServer::addUpstreams(FleetAnswer& answer, const FleetPoll& poll) const
{
    answer.upstreams = registry_.changesSince(poll.epoch == epoch_ ? poll.revision : 0);
    if (mayTellUpstreams(poll)) {
        answer.revision = registry_.revision();
        return;
    }
    auto isUsable = [](const UpstreamRecord& record) { return record.state == UpstreamState::Ready; };
    answer.upstreams.erase(std::remove_if(answer.upstreams.begin(), answer.upstreams.end(), isUsable), answer.upstreams.end());
}

FleetAnswer FleetPollServer::answer(const FleetPoll& poll, base::TimePoint now)
{
    FleetAnswer result;
    result.dataCentre = dataCentre_;
    result.epoch = epoch_;
    addUpstreams(result, poll);
    result.crashRevision = crashReports_.revision();
    result.crashReports = crashReports_.changesSince(poll.epoch == epoch_ ? poll.crashRevision : 0, now);
    result.routesVersion = announcedRoutesVersion(poll);
    if (shouldSendRoutes(poll, now)) {
        auto packed = routesPublisher_.pack(poll.routesBase, now);
        result.packedRoutes = *packed.bytes;
        result.routesBase = packed.base;
    }
    result.replicas = replicas_;
    result.silentControlVms = loadExchange_.silentControlVms(now);
    result.entryVmCount = static_cast<std::uint32_t>(peerLoad_.entryVmCount());
    result.limitRevision = permitAllocator_.revision();
    if (poll.wantsPeerLoad)
        result.peerLoad = peerLoad_.loadExcluding(poll.sender);
    if (poll.wantsPeerLoad)
        addDemand(result);
    if (poll.wantsHandoverPeers)
        result.handoverPeers = handoverDirectory_.peersFor(poll.sender, poll.dataCentre);
    result.wantsProcesses = poll.isEntry && isCurrent_ && !hasLearnedProcesses(now) && !informants_.count(poll.sender);
    if (poll.isEntry && versionReporter_)
        result.versionReport = versionReporter_();
    if (poll.wantsPermits)
        result.limits = permitAllocator_.allocate(poll.limits, now);
    return result;
}

void FleetPollServer::sendAnswer(const FleetPoll& poll, const Reply& reply, base::TimePoint now)
{
    auto content = answer(poll, now);
    auto bytes = encode(content);
    ++sent_.answers;
    sent_.answerBytes += bytes.size();
    sent_.routeDocuments += content.packedRoutes.empty() ? 0 : 1;
    sent_.routeDocumentBytes += content.packedRoutes.size();
    if (traffic_)
        traffic_->add(content, TrafficAccount::Direction::Sent, poll.dataCentre, bytes.size());
    reply(std::move(bytes));
}

bool FleetPollServer::applyCrashReports(const FleetPoll& poll, base::TimePoint now)
{
    bool isChanged = false;
    for (const auto& report : poll.crashReports)
        isChanged = crashReports_.apply(report, now) || isChanged;
    return isChanged;
}

bool FleetPollServer::applyLeaves(const FleetPoll& poll, base::TimePoint now)
{
    bool isChanged = false;
    for (const auto& process : poll.leaving)
        isChanged = registry_.markLeaving(process, now) || isChanged;
    return isChanged;
}

bool FleetPollServer::applyDepartures(const FleetPoll& poll, base::TimePoint now)
{
    bool isChanged = false;
    for (const auto& process : poll.gone)
        isChanged = registry_.markGone(process, now) || isChanged;
    return isChanged;
}

void FleetPollServer::applyLoad(FleetPoll& poll, base::TimePoint now)
{
    peerLoad_.recordPoll(poll.sender, now);
    if (poll.wantsPeerLoad)
        peerLoad_.record({ poll.sender, poll.incarnation, poll.loadRevision, 0, std::move(poll.load) });
    else
        peerLoad_.release(poll.sender);
}

void FleetPollServer::applyDemand(const FleetPoll& poll, base::TimePoint now)
{
    if (poll.wantsPeerLoad)
        demand_.record(poll.sender, poll.demand, now);
    else
        demand_.release(poll.sender);
    loadExchange_.setOwnDemand(demand_.sums());
}

void FleetPollServer::addDemand(FleetAnswer& answer) const
{
    answer.demand = demand_.sums();
    auto ofPeers = loadExchange_.peerDemand();
    answer.demand.insert(answer.demand.end(), ofPeers.begin(), ofPeers.end());
}

void FleetPollServer::poll(FleetPoll poll, Reply reply, base::TimePoint now)
{
    learnProcesses(poll);
    bool hasNewReports = applyCrashReports(poll, now);
    bool hasNewLeaves = applyLeaves(poll, now);
    bool hasNewDepartures = applyDepartures(poll, now);
    if (hasNewReports || hasNewLeaves || hasNewDepartures)
        answerPendingPolls(now);
    if (poll.isEntry) {
        handoverDirectory_.record(poll.sender, poll.dataCentre, poll.handoverIp, now);
        applyLoad(poll, now);
        applyDemand(poll, now);
        permitAllocator_.entryVmPolled(poll.sender, poll.wantsPermits, now);
        auto limitRevision = permitAllocator_.revision();
        permitAllocator_.apply(poll.limits, now);
        if (permitAllocator_.revision() != limitRevision)
            answerPendingPolls(now);
    }
    if (hasUpdates(poll, now) || !poll.maxWaitMilliseconds) {
        sendAnswer(poll, reply, now);
        return;
    }
    auto deadline = now + std::chrono::milliseconds(poll.maxWaitMilliseconds);
    pendingPolls_.push_back({ std::move(poll), std::move(reply), deadline });
}

void FleetPollServer::answerPendingPolls(base::TimePoint now)
{
    for (auto it = pendingPolls_.begin(); it != pendingPolls_.end();) {
        if (now + answerInterval / 2 <= it->deadline && !hasUpdates(it->poll, now)) {
            ++it;
            continue;
        }
        sendAnswer(it->poll, it->reply, now);
        it = pendingPolls_.erase(it);
    }
    if (now >= nextExpiryAt_)
        expire(now);
}

void FleetPollServer::expire(base::TimePoint now)
{
    nextExpiryAt_ = now + expiryInterval;
    peerLoad_.expire(now - entryVmTimeout);
    demand_.expire(now - entryVmTimeout);
    handoverDirectory_.expire(now - entryVmTimeout);
    loadExchange_.setOwnDemand(demand_.sums());
    crashReports_.expire(now);
    permitAllocator_.expire(now);
}

} // namespace arbutus::fleet
