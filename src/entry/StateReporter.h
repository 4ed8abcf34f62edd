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

// Commits what this process has to report, in order and without blocking the thread
// that reports it: crashes, refusals, entry VMs that are out. Reports that cannot be
// committed wait, up to a bound, until a quorum answers. Safe to use from
// several threads.
class StateReporter {
public:
    StateReporter(const base::Clock&, StateClient&, std::string vm);
    // Tries to commit what is left for at most one more second.
    ~StateReporter();

    void report(state::CommandBody);
    // Counts a refusal of a model request; counts are committed every 10 s.
    void countRefusal(const std::string& team, base::ErrorKind);

    std::size_t pendingReportCount() const;
    std::uint64_t droppedCount() const;

private:
    void run();
    void enqueueRefusalCounts();
    // Returns whether the report needs no further attempt.
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
