#pragma once

#include "include/storage/Disk.h"

#include <optional>

namespace arbutus::storage {

// The state after the record at `index`, whose term is `term`.
struct Snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string bytes;
};

// The newest readable snapshot, and how far the log must reach to replace
// damaged newer ones.
struct LoadedSnapshot {
    std::optional<Snapshot> snapshot;
    // Name and index of the newest damaged snapshot above `snapshot`; zero when there is none.
    std::string damagedName;
    std::uint64_t damagedIndex = 0;
};

// Snapshot files, of which the newest two are kept. A file gets its final name
// only after its content was synced, so a damaged one is never a torn write.
class SnapshotStore {
public:
    static base::Result<SnapshotStore> Make(Disk&);

    // Reads from the newest snapshot downwards until one is undamaged. Whether
    // the log covers the gap is for the caller to check; see recoverStorage().
    base::Result<LoadedSnapshot> loadNewestUndamaged();

    // The snapshot is durable on success, and all but the newest two are removed.
    // `snapshot.index` must not be below newestIndex(). Not saved on StorageFull.
    base::Result<void> save(const Snapshot&);

    // Zero when there is none.
    std::uint64_t newestIndex() const;
    // The log may be dropped up to this index without losing the fallback to the
    // older snapshot. Zero while there are fewer than two snapshots.
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
    // Ascending by index.
    std::vector<Entry> entries_;
};

} // namespace arbutus::storage
