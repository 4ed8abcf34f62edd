#pragma once

#include "include/base/Error.h"
#include "include/base/Time.h"

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::routing {

// Identifies requests that crash the engines they run on. Every request on an
// engine that crashed becomes a suspect. Suspects resume in isolation, on engines
// without other streams, and are cleared once they have produced enough tokens
// there. While suspects outnumber the empty engines, suspects of one crash share
// an engine in small groups; a suspect of two crashes always runs alone.
// docs/routing.md compares this with the alternatives.
class CrashSuspectTracker {
public:
    // Engine crashes of one request, identified by a fingerprint of team, model and
    // body. The replicated state stores the same counts.
    struct Record {
        std::string fingerprint;
        int crashCount = 0;
        // Crashes in which this was the only request on the engine.
        int soleSuspectCrashCount = 0;
        base::TimePoint lastCrashAt;
    };

    struct CrashOutcome {
        // Must not be resumed. The error to the caller must state that the request ran.
        std::vector<std::string> blamed;
        // Wait for an isolated run, see startIsolationGroups.
        std::vector<std::string> suspects;
    };

    // `maxRecords` bounds the number of records. Requests that wait for isolation or
    // run in isolation are kept beyond it; the running requests of this VM bound these.
    explicit CrashSuspectTracker(std::size_t maxRecords);

    // Call when an engine crashed while it ran the requests `running` of this VM and
    // `otherStreams` streams of other VMs. A fingerprint may occur more than once.
    CrashOutcome engineCrashed(const std::vector<std::string>& running, std::size_t otherStreams, base::TimePoint now);

    // Starts isolated runs of waiting suspects, longest wait first. Returns at most
    // `emptyEngines` groups; resume each group on one engine without other streams.
    std::vector<std::vector<std::string>> startIsolationGroups(std::size_t emptyEngines);
    // Starts the isolated run of one suspect. Returns false if it is not waiting.
    bool startIsolatedRun(const std::string& fingerprint);
    // True while a suspect waits and none runs in isolation. If no engine is empty,
    // the caller must then empty one by moving its streams.
    bool needsEmptyEngine() const { return !waiting_.empty() && !isolatedRunCount_; }

    // `tokens` is the number produced since the request was resumed. Once there are
    // enough, clears the request of its last crash and ends its isolated run.
    void tokensProduced(const std::string& fingerprint, std::size_t tokens);
    // Call when the answer is complete. Clears the request of its last crash if it
    // ran in isolation.
    void requestCompleted(const std::string& fingerprint);
    // Call when the caller disconnected or the request ended for a reason other than
    // an engine crash.
    void requestCancelled(const std::string& fingerprint);
    // Call when an isolated run ended without an engine crash, for example by a
    // stall. The request waits for another run.
    void isolationInterrupted(const std::string& fingerprint);

    // Fails with CrashSuspect if the request is blamed. Call before admission.
    base::Result<void> checkNotBlamed(const std::string& fingerprint, base::TimePoint now);
    bool isSuspect(const std::string& fingerprint) const;

    // Raises the counts to those of the replicated state where these are higher.
    void merge(const Record&, base::TimePoint now);
    // Returns a record with 0 crashes for an unknown fingerprint.
    Record record(const std::string& fingerprint) const;
    std::size_t recordCount() const { return records_.size(); }

private:
    enum class IsolationState {
        None,
        Waiting,
        Running,
    };
    struct Entry {
        Record record;
        IsolationState isolation = IsolationState::None;
        bool wasLastCrashSole = false;
    };
    using Records = std::list<Entry>;

    static bool isBlamed(const Record&);
    static bool mayShareEngine(const Record&);
    Entry& findOrCreate(const std::string& fingerprint);
    void endIsolation(Entry&);
    void clearLastCrash(Records::iterator);
    void erase(Records::iterator);
    void expire(base::TimePoint now);

    std::size_t maxRecords_;
    // Ordered by last crash, oldest first.
    Records records_;
    std::unordered_map<std::string, Records::iterator> index_;
    std::list<std::string> waiting_;
    std::size_t isolatedRunCount_ = 0;
};

} // namespace arbutus::routing
