#pragma once

#include "include/consensus/Messages.h"

#include <deque>
#include <map>

namespace arbutus::consensus {

// The entries after a compacted prefix, and the configurations they set. Every
// index that is asked for must lie in the log unless stated otherwise.
class ReplicaLog {
public:
    explicit ReplicaLog(const SnapshotMeta& base) { reset(base); }

    Index compactedIndex() const { return compactedIndex_; }
    Index lastIndex() const { return compactedIndex_ + entries_.size(); }
    Term lastTerm() const { return entries_.empty() ? compactedTerm_ : entries_.back().term; }
    const Entry& at(Index) const;
    // Returns nothing for an index outside the log; the last compacted index has a term.
    std::optional<Term> termAt(Index) const;
    // Returns the last index at or before `index` whose term is at most `term`,
    // or the last compacted index.
    Index lastIndexWithTermAtMost(Index, Term) const;

    // Returns at least one entry from `from` on, if there is one, else as many
    // as stay within `maxBytes` and `maxCount`.
    std::vector<Entry> slice(Index from, std::size_t maxBytes, std::size_t maxCount) const;

    // Takes effect at once: the configuration in force is the last one in the log,
    // committed or not. A configuration entry must be decodable.
    void append(Entry);
    void truncateFrom(Index);
    void compactTo(Index);
    void reset(const SnapshotMeta& base);

    const Configuration& configuration() const { return configurations_.rbegin()->second; }
    Index configurationIndex() const { return configurations_.rbegin()->first; }
    const Configuration& configurationAt(Index) const;
    // Whether `key` is a voter in the configuration at `index` or in any later one.
    bool hasVoterSince(Index, const ReplicaKey& key) const;

private:
    Index compactedIndex_ = 0;
    Term compactedTerm_ = 0;
    std::deque<Entry> entries_;
    // By the index that set it; never empty.
    std::map<Index, Configuration> configurations_;
};

// The size that an entry is counted with in every byte limit.
std::size_t entrySize(const Entry&);

} // namespace arbutus::consensus
