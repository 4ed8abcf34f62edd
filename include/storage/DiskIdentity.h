#pragma once

#include "include/storage/Disk.h"

namespace arbutus::storage {

// The random number of a data folder. A voter is identified by it, so a wiped
// disk cannot vote in place of the one that voted before.
class DiskIdentity {
public:
    // Reads the number, or stores `candidate` in a folder without one. Fails with
    // StorageCorrupt if the file is damaged, or missing beside a log or snapshots.
    static base::Result<DiskIdentity> Make(Disk&, std::uint64_t newNumber);

    std::uint64_t number() const { return number_; }
    // Whether this call initialised the folder.
    bool wasCreated() const { return wasCreated_; }

private:
    DiskIdentity(std::uint64_t number, bool wasCreated)
        : number_(number)
        , wasCreated_(wasCreated)
    {
    }

    std::uint64_t number_;
    bool wasCreated_;
};

} // namespace arbutus::storage
