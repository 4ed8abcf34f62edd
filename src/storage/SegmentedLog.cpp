#include "include/storage/SegmentedLog.h"

#include "include/base/Digest.h"
#include "include/base/Logger.h"
#include "src/storage/Encoding.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace arbutus::storage {

using base::ErrorKind;
using base::Result;

static constexpr base::Logger logger("storage");

static constexpr std::string_view namePrefix = "log-";
static constexpr std::size_t nameDigits = 20;

// Segment header: magic, index and term of the record before the first one, checksum.
static constexpr std::uint64_t segmentMagic = 0x3130474553425241; // "ARBSEG01"
static constexpr std::size_t segmentHeaderBytes = 32;

// Record header: checksum, length, kind, index, term, synced length of the segment when
// the record was written.
static constexpr std::size_t recordHeaderBytes = 40;
static constexpr std::size_t checksumBytes = 8;
static constexpr std::size_t maxRecordBytes = 16 << 20;

static constexpr std::uint32_t entryKind = 0x59544e45; // "ENTY"
static constexpr std::uint32_t syncMarkerKind = 0x4b52414d; // "MARK"

struct RecordHeader {
    std::uint64_t checksum;
    std::uint32_t length;
    std::uint32_t kind;
    std::uint64_t index;
    std::uint64_t term;
    std::uint64_t durableEnd;
};

static std::string segmentName(std::uint64_t firstIndex) { return fmt::format("{}{:020}", namePrefix, firstIndex); }

static bool parseSegmentName(const std::string& name, std::uint64_t& firstIndex)
{
    if (name.size() != namePrefix.size() + nameDigits || name.rfind(namePrefix, 0))
        return false;
    std::from_chars(name.data() + namePrefix.size(), name.data() + name.size(), firstIndex);
    return firstIndex && name == segmentName(firstIndex);
}

static std::string encodeSegmentHeader(LogPosition base)
{
    std::string header;
    putInteger(header, segmentMagic);
    putInteger(header, base.index);
    putInteger(header, base.term);
    putInteger(header, base::hash64(header));
    return header;
}

static bool isSegmentHeader(std::string_view content, std::uint64_t firstIndex)
{
    if (content.size() < segmentHeaderBytes || getInteger<std::uint64_t>(content, 0) != segmentMagic)
        return false;
    return getInteger<std::uint64_t>(content, 8) + 1 == firstIndex && getInteger<std::uint64_t>(content, 24) == base::hash64(content.substr(0, 24));
}

// Returns the seed of a record's checksum. It depends on the segment and the offset, so
// that a record from another location is not accepted.
static std::uint64_t recordSeed(const LogPosition& segmentBase, std::uint64_t offset) { return segmentBase.index * 0x9e3779b97f4a7c15 + offset; }

static void encodeRecord(std::string& bytes, std::uint64_t seed, std::uint32_t kind, LogPosition position, std::uint64_t durableEnd, std::string_view content)
{
    std::string record;
    record.reserve(recordHeaderBytes + content.size());
    putInteger(record, std::uint64_t { 0 });
    putInteger(record, static_cast<std::uint32_t>(content.size()));
    putInteger(record, kind);
    putInteger(record, position.index);
    putInteger(record, position.term);
    putInteger(record, durableEnd);
    record += content;
    std::string checksum;
    putInteger(checksum, base::hash64(std::string_view(record).substr(checksumBytes), seed));
    record.replace(0, checksumBytes, checksum);
    bytes += record;
}

// Returns the header of the record at `offset`, or nullopt if the record is incomplete
// or damaged.
static std::optional<RecordHeader> parseRecord(std::string_view content, std::uint64_t offset, const LogPosition& segmentBase)
{
    if (content.size() < recordHeaderBytes || offset > content.size() - recordHeaderBytes)
        return std::nullopt;
    std::string_view record = content.substr(offset);
    RecordHeader header {
        getInteger<std::uint64_t>(record, 0),
        getInteger<std::uint32_t>(record, 8),
        getInteger<std::uint32_t>(record, 12),
        getInteger<std::uint64_t>(record, 16),
        getInteger<std::uint64_t>(record, 24),
        getInteger<std::uint64_t>(record, 32),
    };
    if ((header.kind != entryKind && header.kind != syncMarkerKind) || header.length > record.size() - recordHeaderBytes || header.durableEnd > offset)
        return std::nullopt;
    record = record.substr(checksumBytes, recordHeaderBytes - checksumBytes + header.length);
    if (header.checksum != base::hash64(record, recordSeed(segmentBase, offset)))
        return std::nullopt;
    return header;
}

