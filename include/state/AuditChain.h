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

// The audited result of one command.
struct AuditRecord {
    // Starts at 1, without gaps.
    std::uint64_t sequence = 0;
    // Index of the command in the replicated log.
    std::uint64_t index = 0;
    base::WallTime time;
    // Name of the command, or "Malformed".
    std::string command;
    // The operator, VM or upstream process named in the command. Empty if none is.
    std::string actor;
    // The target of the command, such as an order, a sheet revision or an upstream.
    std::string subject;
    // The name from resultName(), such as "accepted", or the name of an error kind.
    std::string result;
    std::string detail;
    // SHA-256 of the encoded command.
    RawDigest commandDigest {};
    // SHA-256 of the previous record's digest followed by all fields above.
    RawDigest digest {};
};

// Formats the record as a single line for operators.
std::string toString(const AuditRecord&);

// Consecutive records and the digests that anchor them in the chain. The last
// digest of an export equals the previous digest of the next export.
struct AuditExport {
    std::uint64_t previousSequence = 0;
    RawDigest previousDigest {};
    std::uint64_t lastSequence = 0;
    RawDigest lastDigest {};
    std::vector<AuditRecord> records;
};

// The first record at which an export fails verification.
struct AuditFault {
    std::uint64_t sequence = 0;
    std::string reason;
};

// Summary of the records that have not been trimmed yet.
struct AuditBacklog {
    std::uint64_t firstSequence = 0;
    std::uint64_t lastSequence = 0;
    std::optional<base::WallTime> oldestTime;
    std::size_t count = 0;
    std::size_t capacity = 0;

    bool isFull() const { return count >= capacity; }
};

// A hash chain of audit records. Records are kept here and in every snapshot until
// an operator exports them and removes them with TrimAudit. Taking a snapshot
// removes nothing. After a trim only the digest of the last removed record
// remains, so the next record can still be verified against its predecessor.
class AuditChain {
public:
    explicit AuditChain(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    // Appends `record` after setting its sequence number and digest.
    void append(AuditRecord record);

    // Returns the records with from <= time < to.
    AuditExport exportPeriod(base::WallTime from, base::WallTime to) const;
    // Returns at most `maxCount` records that follow `sequence`.
    AuditExport exportAfter(std::uint64_t sequence, std::size_t maxCount) const;

    // Verifies an export against its own anchor digests. Returns nullopt if it is
    // intact. The caller compares the anchors with adjacent exports or with head().
    static std::optional<AuditFault> verify(const AuditExport&);

    // Removes all records up to and including `sequence`. Fails with NotFound if
    // the chain does not hold that record, and with Forbidden if `digestHex` is not
    // its digest.
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
    // Serialized records, which use half the memory of decoded ones.
    std::deque<std::string> records_;
};

} // namespace arbutus::state
