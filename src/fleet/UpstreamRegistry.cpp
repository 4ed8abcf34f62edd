#include "include/fleet/UpstreamRegistry.h"

#include <algorithm>
#include <cmath>

namespace arbutus::fleet {

// A relative change of the slowdown factor above this is published.
static constexpr double slowdownTolerance = 0.15;
// A status answer may describe the engine's state of up to this long ago, while a
// heartbeat is current.
static constexpr std::chrono::milliseconds maxStatusAge(500);

bool UpstreamRecord::differsFrom(const UpstreamRecord& older) const
{
    auto content = [](const UpstreamRecord& record) {
        return std::tie(record.startedAtMilliseconds, record.registrar, record.service, record.ip, record.port, record.dataCentre, record.state, record.slots, record.accelerator, record.slowdownFactor, record.isLeaving);
    };
    return content(*this) != content(older) || layers != older.layers;
}

static bool isPresent(UpstreamState state) { return state == UpstreamState::Ready || state == UpstreamState::Draining; }

// An address belongs to the upstream that started last. Older upstreams at the same address
// are gone.
bool UpstreamRegistry::isSuperseded(const UpstreamRecord& record) const
{
    return std::any_of(upstreams_.begin(), upstreams_.end(), [&record](const auto& entry) {
        const auto& other = entry.second.record;
        return other.id != record.id && other.endpoint() == record.endpoint() && other.startedAtMilliseconds > record.startedAtMilliseconds;
    });
}

void UpstreamRegistry::supersedeOthers(const UpstreamRecord& record, base::TimePoint now)
{
    for (auto& [id, tracked] : upstreams_) {
        if (id == record.id || tracked.record.endpoint() != record.endpoint() || !isPresent(tracked.record.state))
            continue;
        tracked.record.state = UpstreamState::Gone;
        tracked.revision = ++revision_;
        tracked.changedAt = now;
    }
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
            stored.state = UpstreamState::Gone;
        if (isPresent(stored.state))
            supersedeOthers(record, now);
        store(stored, now);
        return true;
    }
    auto& tracked = found->second;
    bool isSameIncarnation = record.startedAtMilliseconds == tracked.record.startedAtMilliseconds;
    if (isSameIncarnation && record.state == UpstreamState::Gone)
        return markGone({ record.id, record.startedAtMilliseconds }, now);
    // Processes learn of a leave independently, so an older record may bring it.
    bool isNewsOfLeave = (record.isLeaving || record.state == UpstreamState::Draining) && markLeaving({ record.id, record.startedAtMilliseconds }, now);
    if (record.recordVersion() <= tracked.record.recordVersion()) {
        // A VM that marks an upstream unresponsive keeps the sequence of the last heartbeat.
        bool isLaterState = record.recordVersion() == tracked.record.recordVersion() && static_cast<int>(record.state) > static_cast<int>(tracked.record.state);
        if (!isLaterState)
            return republish(tracked, record, now) || isNewsOfLeave;
    }
    // An incarnation never leaves the gone state and never returns from draining to ready.
    if (isSameIncarnation && tracked.record.state == UpstreamState::Gone)
        return isNewsOfLeave;
    UpstreamRecord next = record;
    next.isLeaving = record.isLeaving || record.state == UpstreamState::Draining || (isSameIncarnation && tracked.record.isLeaving);
    if (next.isLeaving && next.state == UpstreamState::Ready)
        next.state = UpstreamState::Draining;
    if (isPresent(next.state) && isSuperseded(next))
        next.state = UpstreamState::Gone;
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

bool UpstreamRegistry::applyHeartbeat(UpstreamRecord record, const std::string& registrar, base::TimePoint now)
{
    record.registrar = registrar;
    auto found = upstreams_.find(record.id);
    if (found != upstreams_.end() && found->second.record.startedAtMilliseconds == record.startedAtMilliseconds) {
        record.slowdownFactor = found->second.record.slowdownFactor;
        record.statusSequence = found->second.record.statusSequence;
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
    if (tracked.record.startedAtMilliseconds != process.startedAtMilliseconds || tracked.record.state == UpstreamState::Gone)
        return false;
    tracked.record.state = UpstreamState::Gone;
    tracked.revision = ++revision_;
    tracked.changedAt = now;
    return true;
}

bool UpstreamRegistry::isGone(const UpstreamProcess& process) const
{
    const auto* record = find(process.id);
    return record && record->startedAtMilliseconds == process.startedAtMilliseconds && record->state == UpstreamState::Gone;
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
    if (found == upstreams_.end() || found->second.record.state != UpstreamState::Gone)
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