// Returns whether a valid record after `badOffset` proves that the data at `badOffset`
// had been synced.
static bool wasOffsetSynced(std::string_view content, std::uint64_t badOffset, const LogPosition& segmentBase)
{
    for (std::uint64_t offset = badOffset + 1; offset + recordHeaderBytes <= content.size(); ++offset) {
        if (auto header = parseRecord(content, offset, segmentBase); header && header->durableEnd > badOffset)
            return true;
    }
    return false;
}

// What scanSegment() finds in a segment file besides the records.
struct SegmentedLog::ScanResult {
    // The largest synced length that is stored in a record.
    std::uint64_t knownDurableEnd = segmentHeaderBytes;
    std::uint64_t fileSize = 0;
};

Result<SegmentedLog::ScanResult> SegmentedLog::scanSegment(Segment& segment, const std::string& content, bool isLast)
{
    ScanResult scan;
    scan.fileSize = content.size();
    segment.end = segmentHeaderBytes;
    while (auto header = parseRecord(content, segment.end, segment.base)) {
        scan.knownDurableEnd = std::max(scan.knownDurableEnd, header->durableEnd);
        std::uint64_t next = segment.end + recordHeaderBytes + header->length;
        if (header->kind == entryKind) {
            if (header->index != segment.lastIndex() + 1 || header->term < segment.lastTerm())
                return corruptError(segment.name, segment.end, "the record is out of order");
            segment.locations.push_back(RecordLocation { segment.end, header->term, header->length });
        }
        segment.end = next;
    }
    if (segment.end < scan.fileSize && (!isLast || wasOffsetSynced(content, segment.end, segment.base)))
        return corruptError(segment.name, segment.end, "the record does not match its checksum and is not the tail");
    return scan;
}

Result<std::unique_ptr<SegmentedLog>> SegmentedLog::Make(Disk& disk, LogOptions options)
{
    std::unique_ptr<SegmentedLog> log(new SegmentedLog(disk, options.segmentBytes));
    BOOST_OUTCOME_TRY(log->load(options));
    return log;
}

// Reads and checks all segments before it changes any file.
Result<void> SegmentedLog::load(const LogOptions& options)
{
    // A crash could still undo file creations and removals that were not synced.
    BOOST_OUTCOME_TRY(disk_.syncDirectory());
    BOOST_OUTCOME_TRY(names, disk_.list());
    names.erase(std::remove_if(names.begin(), names.end(), [](const std::string& name) {
        std::uint64_t ignored = 0;
        return !parseSegmentName(name, ignored);
    }),
        names.end());

    std::string incompleteSegment;
    ScanResult scan;
    for (const auto& name : names) {
        bool isLast = name == names.back();
        Segment segment;
        std::uint64_t firstIndex = 0;
        parseSegmentName(name, firstIndex);
        segment.name = name;
        BOOST_OUTCOME_TRY(file, disk_.open(name));
        segment.file = std::move(file);
        BOOST_OUTCOME_TRY(size, segment.file->size());
        BOOST_OUTCOME_TRY(content, segment.file->read(0, size));
        if (!isSegmentHeader(content, firstIndex)) {
            // The header is synced before the first record is written, so a file without
            // a valid header and without further bytes has never contained a record.
            if (isLast && content.size() <= segmentHeaderBytes) {
                incompleteSegment = name;
                break;
            }
            return corruptError(name, 0, "the segment header does not match its checksum");
        }
        segment.base = LogPosition { firstIndex - 1, getInteger<std::uint64_t>(content, 16) };
        if (!segments_.empty() && (segment.base.index != lastIndex() || segment.base.term != segments_.back().lastTerm()))
            return corruptError(name, 0, fmt::format("the previous segment ends with record {}", lastIndex()));
        BOOST_OUTCOME_TRY(scanned, scanSegment(segment, content, isLast));
        scan = scanned;
        segments_.push_back(std::move(segment));
    }
    std::string lastName = segments_.empty() ? segmentName(options.base.index + 1) : segments_.back().name;
    if (!segments_.empty() && firstIndex() > options.base.index + 1)
        return corruptError(segments_.front().name, 0, fmt::format("there is a gap between record {} and the start of the log", options.base.index));
    if (std::uint64_t last = segments_.empty() ? options.base.index : lastIndex(); options.minLastIndex > std::max(last, options.base.index))
        return corruptError(lastName, segments_.empty() ? 0 : segments_.back().end, fmt::format("the log ends with record {}, but record {} was committed", last, options.minLastIndex));
    if (segments_.empty() && !incompleteSegment.empty() && incompleteSegment != lastName)
        return corruptError(incompleteSegment, 0, "the only segment has no valid header and does not follow the snapshot");

    if (!incompleteSegment.empty()) {
        logger.info("Removing an incomplete segment.", { { "file", incompleteSegment } });
        BOOST_OUTCOME_TRY(disk_.remove(incompleteSegment));
        BOOST_OUTCOME_TRY(disk_.syncDirectory());
    }
    if (segments_.empty())
        return createSegment(options.base);

    Segment& last = segments_.back();
    durableEnd_ = scan.knownDurableEnd;
    auto firstNotDurable = std::partition_point(last.locations.begin(), last.locations.end(), [&](const RecordLocation& location) { return location.offset < durableEnd_; });
    durableIndex_ = last.base.index + static_cast<std::uint64_t>(firstNotDurable - last.locations.begin());
    needsRewrite_ = true;
    if (last.end < scan.fileSize)
        logger.warning("Cuts a torn log tail.", { { "file", last.name }, { "offset", last.end }, { "bytes", scan.fileSize - last.end } });
    auto repaired = repairTail();
    if (!repaired && repaired.error().kind == ErrorKind::StorageFull && !failure_) {
        logger.warning("The disk is full; the log accepts no records until space is freed.", { { "file", last.name } });
        return base::outcome::success();
    }
    return repaired;
}

