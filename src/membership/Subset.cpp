#include "include/membership/Subset.h"

#include "include/membership/Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

namespace arbutus::membership {

std::size_t subsetSize(std::size_t entryVms, std::size_t engines, const SubsetPolicy& policy)
{
    assert(entryVms);
    // Rounds down to a power of two, so that a joining or leaving VM rarely changes the
    // subsets of all others.
    std::size_t roundedVmCount = 1;
    while (roundedVmCount * 2 <= entryVms)
        roundedVmCount *= 2;
    const std::size_t sizeForCoverage = (engines * policy.subsetsPerEngine + roundedVmCount - 1) / roundedVmCount;
    return std::min(engines, std::max(policy.minEnginesPerRange, sizeForCoverage));
}

std::vector<MemberKey> chooseSubset(MemberKey entryVm, std::size_t entryVms, const std::vector<SubsetCandidate>& engines, const SubsetPolicy& policy)
{
    using Range = std::tuple<std::string_view, std::string_view, std::uint32_t, std::uint32_t>;
    std::map<Range, std::vector<std::pair<std::uint64_t, MemberKey>>> ranges;
    for (const SubsetCandidate& engine : engines) {
        const std::uint64_t score = rendezvousScore(RendezvousDomain::Subset, entryVm, engine.key);
        for (const Holding& holding : engine.descriptor->holdings)
            ranges[{ holding.model, holding.version, holding.firstLayer, holding.lastLayer }].emplace_back(score, engine.key);
    }
    std::vector<MemberKey> subset;
    for (auto& [range, scored] : ranges) {
        const std::size_t size = subsetSize(entryVms, scored.size(), policy);
        std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(size), scored.end(), std::greater<>());
        for (std::size_t index = 0; index < size; ++index)
            subset.push_back(scored[index].second);
    }
    std::sort(subset.begin(), subset.end());
    subset.erase(std::unique(subset.begin(), subset.end()), subset.end());
    return subset;
}

} // namespace arbutus::membership
