#include "include/fleet/UpstreamRegistry.h"

#include <algorithm>
#include <cmath>

namespace arbutus::fleet {

// A relative change of the slowdown factor above this is published.
static constexpr double slowdownTolerance = 0.15;
// A status answer may describe the engine's state of up to this long ago, while a
// heartbeat is current.
static constexpr std::chrono::milliseconds maxStatusAge(500);
// A displaced upstream lives on if that many later heartbeats of it arrive: more than a partition
// may have held up.
static constexpr int minHeartbeatsOfLiving = 3;

bool UpstreamRecord::differsFrom(const UpstreamRecord& older) const
{
    auto content = [](const UpstreamRecord& record) {
        return std::tie(record.startedAtMilliseconds, record.registrar, record.service, record.ip, record.port, record.dataCentre, record.state, record.slots, record.accelerator, record.slowdownFactor, record.isLeaving, record.displacement);
    };
    return content(*this) != content(older) || layers != older.layers;
}

static bool isPresent(UpstreamState state) { return state == UpstreamState::Ready || state == UpstreamState::Draining; }

// One that is not present any more still keeps late heartbeats of an earlier one away.
bool UpstreamRegistry::isSuperseded(const UpstreamRecord& record) const
{
    return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
        const auto& other = entry.second.record;
        const bool isLaterThere = other.id != record.id && other.endpoint() == record.endpoint() && other.startedAtMilliseconds > record.startedAtMilliseconds;
        return isLaterThere && isNamed(other) && (isPresent(other.state) || record.displacement != Displacement::Returned);
    });
}

void UpstreamRegistry::supersedeOthers(const UpstreamRecord& record, base::TimePoint now)
{
    for (auto& [id, tracked] : upstreams_) {
        if (id == record.id || tracked.record.endpoint() != record.endpoint() || !isPresent(tracked.record.state))
            continue;
        tracked.record.state = UpstreamState::Gone;
        tracked.record.displacement = Displacement::Displaced;
        tracked.laterHeartbeats = 0;
        tracked.revision = ++revision_;
        tracked.changedAt = now;
    }
}

static void displace(UpstreamRecord& record)
{
    record.state = UpstreamState::Gone;
    record.displacement = Displacement::Displaced;
}

// Whether a process said itself that it is gone, or a VM knows it.
static bool isGoneForGood(const UpstreamRecord& record) { return record.state == UpstreamState::Gone && record.displacement != Displacement::Displaced; }

void UpstreamRegistry::setServices(std::set<std::string> services, base::TimePoint now)
{
    services_ = std::move(services);
    for (auto it = upstreams_.begin(); it != upstreams_.end();) {
        auto& record = it->second.record;
        // What says that a process is gone or leaves holds whatever its service.
        const bool isMoved = !isNamed(record) && record.state == UpstreamState::Ready;
        if (!isMoved) {
            ++it;
            continue;
        }
        unnamed_.store(std::move(record));
        it = upstreams_.erase(it);
    }
    for (auto& record : unnamed_.take(*services_))
        apply(std::move(record), now);
}

void UpstreamRegistry::store(const UpstreamRecord& record, base::TimePoint now)
{
    upstreams_[record.id] = TrackedUpstream { record, ++revision_, now, now };
}

// Heartbeats without changes are not published. Another VM may therefore mark an upstream
// as unresponsive although a later heartbeat has arrived here. Publishing the newer record
// again corrects that VM.
bool UpstreamRegistry::republish(TrackedUpstream& tracked, const UpstreamRecord& older, base::TimePoint now)
{
    if (older.state != UpstreamState::Unresponsive || !isPresent(tracked.record.state))
        return false;
    tracked.revision = ++revision_;
    tracked.changedAt = now;
    return true;
}

void UpstreamRegistry::setDepartures(std::shared_ptr<const DepartureTable::Names> names, base::TimePoint now)
{
    departures_.setNames(std::move(names));
    for (const auto& process : processes()) {
        if (departures_.contains(process))
            markLeaving(process, now);
    }
}