Result<void> SegmentedLog::checkWritable() const
{
    if (failure_)
        return base::makeError(ErrorKind::StorageFailed, "the log is read-only until it is reopened: " + failure_->detail);
    return base::outcome::success();
}

// Makes the log read-only if `result` is an error. Used for operations whose failure
// leaves the files in a state that only a new scan can determine.
Result<void> SegmentedLog::makeReadOnlyOnError(Result<void> result)
{
    if (!result) {
        failure_ = result.error();
        logger.error("The log is read-only until it is reopened.", { { "reason", failure_->detail } });
    }
    return result;
}

Result<void> SegmentedLog::syncLastSegment()
{
    Segment& last = segments_.back();
    BOOST_OUTCOME_TRY(makeReadOnlyOnError(last.file->sync()));
    ++syncCount_;
    durableIndex_ = last.lastIndex();
    durableEnd_ = last.end;
    return base::outcome::success();
}

// The marker itself is not synced: it reaches the disk with the next sync or when the
// system writes back its page cache. Recovery does not depend on it.
void SegmentedLog::appendSyncMarker()
{
    Segment& last = segments_.back();
    std::string bytes;
    encodeRecord(bytes, recordSeed(last.base, last.end), syncMarkerKind, LogPosition { last.lastIndex(), last.lastTerm() }, durableEnd_, {});
    if (last.file->append(bytes))
        last.end += bytes.size();
    else
        needsTruncation_ = true;
}

Result<void> SegmentedLog::repairTail()
{
    if (needsRewrite_)
        return rewriteLastSegment();
    if (!needsTruncation_)
        return base::outcome::success();
    BOOST_OUTCOME_TRY(segments_.back().file->truncate(segments_.back().end));
    // Syncs immediately: if the truncated bytes reappeared after a crash, they could
    // contain a record whose append had failed.
    BOOST_OUTCOME_TRY(syncLastSegment());
    needsTruncation_ = false;
    return base::outcome::success();
}

// Replaces the last segment by a new file with the same records. Syncing the old file
// is not sufficient: after a failed sync, the system may mark pages as clean that never
// reached the disk, and a truncation may be undone.
Result<void> SegmentedLog::rewriteLastSegment()
{
    Segment& last = segments_.back();
    BOOST_OUTCOME_TRY(content, last.file->read(0, last.end));
    Segment checked;
    checked.name = last.name;
    checked.base = last.base;
    BOOST_OUTCOME_TRY(scanSegment(checked, content, false));
    if (content.size() != last.end || checked.locations.size() != last.locations.size())
        return corruptError(last.name, checked.end, "the segment changed since it was opened");
    std::uint64_t end = last.end;
    encodeRecord(content, recordSeed(last.base, end), syncMarkerKind, LogPosition { last.lastIndex(), last.lastTerm() }, end, {});
    BOOST_OUTCOME_TRY(writeAtomically(disk_, last.name, content));
    auto opened = disk_.open(last.name);
    if (!opened)
        return makeReadOnlyOnError(std::move(opened).error());
    last.file = std::move(opened).value();
    last.end = content.size();
    durableIndex_ = last.lastIndex();
    durableEnd_ = end;
    needsRewrite_ = false;
    needsTruncation_ = false;
    return base::outcome::success();
}

