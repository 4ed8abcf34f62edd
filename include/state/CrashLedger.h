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

// Counts the upstream deaths at which each request was present.
class CrashLedger {
public:
    // A request is blamed at this many deaths as the only suspect,
    static constexpr std::size_t soleSuspectCrashesToBlame = 2;
    // or at this many in all.
    static constexpr std::size_t crashesToBlame = 3;

    explicit CrashLedger(const Limits& limits)
        : limits_(limits)
    {
    }

    // When the ledger is full, the fingerprint with the oldest death is dropped.
    CrashReply record(const RecordCrash&, base::WallTime now);
    // Withdraws one death. A blame stands until it expires.
    Outcome clear(const ClearCrash&);
    // Drops the fingerprints whose last death is older than the retention.
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