bool UpstreamRegistry::apply(UpstreamRecord record, base::TimePoint now)
{
    // A VM that takes the departure of an upstream that it does not know can't tell its service.
    const bool isBareDeparture = record.service.empty() && isGoneForGood(record);
    bool isChanged = isNamed(record) || isBareDeparture ? applyNamed(std::move(record), now) : applyUnnamed(std::move(record), now);
    restoreReturning(now);
    return isChanged;
}

void UpstreamRegistry::restoreReturning(base::TimePoint now)
{
    for (auto it = returning_.begin(); it != returning_.end();) {
        const auto& record = it->second;
        const auto* known = find(record.id);
        const bool isAwaited = known && known->displacement == Displacement::Displaced && known->startedAtMilliseconds == record.startedAtMilliseconds;
        if (isAwaited && isSuperseded(record)) {
            ++it;
            continue;
        }
        if (isAwaited) {
            supersedeOthers(record, now);
            store(record, now);
        }
        it = returning_.erase(it);
    }
}

bool UpstreamRegistry::applyNamed(UpstreamRecord record, base::TimePoint now)
{
    if (departures_.contains({ record.id, record.startedAtMilliseconds })) {
        record.isLeaving = true;
        if (record.state == UpstreamState::Ready)
            record.state = UpstreamState::Draining;
    }
    auto found = upstreams_.find(record.id);
    if (found == upstreams_.end()) {
        UpstreamRecord stored = record;
        stored.isLeaving = record.isLeaving || record.state == UpstreamState::Draining;
        if (isPresent(record.state) && isSuperseded(record))
            displace(stored);
        if (isPresent(stored.state))
            supersedeOthers(record, now);
        store(stored, now);
        return true;
    }
    auto& tracked = found->second;
    bool isSameIncarnation = record.startedAtMilliseconds == tracked.record.startedAtMilliseconds;
    if (isSameIncarnation && isGoneForGood(record))
        return markGone({ record.id, record.startedAtMilliseconds }, now);
    // This VM finds that out by itself.
    if (isSameIncarnation && record.state == UpstreamState::Gone) {
        returning_.erase(record.id);
        return false;
    }
    // Processes learn of a leave independently, so an older record may bring it.
    bool isNewsOfLeave = (record.isLeaving || record.state == UpstreamState::Draining) && markLeaving({ record.id, record.startedAtMilliseconds }, now);
    if (record.recordVersion() <= tracked.record.recordVersion()) {
        // A VM that marks an upstream unresponsive keeps the sequence of the last heartbeat.
        bool isLaterState = record.recordVersion() == tracked.record.recordVersion() && static_cast<int>(record.state) > static_cast<int>(tracked.record.state);
        if (!isLaterState)
            return republish(tracked, record, now) || isNewsOfLeave;
    }
    // An incarnation that is gone for good never returns, and none returns from draining to ready.
    if (isSameIncarnation && isGoneForGood(tracked.record))
        return isNewsOfLeave;
    UpstreamRecord next = record;
    next.isLeaving = record.isLeaving || record.state == UpstreamState::Draining || (isSameIncarnation && tracked.record.isLeaving);
    if (next.isLeaving && next.state == UpstreamState::Ready)
        next.state = UpstreamState::Draining;
    if (isPresent(next.state) && isSuperseded(next)) {
        if (next.displacement == Displacement::Returned)
            returning_[next.id] = next;
        displace(next);
    }
    if (isPresent(next.state))
        supersedeOthers(next, now);
    tracked.lastHeardAt = now;
    if (!next.differsFrom(tracked.record)) {
        tracked.record.sequence = next.sequence;
        return isNewsOfLeave;
    }
    store(next, now);
    return true;
}

