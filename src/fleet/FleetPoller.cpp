#include "include/fleet/FleetPoller.h"

#include "include/base/Compression.h"
#include "include/base/Logger.h"

#include <algorithm>

namespace arbutus::fleet {

static constexpr base::Logger logger("fleet");

// Bounds the age of the reported load of other entry VMs. It is far below the time
// within which a drain must take effect.
static constexpr std::chrono::milliseconds maxPollWait(400);
// The preferred control VM is polled more often, so that entry VMs do not place streams
// based on stale load. The load is at most this old, plus the network delay.
static constexpr std::chrono::milliseconds loadPollWait(120);
static constexpr std::chrono::milliseconds answerTimeout(1200);
// Beyond the wait that a poll asks for, on a calm network.
static constexpr std::chrono::milliseconds maxAnswerDelay(200);
static constexpr std::chrono::milliseconds retryDelay(200);
// The preferred control VM sends new configurations. Others are asked, one at a time,
// only if none has arrived after this delay.
static constexpr std::chrono::milliseconds routesFallbackDelay(250);
static constexpr std::size_t maxRoutesDocumentBytes = std::size_t { 16 } << 20;
// Long enough for several polls of each control VM, also one that has just started.
static constexpr std::chrono::seconds reportLifetime(10);
static constexpr std::size_t maxReports = 256;
// A control VM that no answer lists any more is removed after this time.
static constexpr std::chrono::seconds listingLifetime(20);

FleetPoller::FleetPoller(const base::Clock& clock, SendPoll sendPoll, Options options, UpstreamRegistry& registry, CrashReportRegistry& crashReports, Post post)
    : clock_(clock)
    , sendPoll_(std::move(sendPoll))
    , options_(std::move(options))
    , registry_(registry)
    , crashReports_(crashReports)
    , post_(std::move(post))
{
}

FleetPoller::~FleetPoller() { *isAlive_ = false; }

void FleetPoller::setEntryHooks(RoutesHandler routesHandler, LoadProvider loadProvider)
{
    routesHandler_ = std::move(routesHandler);
    loadProvider_ = std::move(loadProvider);
}

void FleetPoller::setCrashReportsHandler(CrashReportsHandler handler) { crashReportsHandler_ = std::move(handler); }

void FleetPoller::setLimitHooks(LimitProvider limitProvider, LimitHandler limitHandler)
{
    limitProvider_ = std::move(limitProvider);
    limitHandler_ = std::move(limitHandler);
}

void FleetPoller::setDemandHooks(DemandProvider demandProvider, DemandHandler demandHandler)
{
    demandProvider_ = std::move(demandProvider);
    demandHandler_ = std::move(demandHandler);
}

void FleetPoller::setSeeds(const std::vector<std::uint32_t>& ips)
{
    seeds_ = { ips.begin(), ips.end() };
    for (auto ip : seeds_)
        addOrRefreshPeer(ip);
}

void FleetPoller::addOrRefreshPeer(std::uint32_t ip)
{
    if (ip != options_.ownIp)
        peers_[ip].lastListedAt = clock_.now();
}

void FleetPoller::dropStalePeers()
{
    auto now = clock_.now();
    for (auto it = peers_.begin(); it != peers_.end();) {
        bool isNeeded = seeds_.count(it->first) || it->second.isPolling || now < it->second.lastListedAt + listingLifetime;
        it = isNeeded ? std::next(it) : peers_.erase(it);
    }
}

void FleetPoller::tick()
{
    dropStalePeers();
    crashReports_.expire(clock_.now());
    expireReports(leaveReports_);
    expireReports(goneReports_);
    for (auto& [ip, peer] : peers_) {
        if (!peer.isPolling && clock_.now() >= peer.nextPollAt)
            poll(ip, peer);
    }
}

void FleetPoller::addReport(ProcessReports& reports, UpstreamProcess process)
{
    auto isSame = [&process](const ProcessReport& report) { return report.process.id == process.id && report.process.startedAtMilliseconds == process.startedAtMilliseconds; };
    reports.erase(std::remove_if(reports.begin(), reports.end(), isSame), reports.end());
    reports.push_back({ std::move(process), clock_.now() + reportLifetime });
    if (reports.size() > maxReports)
        reports.pop_front();
}

void FleetPoller::expireReports(ProcessReports& reports) const
{
    while (!reports.empty() && clock_.now() >= reports.front().expiresAt)
        reports.pop_front();
}

void FleetPoller::reportLeave(UpstreamProcess process) { addReport(leaveReports_, std::move(process)); }

void FleetPoller::mergeUpstream(const UpstreamRecord& record)
{
    registry_.apply(record, clock_.now());
    UpstreamProcess process { record.id, record.startedAtMilliseconds };
    if (record.state != UpstreamState::Gone && registry_.isGone(process))
        addReport(goneReports_, std::move(process));
}

void FleetPoller::sendCrashReports()
{
    auto preferred = std::find_if(peers_.begin(), peers_.end(), [this](const auto& entry) { return isPreferred(entry.first); });
    if (preferred == peers_.end())
        return;
    const auto& [ip, peer] = *preferred;
    FleetPoll poll;
    poll.sender = options_.self;
    poll.epoch = peer.epoch;
    poll.revision = peer.revision;
    poll.routesVersion = peer.routesVersion;
    poll.crashRevision = peer.crashRevision;
    poll.crashReports = crashReports_.changesSince(peer.confirmedCrashRevision, clock_.now());
    // The next regular poll brings the reports again, so the answer does not matter.
    sendPoll_(ip, encode(poll), answerTimeout, [](const base::Result<std::string>&) {});
}

bool FleetPoller::shouldFetchRoutes(std::uint32_t ip, const Peer& peer) const
{
    if (!options_.isEntry || isPreferred(ip))
        return options_.isEntry;
    bool isOverdue = peer.newerRoutesSince && clock_.now() >= *peer.newerRoutesSince + routesFallbackDelay;
    return isOverdue && !isFetchingRoutesFromOther(ip);
}

bool FleetPoller::isFetchingRoutesFromOther(std::uint32_t ip) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) { return entry.first != ip && entry.second.isFetchingRoutes && !isPreferred(entry.first); });
}