// On failure, the log is unchanged or read-only.
Result<void> SegmentedLog::createSegment(LogPosition base)
{
    Segment segment;
    segment.name = segmentName(base.index + 1);
    segment.base = base;
    segment.end = segmentHeaderBytes;
    BOOST_OUTCOME_TRY(file, disk_.open(segment.name));
    segment.file = std::move(file);
    auto written = segment.file->append(encodeSegmentHeader(base));
    if (!written) {
        // An incomplete file would conflict with the next segment.
        auto removed = disk_.remove(segment.name);
        if (!removed)
            return makeReadOnlyOnError(std::move(removed).error());
        return written;
    }
    BOOST_OUTCOME_TRY(makeReadOnlyOnError(segment.file->sync()));
    BOOST_OUTCOME_TRY(makeReadOnlyOnError(disk_.syncDirectory()));
    segments_.push_back(std::move(segment));
    durableIndex_ = base.index;
    durableEnd_ = segmentHeaderBytes;
    return base::outcome::success();
}

Result<void> SegmentedLog::append(const std::vector<LogRecord>& records)
{
    BOOST_OUTCOME_TRY(checkWritable());
    if (records.empty())
        return base::outcome::success();
    for (const auto& record : records) {
        if (record.bytes.size() > maxRecordBytes)
            return base::makeError(ErrorKind::InvalidRequest, fmt::format("record {} has {} bytes; the limit is {}", record.index, record.bytes.size(), maxRecordBytes));
    }
    BOOST_OUTCOME_TRY(repairTail());
    if (segments_.back().end >= segmentBytes_ && !segments_.back().locations.empty()) {
        BOOST_OUTCOME_TRY(syncLastSegment());
        BOOST_OUTCOME_TRY(createSegment(LogPosition { lastIndex(), segments_.back().lastTerm() }));
    }
    Segment& last = segments_.back();
    std::string bytes;
    std::vector<RecordLocation> locations;
    std::uint64_t index = last.lastIndex();
    [[maybe_unused]] std::uint64_t term = last.lastTerm();
    for (const auto& record : records) {
        assert(record.index == index + 1 && record.term >= term);
        index = record.index;
        term = record.term;
        locations.push_back(RecordLocation { last.end + bytes.size(), record.term, static_cast<std::uint32_t>(record.bytes.size()) });
        encodeRecord(bytes, recordSeed(last.base, locations.back().offset), entryKind, LogPosition { record.index, record.term }, durableEnd_, record.bytes);
    }
    if (auto appended = last.file->append(bytes); !appended) {
        needsTruncation_ = true;
        if (auto repaired = repairTail(); !repaired)
            logger.warning("A partially written record could not be truncated yet.", { { "file", last.name }, { "reason", repaired.error().detail } });
        return appended;
    }
    last.end += bytes.size();
    last.locations.insert(last.locations.end(), locations.begin(), locations.end());
    return base::outcome::success();
}

Result<void> SegmentedLog::sync()
{
    BOOST_OUTCOME_TRY(checkWritable());
    if (durableIndex_ == lastIndex())
        return base::outcome::success();
    if (needsRewrite_ || needsTruncation_)
        return repairTail();
    BOOST_OUTCOME_TRY(syncLastSegment());
    appendSyncMarker();
    return base::outcome::success();
}

// Makes the removal durable before the next change, so that a crash never leaves a gap
// between segments.
Result<void> SegmentedLog::removeLastSegment()
{
    BOOST_OUTCOME_TRY(disk_.remove(segments_.back().name));
    BOOST_OUTCOME_TRY(disk_.syncDirectory());
    segments_.pop_back();
    return base::outcome::success();
}

Result<void> SegmentedLog::truncateSuffix(std::uint64_t from)
{
    assert(from >= firstIndex());
    BOOST_OUTCOME_TRY(checkWritable());
    if (from > lastIndex())
        return sync();
    BOOST_OUTCOME_TRY(repairTail());
    while (segments_.size() > 1 && from <= segments_.back().base.index + 1) {
        BOOST_OUTCOME_TRY(makeReadOnlyOnError(removeLastSegment()));
        durableEnd_ = segments_.back().end;
        durableIndex_ = lastIndex();
    }
    Segment& last = segments_.back();
    if (from <= last.lastIndex()) {
        std::size_t remainingCount = from - last.base.index - 1;
        last.end = last.locations[remainingCount].offset;
        last.locations.resize(remainingCount);
        durableIndex_ = std::min(durableIndex_, last.lastIndex());
        BOOST_OUTCOME_TRY(makeReadOnlyOnError(last.file->truncate(last.end)));
        BOOST_OUTCOME_TRY(syncLastSegment());
        appendSyncMarker();
    }
    return base::outcome::success();
}

