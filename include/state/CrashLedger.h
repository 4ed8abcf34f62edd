#pragma once

#include "include/state/Limits.h"
#include "include/state/Outcome.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace arbutus::state {

class SnapshotReader;
class SnapshotWriter;

// Counts the upstream crashes in which each request was a suspect, and blames the
// requests that were suspects too often.
class CrashLedger {
public:
    // A request is blamed after this many crashes in which it was the only suspect.
    static constexpr std::size_t soleSuspectCrashesToBlame = 2;
    // A request is blamed after this many crashes in total.
    static constexpr std::size_t crashesToBlame = 3;

    explicit CrashLedger(const Limits& limits)
        : limits_(limits)
    {
    }

    // Records a crash. Repeated reports of a stored crash have no effect. If the
    // ledger is full, drops the fingerprint whose last crash is the oldest.
    CrashReply record(const RecordCrash&, base::WallTime now);
    // Withdraws one crash. Refuses with CrashSuspect if the request is already
    // blamed; a blame lasts until it expires.
    Outcome clear(const ClearCrash&);
    // Drops the fingerprints whose last crash is at least as old as the retention.
    // Returns whether any was dropped.
    bool expire(base::WallTime now);

    const std::set<std::string>& blamed() const { return blamed_; }
    std::size_t size() const { return suspects_.size(); }

    void save(SnapshotWriter&) const;
    void load(SnapshotReader&);

private:
    struct Crash {
        std::string upstream;
        std::uint64_t incarnation = 0;
        bool wasSoleSuspect = false;

        MSGPACK_DEFINE(upstream, incarnation, wasSoleSuspect)
    };

    struct Suspect {
        base::WallTime lastCrash;
        std::vector<Crash> crashes;

        MSGPACK_DEFINE(lastCrash, crashes)
    };

    void dropFingerprint(const std::string& fingerprint);
    CrashReply replyFor(const std::string& fingerprint, const Suspect&) const;

    const Limits& limits_;
    std::map<std::string, Suspect> suspects_;
    std::set<std::pair<base::WallTime, std::string>> byLastCrash_;
    std::set<std::string> blamed_;
};

} // namespace arbutus::state
