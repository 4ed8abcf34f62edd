#pragma once

#include "include/base/Time.h"
#include "include/fleet/FleetMessages.h"

#include <map>
#include <string>
#include <vector>

namespace arbutus::fleet {

// The in-flight load that each entry VM reported last, and its sum by upstream. The sum
// is kept up to date, so that an answer costs the same for any number of entry VMs.
class PeerLoadTable {
public:
    // Replaces what the entry VM reported before.
    void record(const std::string& entryVm, std::vector<UpstreamInFlightLoad> load, base::TimePoint now);
    // Forgets entry VMs that have not reported since `before`.
    void expire(base::TimePoint before);

    std::size_t entryVmCount() const { return entryVms_.size(); }
    // Returns the sum over all entry VMs except `entryVm`. Upstreams without load are left
    // out.
    std::vector<UpstreamInFlightLoad> loadExcluding(const std::string& entryVm) const;

private:
    struct Sum {
        UpstreamInFlightLoad load;
        // How many reports are included; without any, the sum is dropped together with
        // what rounding has left in it.
        std::uint32_t reports = 0;

        void add(const UpstreamInFlightLoad&);
        void subtract(const UpstreamInFlightLoad&);
    };
    struct EntryVm {
        base::TimePoint lastHeardAt;
        std::vector<UpstreamInFlightLoad> load;
    };

    void subtract(const std::vector<UpstreamInFlightLoad>&);

    std::map<std::string, EntryVm> entryVms_;
    std::map<std::string, Sum> sums_;
};

} // namespace arbutus::fleet
