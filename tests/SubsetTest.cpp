#include "include/membership/Subset.h"
#include "tests/MembershipFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace arbutus;
using namespace arbutus::membership;

struct Population {
    Population(std::size_t vmCount, std::size_t engineCount)
    {
        engines.reserve(engineCount);
        for (std::size_t index = 0; index < vmCount; ++index)
            vms.push_back(memberKey(makeEntryVm(index).id));
        for (std::size_t index = 0; index < engineCount; ++index)
            engines.push_back(makeUpstream(index));
    }

    std::map<MemberKey, std::vector<MemberKey>> subsets() const
    {
        std::vector<SubsetCandidate> candidates;
        candidates.reserve(engines.size());
        for (const MemberDescriptor& descriptor : engines)
            candidates.push_back({ memberKey(descriptor.id), &descriptor });
        std::map<MemberKey, std::vector<MemberKey>> result;
        for (MemberKey vm : vms)
            result[vm] = chooseSubset(vm, vms.size(), candidates);
        return result;
    }

    std::vector<MemberKey> vms;
    std::vector<MemberDescriptor> engines;
};

static std::size_t countNewChannels(const std::map<MemberKey, std::vector<MemberKey>>& before, const std::map<MemberKey, std::vector<MemberKey>>& after)
{
    std::size_t changed = 0;
    for (const auto& [vm, subset] : after) {
        if (const auto found = before.find(vm); found != before.end())
            changed += static_cast<std::size_t>(std::count_if(subset.begin(), subset.end(), [&](MemberKey engine) { return !std::binary_search(found->second.begin(), found->second.end(), engine); }));
    }
    return changed;
}

// Guards against unbounded numbers of channels, engines without traffic, uncovered layers
// and subsets that change entirely when one member changes.
BOOST_AUTO_TEST_CASE(SubsetsAreBoundedBalancedAndStable)
{
    for (std::size_t size : { 9U, 100U, 400U, 1'500U }) {
        Population population(size, size * 9 / 2);
        const auto subsets = population.subsets();
        std::map<MemberKey, std::size_t> degrees;
        std::size_t most = 0;
        std::size_t total = 0;
        for (const auto& [vm, subset] : subsets) {
            most = std::max(most, subset.size());
            total += subset.size();
            std::set<std::string> ranges;
            for (MemberKey engine : subset)
                ++degrees[engine];
            for (const MemberDescriptor& descriptor : population.engines) {
                if (std::binary_search(subset.begin(), subset.end(), memberKey(descriptor.id)))
                    ranges.insert(descriptor.holdings[0].model + "/" + std::to_string(descriptor.holdings[0].firstLayer));
            }
            BOOST_TEST(ranges.size() == std::min<std::size_t>(96, population.engines.size()));
        }
        std::size_t least = size;
        std::size_t highest = 0;
        for (const MemberDescriptor& descriptor : population.engines) {
            least = std::min(least, degrees[memberKey(descriptor.id)]);
            highest = std::max(highest, degrees[memberKey(descriptor.id)]);
        }

        Population without = population;
        without.engines.erase(without.engines.begin() + 5);
        const std::size_t afterLoss = countNewChannels(subsets, without.subsets());
        Population fewerVms = population;
        fewerVms.vms.erase(fewerVms.vms.begin() + 3);
        const std::size_t afterVmLoss = countNewChannels(subsets, fewerVms.subsets());
        Population more = population;
        more.engines.push_back(makeUpstream(population.engines.size()));
        const std::size_t afterJoin = countNewChannels(subsets, more.subsets());
        BOOST_TEST_MESSAGE(size << " entry VMs, " << population.engines.size() << " engines: maximum channels per VM " << most << ", subsets per engine " << least << " to " << highest << ", new channels of " << total
                                << " after an engine is lost " << afterLoss << ", joins " << afterJoin << ", after a VM is lost " << afterVmLoss);
        BOOST_TEST(most <= 400U);
        BOOST_TEST(least >= std::min<std::size_t>(size, 8));
        BOOST_TEST(highest <= 3 * std::max<std::size_t>(total / population.engines.size(), 1));
        BOOST_TEST(afterLoss <= degrees[memberKey(population.engines[5].id)]);
        BOOST_TEST(afterJoin <= 2 * std::max<std::size_t>(highest, 16));
        BOOST_TEST(afterVmLoss == 0U);
    }
}

// Guards against incomplete subsets of a range that few engines hold, and against a fleet
// without engines.
BOOST_AUTO_TEST_CASE(SmallRangesIncludeAllEngines)
{
    Population population(1'500, 3);
    for (const auto& [vm, subset] : population.subsets())
        BOOST_TEST(subset.size() == 3U);
    BOOST_TEST(chooseSubset(1, 1, {}).empty());
}
