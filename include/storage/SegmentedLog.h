#pragma once

#include "include/storage/Disk.h"

#include <optional>

namespace arbutus::storage {

// One entry of the replicated log. Indexes start at 1 and have no gaps; terms never fall.
struct LogRecord {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string bytes;
};

// A place in the log; {0, 0} is the place before the first record.
struct LogPosition {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

struct LogOptions {
    // A new segment is started once the last one is at least this large.
    std::uint64_t segmentBytes = 8 << 20;
    // The snapshot's place: an empty log starts behind it, an existing one must
    // not start later than that.
    LogPosition base;
    // The log must hold every record up to this index, if it is above `base`.
    std::uint64_t minLastIndex = 0;
};

// A log of checksummed records in segment files. Not safe to use from several
// threads.
//
// A record is durable once durableIndex() reaches it. Every group of records
// carries the offset up to which its segment was synced before, and a mark with
// that offset follows each sync. A bad record is therefore known to be a torn
// tail (cut) or damage to synced data (StorageCorrupt). The one undetected case is
// damage to the last group of records together with the loss of the mark behind it.
class SegmentedLog {
public:
    // Opens the log of the folder or starts an empty one. Fails with StorageCorrupt,
    // naming file and offset, without changing anything. On a full disk, the log
    // opens for reading and lastIndex() may be above durableIndex() until an
    // append succeeds.
    static base::Result<std::unique_ptr<SegmentedLog>> Make(Disk&, LogOptions);

    // Writes `records` behind the last one, in order; they become durable by the
    // next sync(). On an error none of them is in the log. After StorageFull, a
    // later call may succeed.
    base::Result<void> append(const std::vector<LogRecord>& records);

    // Makes every appended record durable. After an error the log is read-only
    // until it is opened again.
    base::Result<void> sync();

    // Removes `from` and all later records; durable on success, as are the
    // records before. `from` must be at least firstIndex().
    base::Result<void> truncateSuffix(std::uint64_t from);

    // Removes the segments that hold no record above `index`.
    base::Result<void> truncatePrefix(std::uint64_t index);

    // Removes every record, so that the next one follows `base`. For a snapshot
    // from another replica, which must be durable already.
    base::Result<void> reset(LogPosition base);

    // Returns the records from `first` to `last`, both included, but stops before
    // `maxBytes` of content is exceeded, except that the first one is always
    // returned. Both must lie between firstIndex() and lastIndex(). Fails with
    // StorageCorrupt if a record changed on disk.
    base::Result<std::vector<LogRecord>> read(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const;

    // Absent for records that the log does not hold, except the one before the first.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    // One above lastIndex() while the log is empty.
    std::uint64_t firstIndex() const { return segments_.front().base.index + 1; }
    std::uint64_t lastIndex() const { return segments_.back().lastIndex(); }
    std::uint64_t durableIndex() const { return durableIndex_; }
    bool isReadOnly() const { return failure_.has_value(); }
    std::uint64_t syncCount() const { return syncCount_; }

private:
    struct RecordLocation {
        std::uint64_t offset;
        std::uint64_t term;
        std::uint32_t bytes;
    };

    struct Segment {
        std::string name;
        // The place of the record before the first one.
        LogPosition base;
        std::unique_ptr<DiskFile> file;
        std::vector<RecordLocation> locations;
        // The end of the last complete record or mark.
        std::uint64_t end = 0;

        std::uint64_t lastIndex() const { return base.index + locations.size(); }
        std::uint64_t lastTerm() const { return locations.empty() ? base.term : locations.back().term; }
    };

    struct ScanResult;

    SegmentedLog(Disk& disk, std::uint64_t segmentBytes)
        : disk_(disk)
        , segmentBytes_(segmentBytes)
    {
    }

    static base::Result<ScanResult> scanSegment(Segment&, const std::string& content, bool isLast);

    base::Result<void> load(const LogOptions&);
    base::Result<void> checkWritable() const;
    base::Result<void> syncLastSegment();
    base::Result<void> createSegment(LogPosition base);
    base::Result<void> removeLastSegment();
    base::Result<void> repairTail();
    base::Result<void> rewriteLastSegment();
    base::Result<void> makeReadOnlyOnError(base::Result<void> result);
    void appendSyncMarker();
    const Segment& findSegment(std::uint64_t index) const;

    Disk& disk_;
    const std::uint64_t segmentBytes_;
    // Ascending, never empty once the log is open.
    std::vector<Segment> segments_;
    std::uint64_t durableIndex_ = 0;
    // The synced length of the last segment.
    std::uint64_t durableEnd_ = 0;
    // Bytes behind `end` of the last segment must be cut before the next append.
    bool needsTruncation_ = false;
    // The last segment was found on opening. A sync that failed before may have
    // left parts of it in memory only, so it must be written again.
    bool needsRewrite_ = false;
    // Why the log is read-only.
    std::optional<base::Error> failure_;
    std::uint64_t syncCount_ = 0;
};

} // namespace arbutus::storage