bool UpstreamRegistry::applyUnnamed(UpstreamRecord record, base::TimePoint now)
{
    const UpstreamProcess process { record.id, record.startedAtMilliseconds };
    auto found = upstreams_.find(record.id);
    const bool isKnown = found != upstreams_.end() && found->second.record.service == record.service;
    if (isGoneForGood(record)) {
        unnamed_.remove(record.id);
        return isKnown && markGone(process, now);
    }
    const bool isLeaving = record.isLeaving || record.state == UpstreamState::Draining;
    const bool isNews = isLeaving && isKnown && markLeaving(process, now);
    if (record.state == UpstreamState::Ready || record.state == UpstreamState::Draining)
        unnamed_.store(std::move(record));
    return isNews;
}

bool UpstreamRegistry::applyHeartbeat(UpstreamRecord record, const std::string& registrar, base::TimePoint now)
{
    record.registrar = registrar;
    auto found = upstreams_.find(record.id);
    if (found != upstreams_.end() && found->second.record.startedAtMilliseconds == record.startedAtMilliseconds) {
        auto& tracked = found->second;
        record.slowdownFactor = tracked.record.slowdownFactor;
        record.statusSequence = tracked.record.statusSequence;
        const bool isLater = record.sequence > tracked.record.sequence;
        const bool livesOn = tracked.record.displacement == Displacement::Displaced && isLater && ++tracked.laterHeartbeats >= minHeartbeatsOfLiving;
        if (livesOn || tracked.record.displacement == Displacement::Returned)
            record.displacement = Displacement::Returned;
        if (livesOn && isSuperseded(record))
            record.displacement = Displacement::None;
    }
    return apply(record, now);
}

bool UpstreamRegistry::applyStatus(const std::string& id, std::int64_t startedAtMilliseconds, double slowdownFactor, const LayerRange& layers, base::TimePoint now)
{
    auto found = upstreams_.find(id);
    if (found == upstreams_.end() || found->second.record.startedAtMilliseconds != startedAtMilliseconds || !isPresent(found->second.record.state))
        return false;
    auto record = found->second.record;
    bool hasSlowdownChanged = std::abs(slowdownFactor - record.slowdownFactor) > slowdownTolerance * record.slowdownFactor;
    bool haveLayersChanged = layers != record.layers && now >= found->second.lastHeardAt + maxStatusAge;
    if (!hasSlowdownChanged && !haveLayersChanged)
        return false;
    if (hasSlowdownChanged)
        record.slowdownFactor = slowdownFactor;
    if (haveLayersChanged)
        record.layers = layers;
    ++record.statusSequence;
    auto lastHeardAt = found->second.lastHeardAt;
    store(record, now);
    found->second.lastHeardAt = lastHeardAt;
    return true;
}

bool UpstreamRegistry::markLeaving(const UpstreamProcess& process, base::TimePoint now)
{
    unnamed_.markLeaving(process);
    auto found = upstreams_.find(process.id);
    if (found == upstreams_.end())
        return false;
    auto& tracked = found->second;
    bool isNews = tracked.record.startedAtMilliseconds == process.startedAtMilliseconds && !tracked.record.isLeaving;
    if (!isNews)
        return false;
    tracked.record.isLeaving = true;
    if (tracked.record.state == UpstreamState::Ready)
        tracked.record.state = UpstreamState::Draining;
    tracked.revision = ++revision_;
    tracked.changedAt = now;
    return true;
}

bool UpstreamRegistry::markGone(const UpstreamProcess& process, base::TimePoint now)
{
    auto found = upstreams_.find(process.id);
    if (found == upstreams_.end())
        return false;
    auto& tracked = found->second;
    if (tracked.record.startedAtMilliseconds != process.startedAtMilliseconds || isGoneForGood(tracked.record))
        return false;
    tracked.record.state = UpstreamState::Gone;
    tracked.record.displacement = Displacement::None;
    tracked.revision = ++revision_;
    tracked.changedAt = now;
    return true;
}

bool UpstreamRegistry::isGone(const UpstreamProcess& process) const
{
    const auto* record = find(process.id);
    return record && record->startedAtMilliseconds == process.startedAtMilliseconds && isGoneForGood(*record);
}

std::vector<UpstreamProcess> UpstreamRegistry::processes() const
{
    std::vector<UpstreamProcess> result;
    for (const auto& [id, tracked] : upstreams_)
        result.push_back({ id, tracked.record.startedAtMilliseconds });
    return result;
}

