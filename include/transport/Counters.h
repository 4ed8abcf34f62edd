#pragma once

#include "include/base/LockRanks.h"
#include "include/base/RankedMutex.h"
#include "include/base/Time.h"
#include "include/transport/Frame.h"

#include <atomic>

namespace arbutus::transport {

// Totals since construction. Byte counts include handshakes and frame headers, but not
// TCP/IP headers.
struct TransportTotals {
    std::uint64_t framesIn = 0;
    std::uint64_t framesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    // Connections that completed the handshake.
    std::uint64_t connections = 0;
    // Frames dropped from a full queue before they were sent.
    std::uint64_t queueDrops = 0;
    // Responses to requests that had already completed.
    std::uint64_t lateResponses = 0;
    std::array<std::uint64_t, dropReasonCount> drops {};

    std::uint64_t dropsFor(DropReason reason) const { return drops[static_cast<std::size_t>(reason)]; }
};

// The counters of a client or server. Thread-safe.
class TransportCounters {
public:
    std::atomic<std::uint64_t> framesIn { 0 };
    std::atomic<std::uint64_t> framesOut { 0 };
    std::atomic<std::uint64_t> bytesIn { 0 };
    std::atomic<std::uint64_t> bytesOut { 0 };
    std::atomic<std::uint64_t> connections { 0 };
    std::atomic<std::uint64_t> queueDrops { 0 };
    std::atomic<std::uint64_t> lateResponses { 0 };

    // Counts a drop and logs it, at most once per second and reason. The log line
    // contains the number of drops that were not logged since the previous one.
    void recordDrop(DropReason, std::string_view peer, base::TimePoint now);

    TransportTotals totals() const;

private:
    struct LogState {
        std::optional<base::TimePoint> nextLogTime;
        std::uint64_t suppressed = 0;
    };

    std::array<std::atomic<std::uint64_t>, dropReasonCount> drops_ {};
    base::RankedMutex mutex_ { base::lock_rank::transport };
    std::array<LogState, dropReasonCount> logStates_;
};

} // namespace arbutus::transport
