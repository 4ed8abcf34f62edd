#pragma once

#include "include/storage/DiskIdentity.h"
#include "include/storage/HardStateStore.h"
#include "include/storage/SegmentedLog.h"
#include "include/storage/SnapshotStore.h"

namespace arbutus::storage {

// The persistent state of a replica, opened from its data folder.
struct RecoveredStorage {
    DiskIdentity identity;
    HardStateStore hardState;
    SnapshotStore snapshots;
    // The initial state of the state machine; the log contains the records after it.
    std::optional<Snapshot> snapshot;
    std::unique_ptr<SegmentedLog> log;
};

// Initialises an empty data folder with the disk number `newNumber`, or opens an
// existing folder and checks that its files are consistent. Fails with StorageCorrupt,
// which names the file, and leaves the folder unchanged if
// - a file is damaged anywhere but in a torn tail,
// - there is a gap between the newest undamaged snapshot and the log,
// - the log ends before a damaged newer snapshot or before the saved commit index.
// `disk` must outlive the result.
base::Result<RecoveredStorage> recoverStorage(Disk& disk, std::uint64_t newNumber, std::uint64_t segmentBytes = LogOptions().segmentBytes);

} // namespace arbutus::storage