Result<void> SegmentedLog::truncatePrefix(std::uint64_t index)
{
    BOOST_OUTCOME_TRY(checkWritable());
    while (segments_.size() > 1 && segments_.front().lastIndex() <= index) {
        BOOST_OUTCOME_TRY(disk_.remove(segments_.front().name));
        segments_.erase(segments_.begin());
        // Makes each removal durable before the next one, as in removeLastSegment().
        BOOST_OUTCOME_TRY(makeReadOnlyOnError(disk_.syncDirectory()));
    }
    return base::outcome::success();
}

Result<void> SegmentedLog::reset(LogPosition base)
{
    BOOST_OUTCOME_TRY(checkWritable());
    // Creates the new segment only after the old ones are removed; otherwise a crash
    // could leave a gap between segments. The durable snapshot covers the removed records.
    while (segments_.size() > 1) {
        BOOST_OUTCOME_TRY(makeReadOnlyOnError(removeLastSegment()));
    }
    BOOST_OUTCOME_TRY(makeReadOnlyOnError(disk_.remove(segments_.back().name)));
    BOOST_OUTCOME_TRY(makeReadOnlyOnError(disk_.syncDirectory()));
    Segment old = std::move(segments_.back());
    segments_.pop_back();
    needsTruncation_ = false;
    needsRewrite_ = false;
    auto created = createSegment(base);
    if (!created) {
        // Keeps firstIndex(), lastIndex() and termAt() usable on the empty log.
        old.locations.clear();
        old.base = base;
        segments_.push_back(std::move(old));
        durableIndex_ = base.index;
        return makeReadOnlyOnError(std::move(created));
    }
    return base::outcome::success();
}

const SegmentedLog::Segment& SegmentedLog::findSegment(std::uint64_t index) const
{
    auto after = std::partition_point(segments_.begin(), segments_.end(), [&](const Segment& segment) { return segment.base.index < index; });
    assert(after != segments_.begin());
    return *std::prev(after);
}

Result<std::vector<LogRecord>> SegmentedLog::read(std::uint64_t first, std::uint64_t last, std::size_t maxBytes) const
{
    assert(first >= firstIndex() && last <= lastIndex());
    std::vector<LogRecord> records;
    std::size_t total = 0;
    for (std::uint64_t index = first; index <= last;) {
        const Segment& segment = findSegment(index);
        std::size_t begin = index - segment.base.index - 1;
        std::size_t end = begin;
        // Reads adjacent records of a segment in one operation.
        while (end < segment.locations.size() && segment.base.index + 1 + end <= last) {
            if (total + segment.locations[end].bytes > maxBytes && (end > begin || !records.empty()))
                break;
            total += segment.locations[end].bytes;
            ++end;
        }
        if (end == begin)
            break;
        std::uint64_t offset = segment.locations[begin].offset;
        std::uint64_t stop = segment.locations[end - 1].offset + recordHeaderBytes + segment.locations[end - 1].bytes;
        BOOST_OUTCOME_TRY(content, segment.file->read(offset, stop - offset));
        for (std::size_t i = begin; i < end; ++i, ++index) {
            const RecordLocation& location = segment.locations[i];
            LogPosition segmentBase { segment.base.index, 0 };
            std::string_view record(content);
            record.remove_prefix(std::min<std::uint64_t>(location.offset - offset, record.size()));
            record = record.substr(0, recordHeaderBytes + location.bytes);
            bool isValid = record.size() == recordHeaderBytes + location.bytes && getInteger<std::uint64_t>(record, 0) == base::hash64(record.substr(checksumBytes), recordSeed(segmentBase, location.offset)) && getInteger<std::uint64_t>(record, 16) == index;
            if (!isValid)
                return corruptError(segment.name, location.offset, "the record changed since the log was opened");
            records.push_back(LogRecord { index, location.term, std::string(record.substr(recordHeaderBytes)) });
        }
    }
    return records;
}

std::optional<std::uint64_t> SegmentedLog::termAt(std::uint64_t index) const
{
    if (index + 1 == firstIndex())
        return segments_.front().base.term;
    if (index < firstIndex() || index > lastIndex())
        return std::nullopt;
    const Segment& segment = findSegment(index);
    return segment.locations[index - segment.base.index - 1].term;
}

} // namespace arbutus::storage
