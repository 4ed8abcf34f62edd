#pragma once

#include "include/base/Time.h"
#include "include/fleet/DepartureTable.h"
#include "include/fleet/UnnamedUpstreams.h"
#include "include/fleet/UpstreamRecord.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::fleet {

// Stores the latest record of every upstream. Records of one upstream are ordered by
// start time and sequence numbers, so merging is idempotent and late heartbeats are
// harmless. A leave or a departure is final for its process, whatever sequence number came
// with it: heartbeats without changes are not passed on, so VMs hold different numbers.
// An address belongs to the upstream at it that started last, among those of services that the
// configuration names. What it displaces returns if it goes on sending heartbeats and the other
// one does not.
// Every accepted change gets a new revision, so that pollers can request only later
// changes.
class UpstreamRegistry {
public:
    // Absent upstreams are forgotten after this time. Far longer than a heartbeat may be
    // late.
    static constexpr std::chrono::minutes absentRetention { 2 };

    // Sets the services that the configuration in force names. Records of others are kept apart
    // until a configuration names them. Before the first call, all count as named.
    void setServices(std::set<std::string>, base::TimePoint now);
    // Sets the departures that are committed. Upstreams that have left are marked as leaving,
    // and later records of them as well.
    void setDepartures(std::shared_ptr<const DepartureTable::Names>, base::TimePoint now);
    DepartureTable& departures() { return departures_; }
    const DepartureTable& departures() const { return departures_; }

    // Merges a record, which may be outdated or a duplicate. Returns whether a change must be
    // published.
    bool apply(UpstreamRecord, base::TimePoint now);

    // Applies a heartbeat that `registrar` received from the upstream. Keeps the
    // slowdown factor that was measured for this incarnation. Returns whether a change must
    // be published.
    bool applyHeartbeat(UpstreamRecord, const std::string& registrar, base::TimePoint now);
    // Applies the answer of an engine to a status request. Ignores a small change of the
    // slowdown factor and answers for another incarnation. Returns whether a change must be
    // published.
    bool applyStatus(const std::string& id, std::int64_t startedAtMilliseconds, double slowdownFactor, const LayerRange&, base::TimePoint now);
    // Records that a process of an upstream has announced its leave to another VM. Does
    // nothing if another process of the upstream is known. Returns whether that is news,
    // which must be published.
    bool markLeaving(const UpstreamProcess&, base::TimePoint now);
    // Records that a process of an upstream is gone, as another VM knows. Does nothing if
    // this process is unknown. Returns whether that is news, which must be published.
    bool markGone(const UpstreamProcess&, base::TimePoint now);
    // Whether this process of the upstream is known to be gone.
    bool isGone(const UpstreamProcess&) const;
    // Returns all processes in the registry, present or not.
    std::vector<UpstreamProcess> processes() const;
    // Records that another VM knows this process. A departure that states no start means the
    // latest process that is known.
    void learnProcess(const UpstreamProcess&);
    void forgetLearnedProcesses() { learnedStarts_.clear(); }
    // Returns the latest start of the upstream that is known, in Unix milliseconds, or 0.
    std::int64_t latestStart(const std::string& id) const;
    // Returns the start of the process that a departure means which states none, in Unix
    // milliseconds: the latest that is known, or 0. Returns nullopt if that one has not announced
    // its leave but an earlier one has: the departure may have been held up since.
    std::optional<std::int64_t> departingStart(const std::string& id) const;
    // Marks an upstream as gone. An unknown upstream is stored as gone, so that a late
    // heartbeat does not restore it. Does nothing if a newer incarnation is known.
    // `startedAtMilliseconds` is 0 if unknown.
    void deregister(const std::string& id, std::int64_t startedAtMilliseconds, const std::string& registrar, base::TimePoint now);

    // Marks the upstreams that `isAuthority` accepts as unresponsive if they were last heard
    // from before `before`.
    void markUnresponsive(base::TimePoint before, const std::function<bool(const UpstreamRecord&)>& isAuthority, base::TimePoint now);
    // Restarts the heartbeat timeout of every upstream. Used after this process stalled or
    // had no leader.
    void restartTimeouts(base::TimePoint now);
    // Removes upstreams that became gone or unresponsive before `before`.
    void purge(base::TimePoint before);

    std::uint64_t revision() const { return revision_; }
    // Returns all records whose last change has a revision above `revision`.
    std::vector<UpstreamRecord> changesSince(std::uint64_t revision) const;
    // Returns null if the upstream is unknown.
    const UpstreamRecord* find(const std::string& id) const;
    // Returns the data centre of the present upstream at an address, or an empty string if
    // there is none. Takes time in proportion to the number of upstreams.
    std::string dataCentreAt(const net::Endpoint&) const;
    // Returns all records, ordered by id.
    std::vector<const UpstreamRecord*> all() const;

private:
    struct TrackedUpstream {
        UpstreamRecord record;
        std::uint64_t revision = 0;
        base::TimePoint lastHeardAt;
        base::TimePoint changedAt;
        // The later heartbeats that have arrived since another upstream displaced this one.
        int laterHeartbeats = 0;
    };

    bool isNamed(const UpstreamRecord& record) const { return !services_ || services_->count(record.service); }
    // Handles a record that names no service in force. Returns whether a change must be published.
    bool applyUnnamed(UpstreamRecord, base::TimePoint now);
    bool isSuperseded(const UpstreamRecord&) const;
    // Merges a record of a service in force.
    bool applyNamed(UpstreamRecord, base::TimePoint now);
    // Lets those return of which another VM has told that they live on, and whose address is free
    // here by now.
    void restoreReturning(base::TimePoint now);
    void supersedeOthers(const UpstreamRecord&, base::TimePoint now);
    void store(const UpstreamRecord&, base::TimePoint now);
    bool republish(TrackedUpstream&, const UpstreamRecord& older, base::TimePoint now);

    std::map<std::string, TrackedUpstream> upstreams_;
    UnnamedUpstreams unnamed_;
    std::optional<std::set<std::string>> services_;
    // Records of returned upstreams whose address another one still has here, by id.
    std::map<std::string, UpstreamRecord> returning_;
    // The starts told by other VMs; see learnProcess().
    std::map<std::string, std::int64_t> learnedStarts_;
    DepartureTable departures_;
    std::uint64_t revision_ = 0;
};

} // namespace arbutus::fleet
