#pragma once

#include "include/membership/Member.h"

#include <cstddef>
#include <vector>

namespace arbutus::membership {

// Determines to how many engines of each (model, version, layer range) an entry VM keeps channels.
struct SubsetPolicy {
    // Minimum per range, so that alternatives remain after a failure.
    std::size_t minEnginesPerRange = 4;
    // Expected number of subsets that contain each engine. With few entry VMs this raises
    // the subset size above minEnginesPerRange.
    std::size_t subsetsPerEngine = 16;
};

// An engine to choose from. The descriptor must outlive the call.
struct SubsetCandidate {
    MemberKey key = 0;
    const MemberDescriptor* descriptor = nullptr;
};

// Returns to how many of the `engines` that hold one range each of `entryVms` entry VMs
// keeps channels.
std::size_t subsetSize(std::size_t entryVms, std::size_t engines, const SubsetPolicy& = {});

// Returns the sorted keys of the engines that `entryVm` keeps channels to: for
// each (model, version, layer range) those with the highest rendezvous score.
// `entryVms` is the number of alive entry VMs, including this one.
std::vector<MemberKey> chooseSubset(MemberKey entryVm, std::size_t entryVms, const std::vector<SubsetCandidate>&, const SubsetPolicy& = {});

} // namespace arbutus::membership