// The responsive control VM with the lowest address is preferred, or any if none has
// answered recently. It provides route configurations without delay and the load of other
// entry VMs frequently.
bool FleetPoller::isPreferred(std::uint32_t ip) const
{
    auto recent = clock_.now() - answerTimeout;
    for (const auto& [other, state] : peers_) {
        if (state.lastHeardAt >= recent)
            return other == ip;
    }
    return true;
}

void FleetPoller::poll(std::uint32_t ip, Peer& peer)
{
    FleetPoll poll;
    poll.sender = options_.self;
    poll.isEntry = options_.isEntry;
    poll.epoch = peer.epoch;
    poll.revision = peer.revision;
    poll.wantsRoutes = shouldFetchRoutes(ip, peer);
    // Acknowledges an announced version that is not fetched from this peer. Otherwise
    // the peer would answer every poll at once.
    poll.routesVersion = poll.wantsRoutes ? routesVersion_ : std::max(routesVersion_, peer.routesVersion);
    poll.routesBase = needsWholeRoutes_ ? 0 : routesVersion_;
    peer.polledAt = clock_.now();
    peer.isFetchingRoutes = poll.wantsRoutes;
    poll.wantsPeerLoad = peer.isFetchingPeerLoad = options_.isEntry && isPreferred(ip);
    auto maxWait = poll.wantsPeerLoad ? loadPollWait : maxPollWait;
    poll.maxWaitMilliseconds = static_cast<std::uint32_t>((peer.newerRoutesSince ? std::min(maxWait, routesFallbackDelay) : maxWait).count());
    poll.crashRevision = peer.crashRevision;
    poll.crashReports = crashReports_.changesSince(peer.confirmedCrashRevision, clock_.now());
    peer.sentCrashRevision = crashReports_.revision();
    for (const auto& report : leaveReports_)
        poll.leaving.push_back(report.process);
    for (const auto& report : goneReports_)
        poll.gone.push_back(report.process);
    if (loadProvider_)
        poll.load = loadProvider_();
    if (limitProvider_ && poll.wantsPeerLoad)
        poll.limits = limitProvider_();
    if (demandProvider_ && poll.wantsPeerLoad)
        poll.demand = demandProvider_();
    auto done = [this, ip, isAlive = std::weak_ptr<bool>(isAlive_), post = post_](base::Result<std::string> answer) {
        post([this, ip, isAlive, answer = std::move(answer)] {
            if (auto alive = isAlive.lock(); alive && *alive)
                handlePollResult(ip, answer);
        });
    };
    peer.isPolling = sendPoll_(ip, encode(poll), answerTimeout, std::move(done));
    if (!peer.isPolling)
        peer.nextPollAt = clock_.now() + retryDelay;
}

