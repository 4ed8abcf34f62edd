#include "include/fleet/PeerLoadTable.h"

#include <algorithm>
#include <iterator>

namespace arbutus::fleet {

void PeerLoadTable::Sum::add(const UpstreamInFlightLoad& other)
{
    load.upstream = other.upstream;
    load.running += other.running;
    load.cacheTokenLayers += other.cacheTokenLayers;
    load.refusals += other.refusals;
    ++reports;
}

void PeerLoadTable::Sum::subtract(const UpstreamInFlightLoad& other)
{
    load.running -= other.running;
    load.cacheTokenLayers -= other.cacheTokenLayers;
    load.refusals -= other.refusals;
    --reports;
}

void PeerLoadTable::add(const std::vector<UpstreamInFlightLoad>& loads)
{
    for (const auto& load : loads)
        sums_[load.upstream].add(load);
}

void PeerLoadTable::subtract(const std::vector<UpstreamInFlightLoad>& loads)
{
    for (const auto& load : loads) {
        auto found = sums_.find(load.upstream);
        found->second.subtract(load);
        if (!found->second.reports)
            sums_.erase(found);
    }
}

static bool isBefore(const UpstreamInFlightLoad& left, const UpstreamInFlightLoad& right) { return left.upstream < right.upstream; }

static bool isSameLoad(const UpstreamInFlightLoad& left, const UpstreamInFlightLoad& right)
{
    return left.running == right.running && left.refusals == right.refusals && !(left.cacheTokenLayers < right.cacheTokenLayers) && !(right.cacheTokenLayers < left.cacheTokenLayers);
}

// Sorts by upstream, adds up several loads of one upstream and removes empty ones.
static void normalize(std::vector<UpstreamInFlightLoad>& loads)
{
    std::sort(loads.begin(), loads.end(), isBefore);
    std::vector<UpstreamInFlightLoad> result;
    result.reserve(loads.size());
    for (auto& load : loads) {
        if (load.isEmpty())
            continue;
        if (result.empty() || result.back().upstream != load.upstream) {
            result.push_back(std::move(load));
            continue;
        }
        result.back().running += load.running;
        result.back().cacheTokenLayers += load.cacheTokenLayers;
        result.back().refusals += load.refusals;
    }
    loads = std::move(result);
}

std::vector<UpstreamInFlightLoad> loadChanges(const std::vector<UpstreamInFlightLoad>& from, const std::vector<UpstreamInFlightLoad>& to)
{
    std::vector<UpstreamInFlightLoad> changes;
    auto old = from.begin();
    for (const auto& load : to) {
        for (; old != from.end() && isBefore(*old, load); ++old)
            changes.push_back({ old->upstream, 0, 0, 0 });
        bool isKnown = old != from.end() && old->upstream == load.upstream;
        if (!isKnown || !isSameLoad(*old, load))
            changes.push_back(load);
        old += isKnown ? 1 : 0;
    }
    for (; old != from.end(); ++old)
        changes.push_back({ old->upstream, 0, 0, 0 });
    return changes;
}

// Applies changes in the form of loadChanges().
static std::vector<UpstreamInFlightLoad> applyChanges(const std::vector<UpstreamInFlightLoad>& load, std::vector<UpstreamInFlightLoad> changes)
{
    std::sort(changes.begin(), changes.end(), isBefore);
    std::vector<UpstreamInFlightLoad> result;
    // Of two equal upstreams, the one of the first range is kept.
    std::set_union(changes.begin(), changes.end(), load.begin(), load.end(), std::back_inserter(result), isBefore);
    normalize(result);
    return result;
}

void PeerLoadTable::recordPoll(const std::string& entryVm, base::TimePoint now)
{
    if (polledAt_.size() < maxEntryVms || polledAt_.count(entryVm))
        polledAt_[entryVm] = now;
}

void PeerLoadTable::replace(const std::string& entryVm, Row row)
{
    auto found = rows_.find(entryVm);
    if (found == rows_.end()) {
        if (rows_.size() >= maxEntryVms)
            return;
        found = rows_.emplace(entryVm, Row {}).first;
    }
    subtract(found->second.load);
    found->second = std::move(row);
    add(found->second.load);
}

// The incarnations of an entry VM have no order. A report of an earlier one is replaced soon:
// its owner gets a poll of the later one.
static bool isSuperseded(const PeerLoadTable::Row& row, const EntryVmLoad& report) { return row.incarnation == report.incarnation && row.revision > report.revision; }

void PeerLoadTable::record(EntryVmLoad report)
{
    if (auto found = rows_.find(report.entryVm); found != rows_.end() && isSuperseded(found->second, report))
        return;
    normalize(report.load);
    replace(report.entryVm, { 0, report.incarnation, report.revision, std::move(report.load) });
}

bool PeerLoadTable::merge(std::uint32_t owner, EntryVmLoad report)
{
    auto found = rows_.find(report.entryVm);
    if (found != rows_.end() && found->second.owner != owner && isSuperseded(found->second, report))
        return true;
    if (report.base) {
        bool isBaseKnown = found != rows_.end() && found->second.owner == owner && found->second.incarnation == report.incarnation && found->second.revision == report.base;
        if (!isBaseKnown)
            return false;
        report.load = applyChanges(found->second.load, std::move(report.load));
    } else {
        normalize(report.load);
    }
    replace(report.entryVm, { owner, report.incarnation, report.revision, std::move(report.load) });
    return true;
}

void PeerLoadTable::release(std::uint32_t owner, const std::string& entryVm)
{
    auto found = rows_.find(entryVm);
    if (found == rows_.end() || found->second.owner != owner)
        return;
    subtract(found->second.load);
    rows_.erase(found);
}

void PeerLoadTable::releaseAll(std::uint32_t owner)
{
    for (auto it = rows_.begin(); it != rows_.end();) {
        if (it->second.owner != owner) {
            ++it;
            continue;
        }
        subtract(it->second.load);
        it = rows_.erase(it);
    }
}

void PeerLoadTable::expire(base::TimePoint before)
{
    for (auto it = polledAt_.begin(); it != polledAt_.end();) {
        if (it->second >= before) {
            ++it;
            continue;
        }
        release(it->first);
        it = polledAt_.erase(it);
    }
}

std::vector<UpstreamInFlightLoad> PeerLoadTable::loadExcluding(const std::string& entryVm) const
{
    static const std::vector<UpstreamInFlightLoad> none;
    auto found = rows_.find(entryVm);
    const auto& own = found == rows_.end() ? none : found->second.load;
    auto excluded = own.begin();
    std::vector<UpstreamInFlightLoad> result;
    result.reserve(sums_.size());
    // Both are sorted by upstream, and each own load is part of a sum.
    for (const auto& [upstream, sum] : sums_) {
        if (excluded == own.end() || excluded->upstream != upstream) {
            result.push_back(sum.load);
            continue;
        }
        if (sum.reports > 1)
            result.push_back({ upstream, sum.load.running - excluded->running, sum.load.cacheTokenLayers - excluded->cacheTokenLayers, sum.load.refusals - excluded->refusals });
        ++excluded;
    }
    return result;
}

} // namespace arbutus::fleet
