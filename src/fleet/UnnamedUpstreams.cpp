#include "include/fleet/UnnamedUpstreams.h"

#include <algorithm>
#include <utility>

namespace arbutus::fleet {

void UnnamedUpstreams::store(UpstreamRecord record)
{
    record.isLeaving = record.isLeaving || record.state == UpstreamState::Draining;
    auto [found, isNew] = records_.try_emplace(record.id);
    auto& stored = found->second;
    if (!isNew && stored.record.startedAtMilliseconds == record.startedAtMilliseconds)
        record.isLeaving = stored.record.isLeaving = stored.record.isLeaving || record.isLeaving;
    if (!isNew && record.recordVersion() <= stored.record.recordVersion())
        return;
    stored.record = std::move(record);
    if (!isNew)
        return;
    stored.number = ++lastNumber_;
    if (records_.size() > capacity)
        records_.erase(std::min_element(records_.begin(), records_.end(), [](const auto& left, const auto& right) { return left.second.number < right.second.number; }));
}

void UnnamedUpstreams::markLeaving(const UpstreamProcess& process)
{
    auto found = records_.find(process.id);
    if (found != records_.end() && found->second.record.startedAtMilliseconds == process.startedAtMilliseconds)
        found->second.record.isLeaving = true;
}

void UnnamedUpstreams::remove(const std::string& id) { records_.erase(id); }

std::vector<UpstreamRecord> UnnamedUpstreams::take(const std::set<std::string>& services)
{
    std::vector<UpstreamRecord> taken;
    for (auto it = records_.begin(); it != records_.end();) {
        if (!services.count(it->second.record.service)) {
            ++it;
            continue;
        }
        auto& record = it->second.record;
        if (record.isLeaving && record.state == UpstreamState::Ready)
            record.state = UpstreamState::Draining;
        taken.push_back(std::move(record));
        it = records_.erase(it);
    }
    return taken;
}

} // namespace arbutus::fleet
