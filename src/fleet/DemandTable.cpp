#include "include/fleet/DemandTable.h"

#include <algorithm>
#include <cmath>

namespace arbutus::fleet {

static bool isUsable(const ServiceDemand& demand)
{
    auto isRate = [](double value) { return std::isfinite(value) && value >= 0; };
    return isRate(demand.arrivals) && isRate(demand.completions) && isRate(demand.refusals);
}

void DemandTable::add(const ServiceDemand& added)
{
    auto& [demand, rows] = sums_[{ added.service, added.dataCentre, added.priority }];
    demand = { added.service, added.dataCentre, added.priority, demand.arrivals + added.arrivals, demand.completions + added.completions, demand.refusals + added.refusals };
    ++rows;
}

void DemandTable::subtract(const ServiceDemands& demands)
{
    for (const auto& removed : demands) {
        auto found = sums_.find({ removed.service, removed.dataCentre, removed.priority });
        auto& [demand, rows] = found->second;
        demand.arrivals -= removed.arrivals;
        demand.completions -= removed.completions;
        demand.refusals -= removed.refusals;
        if (!--rows)
            sums_.erase(found);
    }
}

void DemandTable::record(const std::string& entryVm, const ServiceDemands& demands, base::TimePoint now)
{
    auto& known = entryVms_[entryVm];
    subtract(known.demand);
    known = { now, {} };
    for (const auto& row : demands) {
        if (!isUsable(row) || known.demand.size() >= maxRowsPerEntryVm)
            continue;
        add(row);
        known.demand.push_back(row);
    }
}

void DemandTable::release(const std::string& entryVm)
{
    auto found = entryVms_.find(entryVm);
    if (found == entryVms_.end())
        return;
    subtract(found->second.demand);
    entryVms_.erase(found);
}

void DemandTable::expire(base::TimePoint before)
{
    for (auto it = entryVms_.begin(); it != entryVms_.end();) {
        if (it->second.lastHeardAt >= before) {
            ++it;
            continue;
        }
        subtract(it->second.demand);
        it = entryVms_.erase(it);
    }
}

ServiceDemands DemandTable::sums() const
{
    ServiceDemands result;
    result.reserve(sums_.size());
    for (const auto& [key, sum] : sums_)
        result.push_back(sum.demand);
    return result;
}

} // namespace arbutus::fleet
