#pragma once

#include "include/base/Clock.h"
#include "include/state/Commands.h"
#include "src/entry/StateClient.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace arbutus::entry {

// Commits reports to the state from a background thread, in order: crashes,
// refusals, entry VMs that are out. Reports that cannot be committed stay in a bounded
// queue and are retried until a quorum answers. Thread-safe.
class StateReporter {
public:
    StateReporter(const base::Clock&, StateClient&, std::string vm);
    // Flushes pending reports; starts no further commit after one second.
    ~StateReporter();

    // Enqueues a report without blocking. Drops it if the queue is full.
    void report(state::CommandBody);
    // Counts a refused request. Counts are committed every 10 s.
    void countRefusal(const std::string& team, base::ErrorKind);

    std::size_t pendingReportCount() const;
    std::uint64_t droppedCount() const;

private:
    void run();
    void enqueueRefusalCounts();
    // Returns true if the report is committed or permanently refused, and false if it
    // should be retried.
    bool commit(const state::CommandBody&);

    const base::Clock& clock_;
    StateClient& client_;
    const std::string vm_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<state::CommandBody> reports_;
    std::map<std::pair<std::string, std::uint32_t>, std::uint64_t> refusals_;
    base::WallTime refusalPeriodStart_;
    base::TimePoint nextRefusalFlushAt_;
    std::uint64_t droppedCount_ = 0;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace arbutus::entry
