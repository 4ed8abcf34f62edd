#pragma once

#include "include/base/Time.h"
#include "include/fleet/ServiceDemand.h"

#include <map>
#include <tuple>

namespace arbutus::fleet {

// The demand that each entry VM reported last, and its sum by service, data centre and
// priority. The sum is kept up to date, so that an answer costs the same for any number of
// entry VMs.
class DemandTable {
public:
    // More rows of one report are ignored.
    static constexpr std::size_t maxRowsPerEntryVm = 256;

    // Replaces what the entry VM reported before. Rows with a rate that is negative or not
    // finite are ignored.
    void record(const std::string& entryVm, const ServiceDemands&, base::TimePoint now);
    // Forgets an entry VM, which reports to another control VM.
    void release(const std::string& entryVm);
    // Forgets entry VMs that have not reported since `before`.
    void expire(base::TimePoint before);

    // Returns the sums over all entry VMs, the one that polls included, so that all entry VMs
    // decide from the same numbers.
    ServiceDemands sums() const;

private:
    using Key = std::tuple<std::string, std::string, int>;
    struct Sum {
        ServiceDemand demand;
        // How many rows are included; without any, the sum is dropped together with what
        // rounding has left in it.
        std::uint32_t rows = 0;
    };
    struct EntryVm {
        base::TimePoint lastHeardAt;
        ServiceDemands demand;
    };

    void add(const ServiceDemand&);
    void subtract(const ServiceDemands&);

    std::map<std::string, EntryVm> entryVms_;
    std::map<Key, Sum> sums_;
};

} // namespace arbutus::fleet
