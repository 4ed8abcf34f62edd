#pragma once

#include "include/storage/Disk.h"

namespace arbutus::storage {

// The random number that identifies a data folder. Voters are identified by it, so a
// replica with a wiped disk cannot vote again under its previous identity.
class DiskIdentity {
public:
    // Reads the number, or stores `newNumber` if the folder has none. Fails with
    // StorageCorrupt if the identity file is damaged, or if it is missing although the
    // folder contains a log or snapshots.
    static base::Result<DiskIdentity> Make(Disk&, std::uint64_t newNumber);

    std::uint64_t number() const { return number_; }
    // Whether Make() stored a new number.
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
