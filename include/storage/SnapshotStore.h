#pragma once

#include "include/storage/Disk.h"

#include <optional>

namespace arbutus::storage {

// The serialised state after applying the record at `index`, whose term is `term`.
struct Snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string bytes;
};

// The newest undamaged snapshot, and the newest damaged one after it. The log must
// reach `damagedIndex` to make up for the damaged one.
struct LoadedSnapshot {
    std::optional<Snapshot> snapshot;
    // File name and index of the newest damaged snapshot that is newer than `snapshot`.
    // Empty and zero if there is none.
    std::string damagedName;
    std::uint64_t damagedIndex = 0;
};

// Stores snapshots in files and retains the newest two. A file is renamed to its final
// name only after its content was synced, so a damaged file is never a torn write.
class SnapshotStore {
public:
    static base::Result<SnapshotStore> Make(Disk&);

    // Reads the snapshots from the newest to the oldest until one is undamaged. The
    // caller must check that the log covers the gap; see recoverStorage().
    base::Result<LoadedSnapshot> loadNewestUndamaged();

    // Saves a snapshot and removes all but the newest two. It is durable on success and
    // not saved on StorageFull. Its index must not be below newestIndex().
    base::Result<void> save(const Snapshot&);

    // The index of the newest undamaged snapshot; zero if there is none.
    std::uint64_t newestIndex() const;
    // The index up to which the log may be truncated without losing the fallback to the
    // older snapshot. Zero if there are fewer than two undamaged snapshots.
    std::uint64_t safeTruncationIndex() const;

private:
    struct Entry {
        std::uint64_t index;
        std::uint64_t term;
        std::string name;
        bool isDamaged;
    };

    explicit SnapshotStore(Disk& disk)
        : disk_(&disk)
    {
    }

    Disk* disk_;
    // In ascending order of index.
    std::vector<Entry> entries_;
};

} // namespace arbutus::storage
