#pragma once

#include <chrono>
#include <cstddef>

namespace arbutus::state {

// Limits of the durable state. All replicas must use the same values because the
// result of a command depends on them. Only tests use non-default values.
struct Limits {
    // How long the full answer is kept after it was recorded.
    std::chrono::hours answerRetention { 24 };
    // How long the digest is kept afterwards. The key remains in use.
    std::chrono::hours digestRetention { 24 * 30 };
    // How long a closed claim number is kept as a tombstone. A ClaimOrder of this
    // age is refused, so a claim cannot outlive its tombstone.
    std::chrono::hours tombstoneRetention { 24 };
    // At these limits new claims are refused; nothing is dropped early. An order
    // uses 750 bytes with a small answer and 500 bytes once the answer is dropped,
    // so the records stay below 0.75 GB. With 31 days of retention this allows 0.37
    // orders per second.
    std::size_t maxOrders = 1'000'000;
    std::size_t maxAnswerBytes = std::size_t { 512 } << 20;
    // Each attempt to resend an order that cannot be sent creates one tombstone.
    std::size_t maxClosedClaimsPerOrder = 256;
    // Entry VMs recorded as gone: about 8 days at 1,000 restarts per day.
    std::size_t maxGoneEntryVms = 8'192;

    std::chrono::hours crashRetention { 1 };
    std::size_t maxFingerprints = 16'384;

    std::size_t maxDrainedUpstreams = 65'536;
    // Sheet acceptances kept to recognize operator numbers: about a week at 9,400
    // changes per day.
    std::size_t maxSheetAcceptances = 65'536;
    // Row differences listed in the refusal of a sheet.
    std::size_t maxReportedDifferences = 100;
    std::size_t maxFeedRevisions = 256;
    // Changed keys in all recorded feed revisions together.
    std::size_t maxFeedKeys = 65'536;

    // Audit records are kept until they are trimmed. At this limit, claims, sheets
    // and fencing tokens are refused until exported records have been trimmed.
    std::size_t maxAuditRecords = 500'000;
};

} // namespace arbutus::state
