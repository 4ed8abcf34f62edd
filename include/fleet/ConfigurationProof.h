#pragma once

#include "include/base/Time.h"
#include "include/fleet/FleetMessages.h"

#include <map>
#include <optional>

namespace arbutus::fleet {

// Derives from the reports of control VMs up to when a version of the route configuration is
// proved to have been the newest one. No clock of its own, no network.
//
// Two things prove that no later version was committed before a moment: a control VM whose state
// was current then, or reports of a majority of the voters, with their disks, that none of them
// had stored a later one. The latter needs no leader. Not thread-safe.
class ConfigurationProof {
public:
    // Versions that were replaced longer ago than `lifetime` are forgotten.
    explicit ConfigurationProof(std::chrono::milliseconds lifetime)
        : lifetime_(lifetime)
    {
    }

    // Records what the control VM at `ip` answered to a poll that was sent at `polledAt`.
    void record(std::uint32_t ip, VersionReport, base::TimePoint polledAt);
    // Returns the latest moment up to which no version above this one had been committed;
    // nullopt if nothing proves that.
    std::optional<base::TimePoint> provenAt(std::uint64_t version) const;

private:
    struct Reported {
        VersionReport report;
        base::TimePoint polledAt;
    };
    // A version and a moment before which nothing later was committed.
    struct Proof {
        std::uint64_t version = 0;
        base::TimePoint provenAt;
    };

    // Returns the proof by the newest reports of a majority of each set of voters in force.
    std::optional<Proof> proveByVoters() const;
    // Returns the proof by the newest reports of a majority of one set.
    std::optional<Proof> proveByMajority(const std::vector<ReportedVoter>&) const;
    void keep(const Proof&);

    const std::chrono::milliseconds lifetime_;
    std::map<std::uint32_t, Reported> reported_;
    // The latest moment for each version.
    std::map<std::uint64_t, base::TimePoint> provenAt_;
};

} // namespace arbutus::fleet
