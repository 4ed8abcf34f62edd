#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::placement {

// Returns the entry VM that should act as placement controller: the one with the
// highest rendezvous score among `vms`. Returns an empty string if `vms` is empty.
std::string controllerCandidate(const std::vector<std::string>& vms);

// Decides when this process may act as placement controller, based on the fencing
// numbers that the replicated state granted to it. docs/placement.md proves that two
// processes never act at the same time. Not thread-safe.
class ControllerLease {
public:
    struct Options {
        // Starts when the request for the latest fencing number was sent.
        std::chrono::nanoseconds length = std::chrono::seconds(5);
        std::chrono::nanoseconds renewAfter = std::chrono::seconds(2);
        // Upper bound of the clock drift between two VMs, as a fraction of the lease.
        double maxClockDrift = 0.1;
    };

    ControllerLease()
        : ControllerLease(Options())
    {
    }
    explicit ControllerLease(const Options&);

    // Returns whether a fencing number should be requested now. At most one request may
    // be pending.
    bool needsFencingNumber(base::TimePoint now) const;

    // Records a granted fencing number. If it is not the successor of the last one,
    // another process may hold a lease, so this process waits from `receivedAt` until that
    // lease has expired, including the maximum clock drift.
    void grant(std::uint64_t number, base::TimePoint sentAt, base::TimePoint receivedAt);

    // Releases the lease, for example when another VM becomes the candidate.
    void release();

    // Returns the fencing number to send with commands at `now`, or nullopt if this
    // process must not send commands.
    std::optional<std::uint64_t> fencingNumberAt(base::TimePoint now) const;

private:
    const Options options_;
    std::uint64_t fencingNumber_ = 0;
    bool isHeld_ = false;
    base::TimePoint sentAt_;
    // When every lease that another process may hold has expired.
    base::TimePoint activeFrom_;
};

} // namespace arbutus::placement
