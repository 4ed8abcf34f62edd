#include "include/fleet/UpstreamRegistry.h"

#include <algorithm>
#include <cmath>

namespace arbutus::fleet {

// Relative change of pace that is worth telling others.
static constexpr double paceTolerance = 0.15;
// An engine that is asked describes its state of up to this long ago; what it
// reports by itself is current.
static constexpr std::chrono::milliseconds observationAge(500);

bool UpstreamFact::differsFrom(const UpstreamFact& older) const
{
    auto content = [](const UpstreamFact& fact) {
        return std::tie(fact.bornMilliseconds, fact.registrar, fact.service, fact.ip, fact.port, fact.dataCentre, fact.state, fact.slots, fact.accelerator, fact.pace);
    };
    return content(*this) != content(older) || layers != older.layers;
}

static bool isPresent(UpstreamState state) { return state == UpstreamState::Ready || state == UpstreamState::Leaving; }

// An address belongs to the upstream that started last.
bool UpstreamRegistry::isDisplaced(const UpstreamFact& fact) const
{
    return std::any_of(records_.begin(), records_.end(), [&fact](const auto& entry) {
        const auto& other = entry.second.fact;
        return other.id != fact.id && other.endpoint() == fact.endpoint() && other.bornMilliseconds > fact.bornMilliseconds;
    });
}

void UpstreamRegistry::displaceOthers(const UpstreamFact& fact, base::TimePoint now)
{
    for (auto& [id, record] : records_) {
        if (id == fact.id || record.fact.endpoint() != fact.endpoint() || !isPresent(record.fact.state))
            continue;
        record.fact.state = UpstreamState::Gone;
        record.revision = ++revision_;
        record.changedAt = now;
    }
}

void UpstreamRegistry::store(const UpstreamFact& fact, base::TimePoint now)
{
    records_[fact.id] = Record { fact, ++revision_, now, now };
}

// Reports that change nothing are not told to others, so these may hold an upstream
// for silent that has reported since. Telling its later report corrects them.
bool UpstreamRegistry::tellAgain(Record& record, const UpstreamFact& older, base::TimePoint now)
{
    if (older.state != UpstreamState::Silent || !isPresent(record.fact.state))
        return false;
    record.revision = ++revision_;
    record.changedAt = now;
    return true;
}

bool UpstreamRegistry::apply(const UpstreamFact& fact, base::TimePoint now)
{
    auto found = records_.find(fact.id);
    if (found == records_.end()) {
        UpstreamFact stored = fact;
        if (isPresent(fact.state) && isDisplaced(fact))
            stored.state = UpstreamState::Gone;
        if (isPresent(stored.state))
            displaceOthers(fact, now);
        store(stored, now);
        return true;
    }
    auto& record = found->second;
    if (fact.order() <= record.fact.order()) {
        // A silent or gone mark carries the sequence of the last report.
        bool isLaterState = fact.order() == record.fact.order() && static_cast<int>(fact.state) > static_cast<int>(record.fact.state);
        if (!isLaterState)
            return tellAgain(record, fact, now);
    }
    bool isSameStart = fact.bornMilliseconds == record.fact.bornMilliseconds;
    // An incarnation never comes back from a farewell, nor from leaving to ready.
    if (isSameStart && record.fact.state == UpstreamState::Gone)
        return false;
    UpstreamFact next = fact;
    if (isSameStart && record.fact.state == UpstreamState::Leaving && fact.state == UpstreamState::Ready)
        next.state = UpstreamState::Leaving;
    if (isPresent(next.state) && isDisplaced(next))
        next.state = UpstreamState::Gone;
    if (isPresent(next.state))
        displaceOthers(next, now);
    record.heardAt = now;
    if (!next.differsFrom(record.fact)) {
        record.fact.sequence = next.sequence;
        return false;
    }
    store(next, now);
    return true;
}

bool UpstreamRegistry::report(UpstreamFact fact, const std::string& registrar, base::TimePoint now)
{
    fact.registrar = registrar;
    auto found = records_.find(fact.id);
    if (found != records_.end() && found->second.fact.bornMilliseconds == fact.bornMilliseconds) {
        fact.pace = found->second.fact.pace;
        fact.observation = found->second.fact.observation;
    }
    return apply(fact, now);
}

bool UpstreamRegistry::observe(const std::string& id, std::int64_t bornMilliseconds, double pace, const LayerRange& layers, base::TimePoint now)
{
    auto found = records_.find(id);
    if (found == records_.end() || found->second.fact.bornMilliseconds != bornMilliseconds || !isPresent(found->second.fact.state))
        return false;
    auto fact = found->second.fact;
    bool hasPaceChanged = std::abs(pace - fact.pace) > paceTolerance * fact.pace;
    bool haveLayersChanged = layers != fact.layers && now >= found->second.heardAt + observationAge;
    if (!hasPaceChanged && !haveLayersChanged)
        return false;
    if (hasPaceChanged)
        fact.pace = pace;
    if (haveLayersChanged)
        fact.layers = layers;
    ++fact.observation;
    auto heardAt = found->second.heardAt;
    store(fact, now);
    found->second.heardAt = heardAt;
    return true;
}

void UpstreamRegistry::farewell(const std::string& id, std::int64_t bornMilliseconds, const std::string& registrar, base::TimePoint now)
{
    auto found = records_.find(id);
    UpstreamFact fact;
    if (found != records_.end()) {
        if (bornMilliseconds && bornMilliseconds < found->second.fact.bornMilliseconds)
            return;
        fact = found->second.fact;
        ++fact.sequence;
    }
    fact.id = id;
    fact.bornMilliseconds = std::max(fact.bornMilliseconds, bornMilliseconds);
    fact.registrar = registrar;
    fact.state = UpstreamState::Gone;
    if (found == records_.end() || found->second.fact.state != UpstreamState::Gone)
        store(fact, now);
}

void UpstreamRegistry::lapse(base::TimePoint before, const std::function<bool(const UpstreamFact&)>& isAuthority, base::TimePoint now)
{
    for (auto& [id, record] : records_) {
        if (!isPresent(record.fact.state) || record.heardAt >= before || !isAuthority(record.fact))
            continue;
        record.fact.state = UpstreamState::Silent;
        record.revision = ++revision_;
        record.changedAt = now;
    }
}

void UpstreamRegistry::restartPeriods(base::TimePoint now)
{
    for (auto& [id, record] : records_)
        record.heardAt = now;
}

void UpstreamRegistry::forget(base::TimePoint before)
{
    for (auto it = records_.begin(); it != records_.end();) {
        if (!isPresent(it->second.fact.state) && it->second.changedAt < before)
            it = records_.erase(it);
        else
            ++it;
    }
}

std::vector<UpstreamFact> UpstreamRegistry::changesSince(std::uint64_t revision) const
{
    std::vector<UpstreamFact> changes;
    for (const auto& [id, record] : records_) {
        if (record.revision > revision)
            changes.push_back(record.fact);
    }
    return changes;
}

const UpstreamFact* UpstreamRegistry::find(const std::string& id) const
{
    auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second.fact;
}

std::vector<const UpstreamFact*> UpstreamRegistry::all() const
{
    std::vector<const UpstreamFact*> result;
    for (const auto& [id, record] : records_)
        result.push_back(&record.fact);
    return result;
}

} // namespace arbutus::fleet
