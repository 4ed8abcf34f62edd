#pragma once

#include "include/membership/Member.h"

#include <cstddef>
#include <vector>

namespace arbutus::membership {

// How many engines of each (model, version, layer range) an entry VM keeps channels to.
struct SubsetPolicy {
    // At least this many, so that a failure leaves a choice.
    std::size_t minEnginesPerRange = 4;
    // Each engine is expected to be in this many subsets; raises the former in a small fleet of entry VMs.
    std::size_t subsetsPerEngine = 16;
};

// One engine as a subset sees it: the facts must outlive the call.
struct SubsetCandidate {
    MemberKey key = 0;
    const MemberDescriptor* descriptor = nullptr;
};

// Returns how many of `engines` holders of one range each of `entryVms` keeps.
std::size_t subsetSize(std::size_t entryVms, std::size_t engines, const SubsetPolicy& = {});

// Returns the sorted keys of the engines that `entryVm` keeps channels to: for
// each (model, version, layer range) those with the highest rendezvous score.
// `entryVms` counts the entry VMs that are in, this one included.
std::vector<MemberKey> chooseSubset(MemberKey entryVm, std::size_t entryVms, const std::vector<SubsetCandidate>&, const SubsetPolicy& = {});

} // namespace arbutus::membership
