#include "include/storage/Recovery.h"

#include "include/base/Logger.h"

#include <algorithm>

namespace arbutus::storage {

using base::Result;

static constexpr base::Logger logger("storage");

Result<RecoveredStorage> recoverStorage(Disk& disk, std::uint64_t newNumber, std::uint64_t segmentBytes)
{
    // Creates the hard state before the identity, so that every initialised folder has
    // a hard state.
    BOOST_OUTCOME_TRY(hardState, HardStateStore::Make(disk));
    BOOST_OUTCOME_TRY(namesBefore, disk.list());
    bool isEmpty = std::all_of(namesBefore.begin(), namesBefore.end(), isTemporaryName);
    if (!hardState.hasSavedState()) {
        if (!isEmpty)
            return corruptError("hard-state", 0, "the file is missing, but the folder is not empty");
        BOOST_OUTCOME_TRY(hardState.save(HardState()));
    }
    BOOST_OUTCOME_TRY(identity, DiskIdentity::Make(disk, newNumber));

    BOOST_OUTCOME_TRY(snapshots, SnapshotStore::Make(disk));
    BOOST_OUTCOME_TRY(loaded, snapshots.loadNewestUndamaged());
    LogOptions options;
    options.segmentBytes = segmentBytes;
    options.minLastIndex = std::max(hardState.state().commit, loaded.damagedIndex);
    if (loaded.snapshot)
        options.base = LogPosition { loaded.snapshot->index, loaded.snapshot->term };
    auto log = SegmentedLog::Make(disk, options);
    if (!log) {
        base::Error error = std::move(log).error();
        if (error.kind == base::ErrorKind::StorageCorrupt && loaded.damagedIndex)
            error.detail = fmt::format("{} is damaged, and the log does not cover the gap: {}", loaded.damagedName, error.detail);
        return error;
    }
    if (loaded.damagedIndex)
        logger.warning("A damaged snapshot is replaced by records of the log.", { { "file", loaded.damagedName }, { "from", options.base.index } });
    // The replica stopped after saving a snapshot from another replica and before
    // resetting the log to it.
    if (loaded.snapshot && log.value()->termAt(options.base.index) != options.base.term) {
        BOOST_OUTCOME_TRY(log.value()->reset(options.base));
    }

    BOOST_OUTCOME_TRY(names, disk.list());
    for (const auto& name : names) {
        if (isTemporaryName(name)) {
            BOOST_OUTCOME_TRY(disk.remove(name));
        }
    }
    return RecoveredStorage { identity, std::move(hardState), std::move(snapshots), std::move(loaded.snapshot), std::move(log).value() };
}

} // namespace arbutus::storage
