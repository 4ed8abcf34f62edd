#include "include/fleet/PeerLoadTable.h"

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

void PeerLoadTable::subtract(const std::vector<UpstreamInFlightLoad>& loads)
{
    for (const auto& load : loads) {
        auto found = sums_.find(load.upstream);
        found->second.subtract(load);
        if (!found->second.reports)
            sums_.erase(found);
    }
}

void PeerLoadTable::record(const std::string& entryVm, std::vector<UpstreamInFlightLoad> load, base::TimePoint now)
{
    auto& known = entryVms_[entryVm];
    subtract(known.load);
    for (const auto& added : load)
        sums_[added.upstream].add(added);
    known = { now, std::move(load) };
}

void PeerLoadTable::expire(base::TimePoint before)
{
    for (auto it = entryVms_.begin(); it != entryVms_.end();) {
        if (it->second.lastHeardAt >= before) {
            ++it;
            continue;
        }
        subtract(it->second.load);
        it = entryVms_.erase(it);
    }
}

std::vector<UpstreamInFlightLoad> PeerLoadTable::loadExcluding(const std::string& entryVm) const
{
    std::map<std::string_view, Sum> own;
    if (auto found = entryVms_.find(entryVm); found != entryVms_.end()) {
        for (const auto& load : found->second.load)
            own[load.upstream].add(load);
    }
    std::vector<UpstreamInFlightLoad> result;
    result.reserve(sums_.size());
    for (const auto& [upstream, sum] : sums_) {
        auto excluded = own.find(upstream);
        if (excluded == own.end()) {
            result.push_back(sum.load);
        } else if (const auto& [load, reports] = excluded->second; reports < sum.reports) {
            result.push_back({ upstream, sum.load.running - load.running, sum.load.cacheTokenLayers - load.cacheTokenLayers, sum.load.refusals - load.refusals });
        }
    }
    return result;
}

} // namespace arbutus::fleet
