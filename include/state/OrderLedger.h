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
    // No claim is open and the order did not run. It can be claimed.
    Closed,
    // A claim is open.
    Running,
    // Whether the order ran is unknown.
    Unknown,
    // The full answer is kept.
    Answered,
    // Only the digest of the answer is kept.
    AnswerDropped,
};

std::string_view toString(OrderStatus);

// The state of one order as returned by queries.
struct OrderState {
    OrderKey order;
    OrderStatus status = OrderStatus::Closed;
    std::uint64_t claimNumber = 0;
    std::string entryVm;
    base::WallTime changedAt;
    std::optional<RecordedAnswer> recorded;
};

// Returns the SHA-256 of status, content type and body.
RawDigest answerDigest(const OrderAnswer&);

// Grants at most one claim per order at a time and stores the answers.
//
// A key is bound to the first body claimed under it for as long as the ledger has a
// record of the key. Records of running and unknown orders are never dropped.
class OrderLedger {
public:
    explicit OrderLedger(const Limits& limits)
        : limits_(limits)
    {
    }

    // Grants the claim or returns the current status of the order as a ClaimReply.
    // `proposedAt` is the time in the command and `now` the time of the state.
    // Refuses with KeyConflict if the key was used for another request, PeerRejected
    // if the entry incarnation was declared gone, ClaimUnconfirmed if the command is as
    // old as the tombstone retention, Overloaded if the order was claimed and closed
    // too often, and StorageFull at a limit of the ledger or if `isAuditFull`.
    Outcome claim(const ClaimOrder&, base::WallTime proposedAt, base::WallTime now, bool isAuditFull);
    // Records the outcome of the current claim. Accepts a repeated outcome.
    // Refuses with OrderOutcomeUnknown if the claim is closed or not current, or has
    // another outcome.
    Outcome recordOutcome(const RecordOutcome&, base::WallTime now);
    // Closes a claim whether or not it was granted, and leaves a tombstone so that it
    // is never granted later. Refuses with OrderOutcomeUnknown if it has an outcome.
    Outcome closeClaim(const CloseClaim&, base::WallTime now);
    // Sets the outcome of an unknown order. Accepts a repeated resolution by the same
    // operator. Refuses with NotFound if there is no such order, with OrderInProgress
    // if it is running, and with OrderOutcomeUnknown in any other status.
    Outcome resolve(const ResolveOrder&, base::WallTime now);
    // Refuses further claims of the incarnation and marks its running orders as
    // unknown. Returns the number of these orders.
    std::size_t declareEntryGone(const DeclareEntryGone&, base::WallTime now);

    // Drops bodies, digests and tombstones whose retention has ended.
    void expire(base::WallTime now);

    std::optional<OrderState> find(const OrderKey&) const;
    // Returns at most `maxCount` orders, sorted by key.
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
        // The entry process itself reported the outcome as unknown.
        bool isReportedUnknown = false;
        // All zeros if the record was created by a tombstone and never claimed.
        RawDigest bodyDigest {};
        // The last granted claim. Zero before the first.
        std::uint64_t claimNumber = 0;
        std::uint64_t entryIncarnation = 0;
        std::string entryVm;
        base::WallTime changedAt;
        std::string resolvedBy;
        std::unique_ptr<RecordedAnswer> recorded;
        // Oldest first.
        std::vector<ClosedClaim> closedClaims;
        // Set when a tombstone was not stored because the order had too many. Until
        // this time no claim is granted; afterwards every claim without a stored
        // tombstone is too old to be granted.
        base::WallTime grantsSuspendedUntil;

        MSGPACK_DEFINE(status, isReportedUnknown, bodyDigest, claimNumber, entryIncarnation, entryVm, changedAt, resolvedBy, recorded, closedClaims, grantsSuspendedUntil)
    };

    // Maps the record key, which is team, service and key separated by line breaks.
    // None of the three contains a line break.
    using Records = std::map<std::string, Record>;
    // A tombstone, answer body or digest that expires. Each has exactly one entry, so
    // an entry never outlives its record.
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
    // Record keys of the running orders by entry VM.
    std::map<std::string, std::set<std::string>> runningOrderKeys_;
    // Highest incarnation declared gone, by entry VM.
    std::map<std::string, std::uint64_t> goneIncarnations_;
    // Keys of goneIncarnations_ in the order of their first declaration.
    std::deque<std::string> goneEntryVms_;
    ExpiryQueue tombstoneExpiries_;
    ExpiryQueue bodyExpiries_;
    ExpiryQueue digestExpiries_;
    std::size_t answerBytes_ = 0;
};

} // namespace arbutus::state
