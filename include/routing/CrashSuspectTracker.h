#pragma once

#include "include/base/Error.h"
#include "include/base/Time.h"

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace arbutus::routing {

// Finds the request that crashes the engines which run it. All requests on an
// engine that died are suspects; they resume in turns on engines without other
// streams and are cleared by the tokens they produce there. While there are more
// suspects than engines, those of one death share an engine in small groups; a
// suspect of two deaths always runs alone. docs/routing.md compares this with
// the alternatives.
class CrashSuspectTracker {
public:
    // A request's fingerprint (team, model, body) and its deaths, as kept in the
    // replicated state.
    struct Record {
        std::string fingerprint;
        int deaths = 0;
        // Deaths at which it was the only request on the engine.
        int soleDeaths = 0;
        base::TimePoint lastDeathAt;
    };

    struct DeathOutcome {
        // Must not be resumed; its caller is told that the request ran.
        std::vector<std::string> blamed;
        // Wait for their turn, see takeTurns.
        std::vector<std::string> suspects;
    };

    // `maxRecords` bounds the records; requests in a turn are kept above it, and
    // the running requests of this VM bound these.
    explicit CrashSuspectTracker(std::size_t maxRecords);

    // An engine died while it ran the requests `running` of this VM and
    // `otherStreams` streams of other VMs. A fingerprint may occur twice.
    DeathOutcome engineDied(const std::vector<std::string>& running, std::size_t otherStreams, base::TimePoint now);

    // Returns at most `emptyEngines` groups of suspects to be resumed now, each
    // group on one engine without other streams, those that have waited longest first.
    std::vector<std::vector<std::string>> startIsolationGroups(std::size_t emptyEngines);
    // Starts the turn of one waiting suspect. Returns false when it does not wait.
    bool startIsolatedRun(const std::string& fingerprint);
    // True while a suspect waits and none runs. Without an empty engine, the
    // caller then moves the streams of one engine elsewhere to make it empty.
    bool needsEmptyEngine() const { return !waiting_.empty() && !isolatedRunCount_; }

    // `tokens` counts those produced since the request was resumed. Clears it of
    // its last death, and ends its turn, when there are enough.
    void tokensProduced(const std::string& fingerprint, std::size_t tokens);
    // The answer is complete; clears the request of its last death when it had its turn.
    void requestCompleted(const std::string& fingerprint);
    // The caller left, or the request ended for a reason other than an engine death.
    void requestCancelled(const std::string& fingerprint);
    // The attempt ended without an engine death, for instance by a stall; the
    // request waits for another turn.
    void isolationInterrupted(const std::string& fingerprint);

    // Fails with CrashSuspect when the request is blamed. Call before admission.
    base::Result<void> checkNotBlamed(const std::string& fingerprint, base::TimePoint now);
    bool isSuspect(const std::string& fingerprint) const;

    // Adopts the counts of the replicated state where they are higher.
    void merge(const Record&, base::TimePoint now);
    // Returns nothing known as a record with 0 deaths.
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
        bool wasLastDeathSole = false;
    };
    using Records = std::list<Entry>;

    static bool isBlamed(const Record&);
    static bool mayShareEngine(const Record&);
    Entry& findOrCreate(const std::string& fingerprint);
    void endIsolation(Entry&);
    void clearLastDeath(Records::iterator);
    void erase(Records::iterator);
    void expire(base::TimePoint now);

    std::size_t maxRecords_;
    // Oldest last death first.
    Records records_;
    std::unordered_map<std::string, Records::iterator> index_;
    std::list<std::string> waiting_;
    std::size_t isolatedRunCount_ = 0;
};

} // namespace arbutus::routing
