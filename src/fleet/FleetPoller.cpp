#include "include/fleet/FleetPoller.h"

#include "include/base/Compression.h"
#include "include/base/Logger.h"
#include "include/base/Random.h"

#include <algorithm>
#include <tuple>

namespace arbutus::fleet {

static constexpr base::Logger logger("fleet");

// Changes are answered at once, and an entry VM does not wait until the poll ends to report a
// leave or a limit. Twice this time is below entryVmTimeout.
static constexpr std::chrono::milliseconds entryPollWait(800);
// Bounds how late a control VM learns that another one is lost.
static constexpr std::chrono::milliseconds controlPollWait(400);
// The load source is polled more often, so that entry VMs do not place streams based on
// stale load. The load is at most this old, plus the time that control VMs take to exchange
// it. Permits are divided as often while there are limits.
static constexpr std::chrono::milliseconds loadPollWait(120);
static constexpr std::chrono::milliseconds answerTimeout(1200);
// Beyond the wait that a poll asks for, on a calm network.
static constexpr std::chrono::milliseconds maxAnswerDelay(200);
static constexpr std::chrono::milliseconds retryDelay(200);
// The preferred control VM sends new configurations. Others are asked, one at a time,
// only if none has arrived after this delay.
static constexpr std::chrono::milliseconds routesFallbackDelay(250);
// A list of entry VMs that is older than this is asked for again.
static constexpr std::chrono::milliseconds handoverPeersLifetime(2000);
static constexpr std::chrono::milliseconds urgentHandoverPeersLifetime(200);
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
    , routesProof_(options_.routesApplyTime)
{
}

FleetPoller::~FleetPoller() { *isAlive_ = false; }

void FleetPoller::setEntryHooks(RoutesHandler routesHandler, LoadProvider loadProvider)
{
    routesHandler_ = std::move(routesHandler);
    loadProvider_ = std::move(loadProvider);
}

void FleetPoller::setCrashReportsHandler(CrashReportsHandler handler) { crashReportsHandler_ = std::move(handler); }

void FleetPoller::setLimitHooks(LimitProvider limitProvider, LimitHandler limitHandler, LimitQuery limitQuery)
{
    limitProvider_ = std::move(limitProvider);
    limitHandler_ = std::move(limitHandler);
    limitQuery_ = std::move(limitQuery);
}

void FleetPoller::setDemandHooks(DemandProvider demandProvider, DemandHandler demandHandler)
{
    demandProvider_ = std::move(demandProvider);
    demandHandler_ = std::move(demandHandler);
}

void FleetPoller::setHandoverHooks(std::uint32_t ip, HandoverQuery accepts, HandoverQuery isUrgent)
{
    handoverIp_ = ip;
    acceptsHandovers_ = std::move(accepts);
    needsHandoverPeers_ = std::move(isUrgent);
}

void FleetPoller::setSeeds(const std::vector<std::uint32_t>& ips)
{
    seeds_ = { ips.begin(), ips.end() };
    for (auto ip : seeds_)
        addOrRefreshPeer(ip);
}

// Differs between entry VMs, so that they spread over the control VMs.
static std::uint64_t loadSourceWeight(const std::string& entryVm, std::uint32_t controlVm)
{
    return base::Random(std::hash<std::string>()(entryVm) ^ (std::uint64_t { controlVm } << 32)).next();
}

void FleetPoller::addOrRefreshPeer(std::uint32_t ip)
{
    if (ip == options_.ownIp)
        return;
    auto [found, isNew] = peers_.try_emplace(ip);
    found->second.lastListedAt = clock_.now();
    if (isNew)
        found->second.weight = loadSourceWeight(options_.self, ip);
}

void FleetPoller::dropStalePeers()
{
    for (auto it = peers_.begin(); it != peers_.end();) {
        bool isNeeded = seeds_.count(it->first) || it->second.isPolling || isListed(it->second);
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
    sendUrgentPolls();
}

void FleetPoller::addReport(ProcessReports& reports, UpstreamProcess process)
{
    auto isSame = [&process](const ProcessReport& report) { return report.process.id == process.id && report.process.startedAtMilliseconds == process.startedAtMilliseconds; };
    auto same = std::find_if(reports.begin(), reports.end(), isSame);
    if (same == reports.end())
        ++reportCount_;
    else
        reports.erase(same);
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
    poll.dataCentre = options_.dataCentre;
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
// answered recently. It provides route configurations without delay and divides the permits
// of limited upstreams.
bool FleetPoller::isPreferred(std::uint32_t ip) const
{
    for (const auto& [other, state] : peers_) {
        if (isResponsive(state))
            return other == ip;
    }
    return true;
}

bool FleetPoller::isResponsive(const Peer& peer) const { return peer.lastHeardAt >= clock_.now() - answerTimeout; }

bool FleetPoller::isListed(const Peer& peer) const { return clock_.now() < peer.lastListedAt + listingLifetime; }

std::optional<std::uint32_t> FleetPoller::loadSource() const
{
    auto rank = [this](const Peer& peer) { return std::make_tuple(!peer.hasFailed, peer.dataCentre == options_.dataCentre, peer.weight); };
    auto best = peers_.end();
    for (auto it = peers_.begin(); it != peers_.end(); ++it) {
        if (isResponsive(it->second) && (best == peers_.end() || rank(it->second) > rank(best->second)))
            best = it;
    }
    if (best == peers_.end())
        return std::nullopt;
    return lacksLoad(best->second) ? lowestResponsive() : std::optional(best->first);
}

void FleetPoller::updateSilent(Peer& peer, const std::vector<std::uint32_t>& silent) const
{
    auto known = std::exchange(peer.silentSince, {});
    for (auto ip : silent) {
        auto found = known.find(ip);
        peer.silentSince.emplace(ip, found == known.end() ? clock_.now() : found->second);
    }
}

bool FleetPoller::lacksLoad(const Peer& peer) const
{
    return std::any_of(peer.silentSince.begin(), peer.silentSince.end(), [this](const auto& silent) {
        auto found = peers_.find(silent.first);
        return found != peers_.end() && isResponsive(found->second) && found->second.lastHeardAt > silent.second;
    });
}

std::optional<std::uint32_t> FleetPoller::lowestResponsive() const
{
    auto found = std::find_if(peers_.begin(), peers_.end(), [this](const auto& entry) { return isResponsive(entry.second); });
    return found == peers_.end() ? std::nullopt : std::optional(found->first);
}

// A poll with limits is not replaced, because its answer may contain permits.
bool FleetPoller::needsUrgentPoll(std::uint32_t ip, const Peer& peer) const
{
    if (!options_.isEntry || !peer.isPolling || peer.hasSentLimits || !isResponsive(peer))
        return false;
    bool isHandoverUrgent = !peer.isFetchingHandoverPeers && needsHandoverPeers_ && needsHandoverPeers_() && wantsHandoverPeers(ip);
    if (isHandoverUrgent)
        return true;
    bool isNewLoadSource = !peer.isFetchingPeerLoad && loadSource() == ip;
    if (isNewLoadSource || peer.sentReports != reportCount_)
        return true;
    bool isWaitingForPermits = !peer.isFetchingPermits || peer.pollWait > loadPollWait;
    return limitQuery_ && limitQuery_() && isPreferred(ip) && isWaitingForPermits;
}

void FleetPoller::sendUrgentPolls()
{
    for (auto& [ip, peer] : peers_) {
        if (needsUrgentPoll(ip, peer))
            poll(ip, peer);
    }
}

void FleetPoller::addLoad(FleetPoll& poll, std::uint32_t ip)
{
    // Nothing counts twice if several control VMs get the same load.
    poll.wantsPeerLoad = options_.isEntry && loadSource().value_or(ip) == ip;
    if (!poll.wantsPeerLoad || !loadProvider_)
        return;
    poll.load = loadProvider_();
    poll.incarnation = options_.incarnation;
    poll.loadRevision = ++loadRevision_;
}

void FleetPoller::addLimits(FleetPoll& poll, std::uint32_t ip, const Peer& peer)
{
    poll.wantsPermits = options_.isEntry && isPreferred(ip);
    if (!poll.wantsPermits)
        return;
    if (limitProvider_)
        poll.limits = limitProvider_();
    bool isLimited = !poll.limits.empty() || (limitQuery_ && limitQuery_());
    poll.limitRevision = isLimited ? 0 : peer.limitRevision;
}

void FleetPoller::addHandover(FleetPoll& poll, std::uint32_t ip)
{
    if (!acceptsHandovers_)
        return;
    poll.handoverIp = acceptsHandovers_() ? handoverIp_ : 0;
    poll.wantsHandoverPeers = wantsHandoverPeers(ip);
}

bool FleetPoller::wantsHandoverPeers(std::uint32_t ip) const
{
    auto lifetime = needsHandoverPeers_() ? urgentHandoverPeersLifetime : handoverPeersLifetime;
    return isPreferred(ip) && clock_.now() >= handoverPeersAt_ + lifetime;
}

std::chrono::milliseconds FleetPoller::pollWait(const FleetPoll& poll, const Peer& peer) const
{
    bool isLimited = poll.wantsPermits && !poll.limitRevision;
    auto wait = poll.isEntry ? entryPollWait : controlPollWait;
    if (poll.wantsPeerLoad || isLimited)
        wait = loadPollWait;
    if (poll.wantsHandoverPeers && needsHandoverPeers_())
        wait = std::chrono::milliseconds(0);
    return peer.newerRoutesSince ? std::min(wait, routesFallbackDelay) : wait;
}

void FleetPoller::poll(std::uint32_t ip, Peer& peer)
{
    FleetPoll poll;
    poll.sender = options_.self;
    poll.dataCentre = options_.dataCentre;
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
    addLoad(poll, ip);
    addLimits(poll, ip, peer);
    addHandover(poll, ip);
    peer.isFetchingHandoverPeers = poll.wantsHandoverPeers;
    peer.isFetchingPeerLoad = poll.wantsPeerLoad;
    peer.isFetchingPermits = poll.wantsPermits;
    peer.hasSentLimits = !poll.limits.empty();
    peer.pollWait = pollWait(poll, peer);
    poll.maxWaitMilliseconds = static_cast<std::uint32_t>(peer.pollWait.count());
    poll.crashRevision = peer.crashRevision;
    poll.crashReports = crashReports_.changesSince(peer.confirmedCrashRevision, clock_.now());
    peer.sentCrashRevision = crashReports_.revision();
    peer.sentReports = reportCount_;
    for (const auto& report : leaveReports_)
        poll.leaving.push_back(report.process);
    for (const auto& report : goneReports_)
        poll.gone.push_back(report.process);
    if (peer.wantsProcesses)
        poll.processes = registry_.processes();
    if (demandProvider_ && poll.wantsPeerLoad)
        poll.demand = demandProvider_();
    auto done = [this, ip, number = ++peer.pollNumber, isAlive = std::weak_ptr<bool>(isAlive_), post = post_](base::Result<std::string> answer) {
        post([this, ip, number, isAlive, answer = std::move(answer)] {
            if (auto alive = isAlive.lock(); alive && *alive)
                handlePollResult(ip, number, answer);
        });
    };
    auto encoded = encode(poll);
    if (traffic_)
        traffic_->add(poll, TrafficAccount::Direction::Sent, peer.dataCentre, encoded.size());
    peer.isPolling = sendPoll_(ip, std::move(encoded), answerTimeout, std::move(done));
    if (!peer.isPolling)
        peer.nextPollAt = clock_.now() + retryDelay;
}

void FleetPoller::handlePollResult(std::uint32_t ip, std::uint64_t pollNumber, const base::Result<std::string>& answer)
{
    auto found = peers_.find(ip);
    if (found == peers_.end() || found->second.pollNumber != pollNumber)
        return;
    auto& peer = found->second;
    peer.isPolling = false;
    peer.isFetchingRoutes = false;
    auto decoded = answer ? decode<FleetAnswer>(answer.value()) : base::Result<FleetAnswer>(answer.error());
    peer.hasFailed = !decoded;
    if (!decoded) {
        ++delivery_.failedPolls;
        peer.nextPollAt = clock_.now() + retryDelay;
        sendUrgentPolls();
        return;
    }
    peer.lastHeardAt = clock_.now();
    ++answerCount_;
    countAnswer(ip, decoded.value(), answer.value().size());
    merge(ip, peer, std::move(decoded).value());
    if (auto current = peers_.find(ip); current != peers_.end() && !current->second.isPolling)
        poll(ip, current->second);
    sendUrgentPolls();
}

void FleetPoller::countAnswer(std::uint32_t ip, const FleetAnswer& answer, std::size_t bytes)
{
    if (!traffic_)
        return;
    traffic_->setDataCentre(ip, answer.dataCentre);
    traffic_->add(answer, TrafficAccount::Direction::Received, answer.dataCentre, bytes);
}

// The answer of a control VM that is no load source any more may be older than the load that
// is known.
void FleetPoller::mergePeerLoad(std::uint32_t ip, const Peer& peer, FleetAnswer& answer)
{
    if (!peer.isFetchingPeerLoad || loadSource() != ip)
        return;
    hasNewPeerLoad_ = true;
    peerLoad_.clear();
    for (auto& load : answer.peerLoad)
        peerLoad_[load.upstream] = std::move(load);
    if (demandHandler_)
        demandHandler_(answer.demand);
}

void FleetPoller::merge(std::uint32_t ip, Peer& peer, FleetAnswer answer)
{
    mergeCrashReports(peer, answer);
    peer.hasReportedVersion = answer.versionReport.has_value();
    if (answer.versionReport)
        routesProof_.record(ip, std::move(*answer.versionReport), peer.polledAt);
    peer.dataCentre = answer.dataCentre;
    updateSilent(peer, answer.silentControlVms);
    peer.limitRevision = answer.limitRevision;
    peer.wantsProcesses = answer.wantsProcesses;
    peer.epoch = answer.epoch;
    peer.revision = answer.revision;
    peer.entryVmCount = answer.entryVmCount;
    peer.routesVersion = answer.routesVersion;
    for (const auto& record : answer.upstreams)
        mergeUpstream(record);
    mergePeerLoad(ip, peer, answer);
    if (peer.isFetchingHandoverPeers) {
        // A control VM that has just started knows none yet.
        if (!answer.handoverPeers.empty())
            handoverPeers_ = std::move(answer.handoverPeers);
        handoverPeersAt_ = clock_.now();
    }
    if (peer.isFetchingPermits && limitHandler_)
        limitHandler_(answer.limits, peer.polledAt + peer.pollWait + maxAnswerDelay);
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

bool FleetPoller::mayRoutesBeOutdated() const
{
    if (!routesVersion_)
        return false;
    auto listedCount = std::count_if(peers_.begin(), peers_.end(), [this](const auto& entry) { return isListed(entry.second); });
    auto reportingCount = std::count_if(peers_.begin(), peers_.end(), [this](const auto& entry) { return isListed(entry.second) && isResponsive(entry.second) && entry.second.hasReportedVersion; });
    if (reportingCount * 2 <= listedCount)
        return false;
    auto provenAt = routesProof_.provenAt(routesVersion_);
    return !provenAt || clock_.now() >= *provenAt + options_.routesApplyTime;
}

bool FleetPoller::hasHeardFrom(std::uint32_t ip, base::TimePoint since) const
{
    auto found = peers_.find(ip);
    return found != peers_.end() && found->second.lastHeardAt >= since;
}

bool FleetPoller::doAllControlVmsRespond() const
{
    return std::all_of(peers_.begin(), peers_.end(), [this](const auto& entry) { return isResponsive(entry.second) || !isListed(entry.second); });
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
