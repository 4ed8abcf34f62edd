#include "include/fleet/HandoverDirectory.h"

#include "include/base/Digest.h"

#include <algorithm>

namespace arbutus::fleet {

// Further entry VMs are ignored.
static constexpr std::size_t maxEntryVms = 4096;

void HandoverDirectory::record(const std::string& entryVm, const std::string& dataCentre, std::uint32_t ip, base::TimePoint now)
{
    auto known = rows_.find(entryVm);
    if (known == rows_.end() && rows_.size() >= maxEntryVms)
        return;
    rows_[entryVm] = { dataCentre, ip, now };
}

void HandoverDirectory::expire(base::TimePoint before)
{
    for (auto it = rows_.begin(); it != rows_.end();)
        it = it->second.polledAt < before ? rows_.erase(it) : std::next(it);
}

std::vector<std::uint32_t> HandoverDirectory::peersFor(const std::string& entryVm, const std::string& dataCentre) const
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> local;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> remote;
    const auto seed = base::hash64(entryVm);
    for (const auto& [name, row] : rows_) {
        if (row.ip && name != entryVm)
            (row.dataCentre == dataCentre ? local : remote).emplace_back(base::hash64(name, seed), row.ip);
    }
    std::vector<std::uint32_t> result;
    auto takeFirst = [&result](auto& candidates, std::size_t count) {
        count = std::min(count, candidates.size());
        std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end());
        for (std::size_t i = 0; i < count; ++i)
            result.push_back(candidates[i].second);
    };
    takeFirst(local, localCount);
    takeFirst(remote, remoteCount);
    return result;
}

} // namespace arbutus::fleet
