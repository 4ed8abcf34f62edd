#pragma once

#include "include/consensus/Messages.h"

#include <deque>
#include <map>

namespace arbutus::consensus {

// The in-memory log: the entries after the compacted prefix, and the configurations
// that they set. An index passed to a function must lie within the log unless stated
// otherwise.
class ReplicaLog {
public:
    explicit ReplicaLog(const SnapshotMeta& base) { reset(base); }

    Index compactedIndex() const { return compactedIndex_; }
    Index lastIndex() const { return compactedIndex_ + entries_.size(); }
    Term lastTerm() const { return entries_.empty() ? compactedTerm_ : entries_.back().term; }
    const Entry& at(Index) const;
    // Returns nullopt for an index outside the log. The last compacted index counts as
    // inside.
    std::optional<Term> termAt(Index) const;
    // Returns the last index at or before `index` whose term is at most `term`, or the
    // last compacted index if there is none.
    Index lastIndexWithTermAtMost(Index, Term) const;

    // Returns the entries from `from` on that fit within `maxBytes` and `maxCount`. The
    // first entry is returned even if it exceeds `maxBytes`.
    std::vector<Entry> slice(Index from, std::size_t maxBytes, std::size_t maxCount) const;

    // A configuration entry takes effect immediately: the configuration in force is the
    // last one in the log, committed or not. Its data must be decodable.
    void append(Entry);
    void truncateFrom(Index);
    void compactTo(Index);
    // Discards all entries and restarts the log after the given snapshot.
    void reset(const SnapshotMeta& base);

    const Configuration& configuration() const { return configurations_.rbegin()->second; }
    Index configurationIndex() const { return configurations_.rbegin()->first; }
    const Configuration& configurationAt(Index) const;
    // Returns the configurations whose quorums are needed: the newest one and, unless it is
    // known to be committed, as `committedIndex` tells, the one that it replaces.
    std::vector<const Configuration*> configurationsInForce(Index committedIndex) const;
    // Returns whether `key` is a voter in the configuration in force at `index` or in
    // any later one.
    bool hasVoterSince(Index, const ReplicaKey& key) const;

private:
    Index compactedIndex_ = 0;
    Term compactedTerm_ = 0;
    std::deque<Entry> entries_;
    // Keyed by the index of the entry or snapshot that set it; never empty.
    std::map<Index, Configuration> configurations_;
};

// Returns the size of an entry as counted against every byte limit.
std::size_t entrySize(const Entry&);

} // namespace arbutus::consensus
