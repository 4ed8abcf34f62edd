#include "include/storage/Recovery.h"

#include "include/base/Logger.h"

#include <algorithm>

namespace arbutus::storage {

using base::Result;

static constexpr base::Logger logger("storage");

Result<RecoveredStorage> recoverStorage(Disk& disk, std::uint64_t newNumber, std::uint64_t segmentBytes)
{
    // The hard state exists before the identity, so that it is never missing in
    // an initialised folder.
    BOOST_OUTCOME_TRY(hardState, HardStateStore::Make(disk));
    BOOST_OUTCOME_TRY(namesBefore, disk.list());
    bool isEmpty = std::all_of(namesBefore.begin(), namesBefore.end(), isTemporaryName);
    if (!hardState.wasFound()) {
        if (!isEmpty)
            return corruptError("hard-state", 0, "the file is missing in a folder that is in use");
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
            error.detail = fmt::format("{} is damaged and the log cannot replace it: {}", loaded.damagedName, error.detail);
        return error;
    }
    if (loaded.damagedIndex)
        logger.warning("The log replaces a damaged snapshot.", { { "file", loaded.damagedName }, { "from", options.base.index } });
    // A snapshot from another replica was saved, but the log was not yet reset to it.
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
