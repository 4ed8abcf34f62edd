#include "include/storage/Recovery.h"

#include "include/base/Logger.h"

#include <algorithm>

namespace arbutus::storage {

using base::Result;

static constexpr base::Logger logger("storage");

Result<RecoveredStorage> recoverStorage(Disk& disk, std::uint64_t candidateNumber, std::uint64_t segmentBytes)
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
    BOOST_OUTCOME_TRY(identity, DiskIdentity::Make(disk, candidateNumber));

    BOOST_OUTCOME_TRY(snapshots, SnapshotStore::Make(disk));
    BOOST_OUTCOME_TRY(choice, snapshots.choose());
    LogOptions options;
    options.segmentBytes = segmentBytes;
    options.mustReach = std::max(hardState.state().commit, choice.damagedIndex);
    if (choice.snapshot)
        options.base = LogPosition { choice.snapshot->index, choice.snapshot->term };
    auto log = SegmentedLog::Make(disk, options);
    if (!log) {
        base::Error error = std::move(log).error();
        if (error.kind == base::ErrorKind::StorageCorrupt && choice.damagedIndex)
            error.detail = fmt::format("{} is damaged and the log cannot replace it: {}", choice.damagedName, error.detail);
        return error;
    }
    if (choice.damagedIndex)
        logger.warning("The log replaces a damaged snapshot.", { { "file", choice.damagedName }, { "from", options.base.index } });
    // A snapshot from another replica was saved, but the log was not yet reset to it.
    if (choice.snapshot && log.value()->termAt(options.base.index) != options.base.term) {
        BOOST_OUTCOME_TRY(log.value()->reset(options.base));
    }

    BOOST_OUTCOME_TRY(names, disk.list());
    for (const auto& name : names) {
        if (isTemporaryName(name)) {
            BOOST_OUTCOME_TRY(disk.remove(name));
        }
    }
    return RecoveredStorage { identity, std::move(hardState), std::move(snapshots), std::move(choice.snapshot), std::move(log).value() };
}

} // namespace arbutus::storage
