#pragma once

#include "include/base/Error.h"
#include "include/state/RawDigest.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::state {

class SnapshotReader;
class SnapshotWriter;

// What happened to one command.
struct AuditRecord {
    // Starts at 1 and has no gaps.
    std::uint64_t sequence = 0;
    // Position of the command in the replicated log.
    std::uint64_t index = 0;
    base::WallTime time;
    // Name of the command, or "Malformed".
    std::string command;
    // The operator or VM that the command names.
    std::string actor;
    // What the command concerns: an order, a sheet revision, an upstream.
    std::string subject;
    // "accepted" or another stable name of the result, or the name of an error kind.
    std::string result;
    std::string detail;
    // SHA-256 of the command's bytes.
    RawDigest commandDigest {};
    // SHA-256 of the previous record's digest and all fields above.
    RawDigest digest {};
};

// One line, for operators.
std::string toString(const AuditRecord&);

// Consecutive records with the digests they are anchored to. The last digest of
// one export is the previous digest of the export that follows it.
struct AuditExport {
    std::uint64_t previousSequence = 0;
    RawDigest previousDigest {};
    std::uint64_t lastSequence = 0;
    RawDigest lastDigest {};
    std::vector<AuditRecord> records;
};

// The first place at which an export is not what was recorded.
struct AuditFault {
    std::uint64_t sequence = 0;
    std::string reason;
};

// What has to be exported before it can be trimmed.
struct AuditBacklog {
    std::uint64_t firstSequence = 0;
    std::uint64_t lastSequence = 0;
    std::optional<base::WallTime> oldestTime;
    std::size_t count = 0;
    std::size_t capacity = 0;

    bool isFull() const { return count >= capacity; }
};

// The chained audit records. Records stay here, and in every snapshot, until an
// operator exports them and drops them by TrimAudit; snapshots drop nothing.
// After a trim only the digest of the last dropped record remains, so that the
// next record still proves what it follows.
class AuditChain {
public:
    explicit AuditChain(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    // Appends `record`; its sequence number and digest are set here.
    void append(AuditRecord record);

    // Returns the records with from <= time < to.
    AuditExport exportPeriod(base::WallTime from, base::WallTime to) const;
    // Returns records after `sequence`, at most `maxCount`.
    AuditExport exportAfter(std::uint64_t sequence, std::size_t maxCount) const;

    // Checks an export against its own anchors. The caller compares the anchors
    // with the neighbouring exports or with head().
    static std::optional<AuditFault> verify(const AuditExport&);

    // Drops the records up to and including `sequence`. Fails with NotFound
    // when it is not here, and with Forbidden when `digestHex` is not its digest.
    base::Result<void> trim(std::uint64_t sequence, std::string_view digestHex);

    AuditBacklog backlog() const;
    bool isFull() const { return records_.size() >= capacity_; }
    std::uint64_t lastSequence() const { return trimmedSequence_ + records_.size(); }
    const RawDigest& head() const { return head_; }

    void save(SnapshotWriter&) const;
    void load(SnapshotReader&);

private:
    AuditRecord recordAt(std::size_t position) const;
    AuditExport exportRange(std::size_t first, std::size_t last) const;

    std::size_t capacity_;
    std::uint64_t trimmedSequence_ = 0;
    RawDigest trimmedDigest_ {};
    RawDigest head_ {};
    // Each record in its byte form: half the memory of the decoded form.
    std::deque<std::string> records_;
};

} // namespace arbutus::state
