#pragma once

#include "include/state/Limits.h"
#include "include/state/Outcome.h"
#include "include/state/RawDigest.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::state {

class SnapshotReader;
class SnapshotWriter;

enum class OrderStatus : std::uint8_t {
    // No claim is open and the order did not run; it may be claimed.
    Closed,
    Running,
    Unknown,
    Answered,
    // Only the digest of the answer is kept.
    AnswerDropped,
};

std::string_view toString(OrderStatus);

// What the ledger knows of one order, for queries.
struct OrderState {
    OrderKey order;
    OrderStatus status = OrderStatus::Closed;
    std::uint64_t claimNumber = 0;
    std::string entryVm;
    base::WallTime changedAt;
    std::optional<RecordedAnswer> recorded;
};

// SHA-256 of status, content type and body.
RawDigest answerDigest(const OrderAnswer&);

// Grants at most one claim for each order at a time, and keeps the answers.
//
// A key stays bound to the first body claimed under it as long as the ledger
// holds a record of it. A record without an end (running, unknown) is never
// dropped.
class OrderLedger {
public:
    explicit OrderLedger(const Limits& limits)
        : limits_(limits)
    {
    }

    // `proposedAt` is the time in the command, `now` the time of the state.
    Outcome claim(const ClaimOrder&, base::WallTime proposedAt, base::WallTime now, bool isAuditFull);
    Outcome recordOutcome(const RecordOutcome&, base::WallTime now);
    Outcome closeClaim(const CloseClaim&, base::WallTime now);
    Outcome resolve(const ResolveOrder&, base::WallTime now);
    // Returns the number of orders that became unknown.
    std::size_t declareEntryGone(const DeclareEntryGone&, base::WallTime now);

    // Drops bodies, digests and tombstones that have passed their retention.
    void expire(base::WallTime now);

    std::optional<OrderState> find(const OrderKey&) const;
    // Sorted by key, at most `maxCount`.
    std::vector<OrderState> findByStatus(OrderStatus, std::size_t maxCount) const;
    std::size_t size() const { return records_.size(); }
    std::size_t answerBytes() const { return answerBytes_; }

    void save(SnapshotWriter&) const;
    void load(SnapshotReader&);

private:
    struct ClosedClaim {
        std::uint64_t claimNumber = 0;
        base::WallTime closedAt;

        MSGPACK_DEFINE(claimNumber, closedAt)
    };

    struct Record {
        std::uint8_t status = 0;
        // The entry process itself stated that the outcome is unknown.
        bool isReportedUnknown = false;
        // All zero while only a tombstone created the record.
        RawDigest bodyDigest {};
        // The last claim that was granted; zero before the first.
        std::uint64_t claimNumber = 0;
        std::uint64_t entryIncarnation = 0;
        std::string entryVm;
        base::WallTime changedAt;
        std::string resolvedBy;
        std::unique_ptr<RecordedAnswer> recorded;
        // Oldest first.
        std::vector<ClosedClaim> closedClaims;
        // Set when there were too many closed claims to keep each number: by
        // this time, every claim that was not kept is too old to be granted.
        base::WallTime grantsSuspendedUntil;

        MSGPACK_DEFINE(status, isReportedUnknown, bodyDigest, claimNumber, entryIncarnation, entryVm, changedAt, resolvedBy, recorded, closedClaims, grantsSuspendedUntil)
    };

    // The key of the map is team, service and key separated by line breaks,
    // which none of them contains.
    using Records = std::map<std::string, Record>;
    // A record that has something to drop at a time. Each tombstone, answer and
    // digest has exactly one due entry, so no entry outlives its record.
    struct ExpiryEntry {
        base::WallTime retainedSince;
        Records::iterator record;
    };
    using ExpiryQueue = std::deque<ExpiryEntry>;

    static OrderStatus statusOf(const Record& record) { return static_cast<OrderStatus>(record.status); }
    static std::string toRecordKey(const OrderKey&);
    static OrderKey fromRecordKey(const std::string&);
    static bool isClosed(const Record&, std::uint64_t claimNumber);
    static OrderState stateOf(const Records::value_type&);

    std::optional<Refusal> refuseGrant(const ClaimOrder&, const Record*, base::WallTime proposedAt, base::WallTime now, bool isAuditFull) const;
    void setStatus(Records::iterator, OrderStatus, base::WallTime now);
    void recordAnswer(Records::iterator, const OrderAnswer&, std::string resolvedBy, base::WallTime now);
    void addTombstone(Records::iterator, std::uint64_t claimNumber, base::WallTime now);
    void dropTombstone(Records::iterator, base::WallTime now);
    void dropBody(Records::iterator, base::WallTime now);
    void dropDigest(Records::iterator);

    const Limits& limits_;
    Records records_;
    // The running orders of each entry VM.
    std::map<std::string, std::set<std::string>> runningOrderKeys_;
    // The highest incarnation of each entry VM that is gone, oldest declaration first in goneOrder_.
    std::map<std::string, std::uint64_t> goneIncarnations_;
    std::deque<std::string> goneEntryVms_;
    ExpiryQueue tombstoneExpiries_;
    ExpiryQueue bodyExpiries_;
    ExpiryQueue digestExpiries_;
    std::size_t answerBytes_ = 0;
};

} // namespace arbutus::state
