#pragma once

#include "include/base/Time.h"
#include "include/fleet/FleetMessages.h"

#include <map>
#include <string>
#include <vector>

namespace arbutus::fleet {

// The in-flight load of every entry VM of the deployment, and its sum by upstream. Each
// entry VM has one row, the newest report known, whether it reported to this control VM or
// to another one; so nothing counts twice. The sum is kept up to date, so that an answer
// costs the same for any number of entry VMs.
class PeerLoadTable {
public:
    // Further entry VMs are ignored.
    static constexpr std::size_t maxEntryVms = 4096;

    struct Row {
        // The control VM that the entry VM has reported to, by IP address; 0 for this one.
        std::uint32_t owner = 0;
        std::uint32_t incarnation = 0;
        std::uint64_t revision = 0;
        // Sorted by upstream, each at most once and not empty.
        std::vector<UpstreamInFlightLoad> load;
    };

    // Call for each poll of an entry VM.
    void recordPoll(const std::string& entryVm, base::TimePoint now);
    // Replaces what is known of the entry VM by its whole load, unless a newer report is
    // known.
    void record(EntryVmLoad);
    // Forgets the load that the entry VM has reported to this control VM.
    void release(const std::string& entryVm) { release(0, entryVm); }
    // Forgets entry VMs that have not polled since `before`.
    void expire(base::TimePoint before);

    // Merges what another control VM tells. Returns false if the load is a change of a report
    // that is not known.
    bool merge(std::uint32_t owner, EntryVmLoad);
    void release(std::uint32_t owner, const std::string& entryVm);
    // Forgets all that the control VM has told.
    void releaseAll(std::uint32_t owner);

    const std::map<std::string, Row>& rows() const { return rows_; }
    // The number of entry VMs that poll this control VM.
    std::size_t entryVmCount() const { return polledAt_.size(); }
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

    void add(const std::vector<UpstreamInFlightLoad>&);
    void subtract(const std::vector<UpstreamInFlightLoad>&);
    // Replaces the row of an entry VM.
    void replace(const std::string& entryVm, Row);

    std::map<std::string, base::TimePoint> polledAt_;
    std::map<std::string, Row> rows_;
    std::map<std::string, Sum> sums_;
};

// Returns what changes `from` into `to`; upstreams that are only in `from` are empty in it.
// All are sorted by upstream.
std::vector<UpstreamInFlightLoad> loadChanges(const std::vector<UpstreamInFlightLoad>& from, const std::vector<UpstreamInFlightLoad>& to);

} // namespace arbutus::fleet
