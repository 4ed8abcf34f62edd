#include "include/fleet/FleetFollower.h"

#include "include/control/Frames.h"

#include <algorithm>

namespace arbutus::fleet {

// Bounds how old the work of other entry VMs is, and is far below the time in
// which a drain must be known.
static constexpr std::chrono::milliseconds holdTime(400);
// One control VM is asked more often, so that entry VMs do not place streams by an
// old picture of the load; at most this old, plus the way.
static constexpr std::chrono::milliseconds workHoldTime(120);
static constexpr std::chrono::milliseconds answerTimeout(1200);
static constexpr std::chrono::milliseconds retryDelay(200);
// One VM sends a new configuration; the others are asked only if it has not.
static constexpr std::chrono::milliseconds routesFallbackDelay(250);
// A control VM that nobody names any more is not polled for longer than this.
static constexpr std::chrono::seconds namedLifetime(20);

FleetFollower::FleetFollower(const base::Clock& clock, PeerLinks& links, Options options, UpstreamRegistry& registry, Post post)
    : clock_(clock)
    , links_(links)
    , options_(std::move(options))
    , registry_(registry)
    , post_(std::move(post))
{
}

FleetFollower::~FleetFollower() { *isAlive_ = false; }

void FleetFollower::setEntryHooks(TakeRoutes takeRoutes, ListWork listWork)
{
    takeRoutes_ = std::move(takeRoutes);
    listWork_ = std::move(listWork);
}

void FleetFollower::setSeeds(const std::vector<std::uint32_t>& ips)
{
    seeds_ = { ips.begin(), ips.end() };
    for (auto ip : seeds_)
        peer(ip);
}

FleetFollower::Peer* FleetFollower::peer(std::uint32_t ip)
{
    if (ip == options_.ownIp)
        return nullptr;
    auto [it, inserted] = peers_.try_emplace(ip);
    it->second.namedAt = clock_.now();
    if (!inserted)
        return &it->second;
    it->second.client = links_.link(ip);
    if (!it->second.client) {
        peers_.erase(it);
        return nullptr;
    }
    return &it->second;
}

void FleetFollower::dropStalePeers()
{
    auto now = clock_.now();
    for (auto it = peers_.begin(); it != peers_.end();) {
        bool isNeeded = seeds_.count(it->first) || it->second.isPolling || now < it->second.namedAt + namedLifetime;
        it = isNeeded ? std::next(it) : peers_.erase(it);
    }
}

void FleetFollower::tick()
{
    dropStalePeers();
    for (auto& [ip, peer] : peers_) {
        if (!peer.isPolling && clock_.now() >= peer.nextPollAt)
            poll(ip, peer);
    }
}

bool FleetFollower::shouldFetchRoutes(std::uint32_t ip, const Peer& peer) const
{
    return options_.isEntry && (isPreferred(ip) || (peer.newerSince && clock_.now() >= *peer.newerSince + routesFallbackDelay));
}

// The VM with the lowest address that answers sends configurations unasked and the
// work of others often.
bool FleetFollower::isPreferred(std::uint32_t ip) const
{
    auto recent = clock_.now() - answerTimeout;
    for (const auto& [other, state] : peers_) {
        if (state.heardAt >= recent)
            return other == ip;
    }
    return true;
}

void FleetFollower::poll(std::uint32_t ip, Peer& peer)
{
    FleetPoll poll;
    poll.sender = options_.self;
    poll.isEntry = options_.isEntry;
    poll.epoch = peer.epoch;
    poll.revision = peer.revision;
    poll.wantsRoutes = shouldFetchRoutes(ip, peer);
    // A version that is named but not fetched from here must not end every hold.
    poll.routesVersion = poll.wantsRoutes ? routesVersion_ : std::max(routesVersion_, peer.routesVersion);
    auto hold = options_.isEntry && isPreferred(ip) ? workHoldTime : holdTime;
    poll.holdMilliseconds = static_cast<std::uint32_t>((peer.newerSince ? std::min(hold, routesFallbackDelay) : hold).count());
    if (listWork_)
        poll.work = listWork_();
    peer.isPolling = true;
    auto done = [this, ip, isAlive = std::weak_ptr<bool>(isAlive_), post = post_](base::Result<std::string> answer) {
        post([this, ip, isAlive, answer = std::move(answer)] {
            if (auto alive = isAlive.lock(); alive && *alive)
                take(ip, answer);
        });
    };
    peer.client->request(static_cast<std::uint8_t>(control::FrameKind::FleetPoll), encode(poll), std::chrono::steady_clock::now() + answerTimeout, std::move(done));
}

void FleetFollower::take(std::uint32_t ip, const base::Result<std::string>& answer)
{
    auto found = peers_.find(ip);
    if (found == peers_.end())
        return;
    auto& peer = found->second;
    peer.isPolling = false;
    auto decoded = answer ? decode<FleetAnswer>(answer.value()) : base::Result<FleetAnswer>(answer.error());
    if (!decoded) {
        peer.nextPollAt = clock_.now() + retryDelay;
        return;
    }
    peer.heardAt = clock_.now();
    merge(ip, peer, std::move(decoded).value());
    if (auto again = peers_.find(ip); again != peers_.end() && !again->second.isPolling)
        poll(ip, again->second);
}

void FleetFollower::merge(std::uint32_t ip, Peer& peer, FleetAnswer answer)
{
    peer.epoch = answer.epoch;
    peer.revision = answer.revision;
    peer.entryCount = answer.entryCount;
    peer.routesVersion = answer.routesVersion;
    for (const auto& fact : answer.facts)
        registry_.apply(fact, clock_.now());
    if (options_.isEntry && isPreferred(ip)) {
        othersWork_.clear();
        for (auto& work : answer.othersWork)
            othersWork_[work.upstream] = std::move(work);
    }
    if (!answer.routesDocument.empty() && answer.routesVersion > routesVersion_ && takeRoutes_)
        takeRoutes_(answer.routesVersion, answer.routesDocument);
    if (answer.routesVersion > routesVersion_ && options_.isEntry) {
        if (!peer.newerSince)
            peer.newerSince = clock_.now();
    } else {
        peer.newerSince.reset();
    }
    for (auto replica : answer.replicas)
        this->peer(replica);
}

bool FleetFollower::hasHeardFrom(std::uint32_t ip, base::TimePoint since) const
{
    auto found = peers_.find(ip);
    return found != peers_.end() && found->second.heardAt >= since;
}

std::uint32_t FleetFollower::entryCount() const
{
    std::uint32_t count = 1;
    for (const auto& [ip, peer] : peers_)
        count = std::max(count, peer.entryCount);
    return count;
}

std::vector<std::uint32_t> FleetFollower::knownReplicas() const
{
    std::vector<std::uint32_t> ips;
    for (const auto& [ip, peer] : peers_)
        ips.push_back(ip);
    return ips;
}

} // namespace arbutus::fleet
