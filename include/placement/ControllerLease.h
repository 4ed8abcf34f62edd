#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::placement {

// Returns the entry VM that should give orders: the one with the highest
// rendezvous score among `vms`; empty without any.
std::string controllerCandidate(const std::vector<std::string>& vms);

// Decides when this process may give orders, from the fencing numbers that the
// replicated state granted to it. docs/placement.md has the proof that two
// holders never act at once. Not thread-safe.
class ControllerLease {
public:
    struct Options {
        // Counted from the send time of the request for the latest number.
        std::chrono::nanoseconds length = std::chrono::seconds(5);
        std::chrono::nanoseconds renewAfter = std::chrono::seconds(2);
        // The clocks of two VMs run apart by less than this share of the lease.
        double maxClockDrift = 0.1;
    };

    ControllerLease()
        : ControllerLease(Options())
    {
    }
    explicit ControllerLease(const Options&);

    // Whether a number should be requested now. At most one request may be open.
    bool needsFencingNumber(base::TimePoint now) const;

    // Takes a granted number. A number that does not follow directly on the
    // last one shows that another process may hold a lease, which is waited out
    // from `receivedAt`.
    void grant(std::uint64_t number, base::TimePoint sentAt, base::TimePoint receivedAt);

    // Gives up the lease, for instance when another VM is the candidate.
    void release();

    // The number to send with orders at `now`; absent when no order may be given.
    std::optional<std::uint64_t> fencingNumberAt(base::TimePoint now) const;

private:
    const Options options_;
    std::uint64_t fencingNumber_ = 0;
    bool isHeld_ = false;
    base::TimePoint sentAt_;
    // The end of every lease that another process can hold.
    base::TimePoint activeFrom_;
};

} // namespace arbutus::placement
