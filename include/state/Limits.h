#pragma once

#include <chrono>
#include <cstddef>

namespace arbutus::state {

// Bounds of the durable state. All replicas must use the same values, because
// the result of a command depends on them; only tests use other than the defaults.
struct Limits {
    // An answer is kept in full this long after it was recorded.
    std::chrono::hours answerRetention { 24 };
    // Afterwards its digest is kept this long, and the key stays taken.
    std::chrono::hours digestRetention { 24 * 30 };
    // A closed claim number is remembered this long. A ClaimOrder proposed
    // earlier than that is refused, so a claim can never outlive its tombstone.
    std::chrono::hours tombstoneRetention { 24 };
    // Above these bounds new claims are refused; nothing is dropped early. An
    // order takes 750 bytes with a small answer and 500 bytes afterwards, so
    // the records stay below 0.75 GB. They allow 0.37 orders per second over 31 days.
    std::size_t maxOrders = 1'000'000;
    std::size_t maxAnswerBytes = std::size_t { 512 } << 20;
    // A caller that keeps resending an order that cannot be sent makes one
    // tombstone for each attempt.
    std::size_t maxClosedClaimsPerOrder = 256;
    // Entry VMs that are remembered as gone; about 8 days at 1,000 restarts a day.
    std::size_t maxGoneEntries = 8'192;

    std::chrono::hours crashRetention { 1 };
    std::size_t maxFingerprints = 16'384;

    std::size_t maxDrainedUpstreams = 65'536;
    // Accepted sheets whose operator numbers are remembered; about a week at
    // 9,400 changes a day.
    std::size_t maxAcceptances = 65'536;
    // Rows named in the refusal of a sheet.
    std::size_t maxReportedRows = 100;
    std::size_t maxFeedRevisions = 256;
    // Row keys over all remembered feed revisions.
    std::size_t maxFeedKeys = 65'536;

    // Audit records are kept until they are trimmed. At this bound, claims,
    // sheets and fencing numbers are refused until an export has been trimmed.
    std::size_t maxAuditRecords = 500'000;
};

} // namespace arbutus::state