void FleetPoller::handlePollResult(std::uint32_t ip, const base::Result<std::string>& answer)
{
    auto found = peers_.find(ip);
    if (found == peers_.end())
        return;
    auto& peer = found->second;
    peer.isPolling = false;
    peer.isFetchingRoutes = false;
    auto decoded = answer ? decode<FleetAnswer>(answer.value()) : base::Result<FleetAnswer>(answer.error());
    if (!decoded) {
        ++delivery_.failedPolls;
        peer.nextPollAt = clock_.now() + retryDelay;
        return;
    }
    peer.lastHeardAt = clock_.now();
    merge(peer, std::move(decoded).value());
    if (auto current = peers_.find(ip); current != peers_.end() && !current->second.isPolling)
        poll(ip, current->second);
}

void FleetPoller::merge(Peer& peer, FleetAnswer answer)
{
    mergeCrashReports(peer, answer);
    peer.epoch = answer.epoch;
    peer.revision = answer.revision;
    peer.entryVmCount = answer.entryVmCount;
    peer.routesVersion = answer.routesVersion;
    for (const auto& record : answer.upstreams)
        mergeUpstream(record);
    if (peer.isFetchingPeerLoad) {
        hasNewPeerLoad_ = true;
        peerLoad_.clear();
        for (auto& load : answer.peerLoad)
            peerLoad_[load.upstream] = std::move(load);
        if (limitHandler_)
            limitHandler_(answer.limits, peer.polledAt + loadPollWait + maxAnswerDelay);
        if (demandHandler_)
            demandHandler_(answer.demand);
    }
    if (!answer.packedRoutes.empty())
        adoptRoutes(answer);
    if (answer.routesVersion > routesVersion_ && options_.isEntry) {
        if (!peer.newerRoutesSince)
            peer.newerRoutesSince = clock_.now();
    } else {
        peer.newerRoutesSince.reset();
    }
    for (auto replica : answer.replicas)
        addOrRefreshPeer(replica);
}

void FleetPoller::mergeCrashReports(Peer& peer, const FleetAnswer& answer)
{
    bool isChanged = false;
    for (const auto& report : answer.crashReports)
        isChanged = crashReports_.apply(report, clock_.now()) || isChanged;
    peer.crashRevision = answer.crashRevision;
    // A peer that has been started since knows only what this poll brought.
    bool isSameProcess = answer.epoch == peer.epoch;
    peer.confirmedCrashRevision = isSameProcess ? peer.sentCrashRevision : 0;
    if (isChanged && crashReportsHandler_)
        crashReportsHandler_();
}

void FleetPoller::adoptRoutes(const FleetAnswer& answer)
{
    ++delivery_.documents;
    delivery_.documentBytes += answer.packedRoutes.size();
    bool isRelativeToOther = answer.routesBase && answer.routesBase != routesVersion_;
    if (answer.routesVersion <= routesVersion_ || isRelativeToOther || !routesHandler_)
        return;
    auto document = base::decompressDelta(answer.routesBase ? routesDocument_ : std::string(), answer.packedRoutes, maxRoutesDocumentBytes);
    needsWholeRoutes_ = !document;
    if (!document) {
        logger.warning("Failed to decompress a configuration; a whole one is requested.", { { "version", answer.routesVersion }, { "base", answer.routesBase }, { "reason", document.error().detail } });
        return;
    }
    auto announcedAt = clock_.now();
    for (const auto& [ip, peer] : peers_)
        announcedAt = std::min(announcedAt, peer.newerRoutesSince.value_or(announcedAt));
    delivery_.delay = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - announcedAt);
    if (!routesHandler_(answer.routesVersion, document.value(), std::exchange(delivery_, {})))
        return;
    routesVersion_ = answer.routesVersion;
    routesDocument_ = std::move(document).value();
}

bool FleetPoller::hasHeardFrom(std::uint32_t ip, base::TimePoint since) const
{
    auto found = peers_.find(ip);
    return found != peers_.end() && found->second.lastHeardAt >= since;
}

std::uint32_t FleetPoller::entryVmCount() const
{
    std::uint32_t count = 1;
    for (const auto& [ip, peer] : peers_)
        count = std::max(count, peer.entryVmCount);
    return count;
}

std::vector<std::uint32_t> FleetPoller::knownReplicas() const
{
    std::vector<std::uint32_t> ips;
    for (const auto& [ip, peer] : peers_)
        ips.push_back(ip);
    return ips;
}

} // namespace arbutus::fleet
