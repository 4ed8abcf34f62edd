#pragma once

#include "include/storage/DiskIdentity.h"
#include "include/storage/HardStateStore.h"
#include "include/storage/SegmentedLog.h"
#include "include/storage/SnapshotStore.h"

namespace arbutus::storage {

// Everything that a replica keeps in its data folder.
struct RecoveredStorage {
    DiskIdentity identity;
    HardStateStore hardState;
    SnapshotStore snapshots;
    // What the state machine starts from; the records behind it are in the log.
    std::optional<Snapshot> snapshot;
    std::unique_ptr<SegmentedLog> log;
};

// Initialises an empty folder with `candidateNumber`, or opens an existing one and
// checks its parts against each other. Fails with StorageCorrupt, naming the file
// and changing nothing, if
// - a file is damaged before its tail,
// - the log does not follow the newest undamaged snapshot,
// - the log does not reach a damaged newer snapshot or the saved commit index.
// `disk` must outlive the result.
base::Result<RecoveredStorage> recoverStorage(Disk& disk, std::uint64_t newNumber, std::uint64_t segmentBytes = LogOptions().segmentBytes);

} // namespace arbutus::storage
