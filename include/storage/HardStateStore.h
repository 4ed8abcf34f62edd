#pragma once

#include "include/storage/Disk.h"

namespace arbutus::storage {

// The consensus state that a replica must persist across restarts.
struct HardState {
    std::uint64_t term = 0;
    // The candidate that this replica voted for in `term`; empty if it has not voted.
    std::string vote;
    // A lower bound of the commit index. It may safely lag behind the actual one.
    std::uint64_t commit = 0;
};

// Stores the hard state in one file, which is replaced atomically. A save costs two
// syncs, so callers save on a change of term or vote, not on every commit.
class HardStateStore {
public:
    // Fails with StorageCorrupt if the file is damaged. There is no fallback to an
    // older state, because the replica could then vote twice in one term.
    static base::Result<HardStateStore> Make(Disk&);

    // Whether the folder contains a saved state.
    bool hasSavedState() const { return hasSavedState_; }
    const HardState& state() const { return state_; }
    // The state is durable on success. After a failure, a restart may read either the
    // old or the new state.
    base::Result<void> save(HardState);

private:
    explicit HardStateStore(Disk& disk)
        : disk_(&disk)
    {
    }

    Disk* disk_;
    HardState state_;
    bool hasSavedState_ = false;
};

} // namespace arbutus::storage
