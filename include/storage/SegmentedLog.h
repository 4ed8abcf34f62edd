#pragma once

#include "include/storage/Disk.h"

#include <optional>

namespace arbutus::storage {

// An entry of the replicated log. Indexes start at 1 and have no gaps; terms never
// decrease.
struct LogRecord {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string bytes;
};

// Identifies a record of the log; {0, 0} is the position before the first one.
struct LogPosition {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

struct LogOptions {
    // A new segment is started when the last one has reached this size.
    std::uint64_t segmentBytes = 8 << 20;
    // The position of the snapshot. An empty log starts right after it; an existing
    // log must not start any later.
    LogPosition base;
    // The log must contain every record up to this index, if it is above `base`.
    std::uint64_t minLastIndex = 0;
};

// A write-ahead log of checksummed records in segment files. Not thread-safe.
//
// A record is durable when durableIndex() is at least its index. Every record stores
// the offset up to which its segment had been synced when it was written, and a sync
// marker with the new offset follows each sync. These offsets distinguish a torn write
// at the tail, which is truncated, from damage to synced data, which is reported as
// StorageCorrupt. The only undetected case is damage to the records of the last sync
// together with the loss of the marker after them.
class SegmentedLog {
public:
    // Opens the log in the folder or creates an empty one. If the log is damaged, fails
    // with StorageCorrupt, which names the file and the offset, and changes nothing. If
    // the disk is full, the log is opened for reading, and lastIndex() may be above
    // durableIndex() until an append succeeds.
    static base::Result<std::unique_ptr<SegmentedLog>> Make(Disk&, LogOptions);

    // Appends `records`, whose indexes must follow lastIndex(). They are durable after
    // the next successful sync(). On failure, none of them is in the log. After
    // StorageFull, a later call may succeed.
    base::Result<void> append(const std::vector<LogRecord>& records);

    // Makes every appended record durable. If the sync of a file fails, the log is
    // read-only until it is reopened.
    base::Result<void> sync();

    // Removes the record `from` and all later ones. On success, the removal and all
    // earlier records are durable. `from` must be at least firstIndex().
    base::Result<void> truncateSuffix(std::uint64_t from);

    // Removes the segments without a record above `index`, except the last segment.
    base::Result<void> truncatePrefix(std::uint64_t index);

    // Removes every record; the next one must follow `base`. Used after installing a
    // snapshot from another replica, which must already be durable.
    base::Result<void> reset(LogPosition base);

    // Returns the records from `first` to `last`, inclusive. Stops before their content
    // exceeds `maxBytes`, but always returns the first one. Both indexes must be between
    // firstIndex() and lastIndex(). Fails with StorageCorrupt if a record has changed
    // on disk.
    base::Result<std::vector<LogRecord>> read(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const;

    // Returns the term of the record at `index`, which may also be the one right before
    // firstIndex(). Returns nullopt for any other record that is not in the log.
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    // lastIndex() + 1 if the log is empty.
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
        // The position of the record before the first one.
        LogPosition base;
        std::unique_ptr<DiskFile> file;
        std::vector<RecordLocation> locations;
        // The offset after the last complete record or sync marker.
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
    // In ascending order. Never empty while the log is open.
    std::vector<Segment> segments_;
    std::uint64_t durableIndex_ = 0;
    // The offset up to which the last segment is synced.
    std::uint64_t durableEnd_ = 0;
    // Whether the bytes after `end` of the last segment must be truncated before the
    // next append.
    bool needsTruncation_ = false;
    // Whether the last segment must be rewritten. Set for a segment that existed when
    // the log was opened: after an earlier failed sync, parts of it may exist only in
    // the page cache.
    bool needsRewrite_ = false;
    // The error that made the log read-only, if any.
    std::optional<base::Error> failure_;
    std::uint64_t syncCount_ = 0;
};

} // namespace arbutus::storage
