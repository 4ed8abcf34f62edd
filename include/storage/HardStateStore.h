#pragma once

#include "include/storage/Disk.h"

namespace arbutus::storage {

// The part of a replica's state that must survive a restart unchanged.
struct HardState {
    std::uint64_t term = 0;
    // The candidate that got the vote in `term`; empty when there is none.
    std::string vote;
    // A lower bound of the commit index; it may lag behind without harm.
    std::uint64_t commit = 0;
};

// The hard state in one file, replaced in one step. A save costs two syncs, so
// it is meant for changes of term and vote, not for every commit.
class HardStateStore {
public:
    // Fails with StorageCorrupt if the file is damaged. There is no fallback: an
    // older vote could be cast a second time.
    static base::Result<HardStateStore> Make(Disk&);

    // Whether a state has been saved in this folder.
    bool wasFound() const { return wasFound_; }
    const HardState& state() const { return state_; }
    // The state is durable on success. After a failure, a restart may find
    // either the old or the new state.
    base::Result<void> save(HardState);

private:
    explicit HardStateStore(Disk& disk)
        : disk_(&disk)
    {
    }

    Disk* disk_;
    HardState state_;
    bool wasFound_ = false;
};

} // namespace arbutus::storage
