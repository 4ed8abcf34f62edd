#pragma once

#include "include/base/Time.h"
#include "include/fleet/UpstreamRecord.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::fleet {

// Names a process of an upstream in the replicated set of those that have left. At most 64
// bytes, whatever the id.
std::string departureName(const UpstreamProcess&);

// The departures that the control VMs have committed: processes of upstreams that have said
// that they leave. A heartbeat of such a process, which may arrive late, never makes it ready
// again, also after a restart of all VMs.
class DepartureTable {
public:
    using Names = std::set<std::string>;

    // Far longer than a heartbeat may be late.
    static constexpr std::chrono::minutes retention { 2 };

    // Replaces the set by the one that is committed now.
    void setNames(std::shared_ptr<const Names> names) { names_ = std::move(names); }
    bool contains(const UpstreamProcess& process) const { return !names_->empty() && names_->count(departureName(process)); }

    // Returns the latest start of the upstream whose departure is committed, in Unix
    // milliseconds; nullopt if there is none.
    std::optional<std::int64_t> latestStart(const std::string& id) const;

    // Returns some departures that this VM has known for longer than the retention, to be
    // forgotten. Call about once a second on the leader only, so that a new leader grants
    // them the full time again.
    std::vector<std::string> takeExpired(base::TimePoint now);
    // Starts their time anew.
    void beginLeadership() { knownSince_.clear(); }

private:
    std::shared_ptr<const Names> names_ = std::make_shared<const Names>();
    std::map<std::string, base::TimePoint> knownSince_;
};

} // namespace arbutus::fleet