void UpstreamRegistry::learnProcess(const UpstreamProcess& process)
{
    auto& start = learnedStarts_[process.id];
    start = std::max(start, process.startedAtMilliseconds);
}

std::int64_t UpstreamRegistry::latestStart(const std::string& id) const
{
    auto learned = learnedStarts_.find(id);
    const auto* record = find(id);
    return std::max(learned == learnedStarts_.end() ? 0 : learned->second, record ? record->startedAtMilliseconds : 0);
}

std::optional<std::int64_t> UpstreamRegistry::departingStart(const std::string& id) const
{
    const auto latest = latestStart(id);
    const auto departed = departures_.latestStart(id);
    const auto* record = find(id);
    const bool isLatestLeaving = record && record->startedAtMilliseconds == latest && record->isLeaving;
    if (departed && *departed < latest && !isLatestLeaving)
        return std::nullopt;
    return latest;
}

void UpstreamRegistry::deregister(const std::string& id, std::int64_t startedAtMilliseconds, const std::string& registrar, base::TimePoint now)
{
    auto found = upstreams_.find(id);
    UpstreamRecord record;
    if (found != upstreams_.end()) {
        if (startedAtMilliseconds && startedAtMilliseconds < found->second.record.startedAtMilliseconds)
            return;
        record = found->second.record;
    }
    record.id = id;
    record.startedAtMilliseconds = std::max(record.startedAtMilliseconds, startedAtMilliseconds);
    record.registrar = registrar;
    record.state = UpstreamState::Gone;
    record.displacement = Displacement::None;
    unnamed_.remove(id);
    if (found == upstreams_.end() || !isGoneForGood(found->second.record))
        store(record, now);
}

void UpstreamRegistry::markUnresponsive(base::TimePoint before, const std::function<bool(const UpstreamRecord&)>& isAuthority, base::TimePoint now)
{
    for (auto& [id, tracked] : upstreams_) {
        if (!isPresent(tracked.record.state) || tracked.lastHeardAt >= before || !isAuthority(tracked.record))
            continue;
        tracked.record.state = UpstreamState::Unresponsive;
        tracked.revision = ++revision_;
        tracked.changedAt = now;
    }
}

void UpstreamRegistry::restartTimeouts(base::TimePoint now)
{
    for (auto& [id, tracked] : upstreams_)
        tracked.lastHeardAt = now;
}

void UpstreamRegistry::purge(base::TimePoint before)
{
    for (auto it = upstreams_.begin(); it != upstreams_.end();) {
        if (!isPresent(it->second.record.state) && it->second.changedAt < before)
            it = upstreams_.erase(it);
        else
            ++it;
    }
}

std::vector<UpstreamRecord> UpstreamRegistry::changesSince(std::uint64_t revision) const
{
    std::vector<UpstreamRecord> changes;
    for (const auto& [id, tracked] : upstreams_) {
        if (tracked.revision > revision)
            changes.push_back(tracked.record);
    }
    return changes;
}

const UpstreamRecord* UpstreamRegistry::find(const std::string& id) const
{
    auto found = upstreams_.find(id);
    return found == upstreams_.end() ? nullptr : &found->second.record;
}

std::string UpstreamRegistry::dataCentreAt(const net::Endpoint& endpoint) const
{
    auto isThere = [&endpoint](const auto& entry) { return entry.second.record.state != UpstreamState::Gone && entry.second.record.ip == endpoint.ip && entry.second.record.port == endpoint.port; };
    auto found = std::find_if(upstreams_.begin(), upstreams_.end(), isThere);
    return found == upstreams_.end() ? std::string() : found->second.record.dataCentre;
}

std::vector<const UpstreamRecord*> UpstreamRegistry::all() const
{
    std::vector<const UpstreamRecord*> result;
    for (const auto& [id, tracked] : upstreams_)
        result.push_back(&tracked.record);
    return result;
}

} // namespace arbutus::fleet
