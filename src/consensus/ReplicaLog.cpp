#include "include/consensus/ReplicaLog.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace arbutus::consensus {

std::size_t entrySize(const Entry& entry)
{
    // Upper bound for the encoded term, index, kind and length headers.
    constexpr std::size_t headerBytes = 26;
    return entry.data.size() + headerBytes;
}

const Entry& ReplicaLog::at(Index index) const
{
    assert(index > compactedIndex_ && index <= lastIndex());
    return entries_[index - compactedIndex_ - 1];
}

std::optional<Term> ReplicaLog::termAt(Index index) const
{
    if (index == compactedIndex_)
        return compactedTerm_;
    if (index < compactedIndex_ || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

Index ReplicaLog::lastIndexWithTermAtMost(Index index, Term term) const
{
    // Terms never decrease along the log.
    auto isAtMost = [term](const Entry& entry) { return entry.term <= term; };
    auto past = std::partition_point(entries_.begin(), entries_.end(), isAtMost);
    const Index last = compactedIndex_ + static_cast<Index>(std::distance(entries_.begin(), past));
    return std::max(compactedIndex_, std::min(index, last));
}

std::vector<Entry> ReplicaLog::slice(Index from, std::size_t maxBytes, std::size_t maxCount) const
{
    std::vector<Entry> result;
    std::size_t bytes = 0;
    for (Index index = from; index <= lastIndex() && result.size() < maxCount; ++index) {
        bytes += entrySize(at(index));
        if (bytes > maxBytes && !result.empty())
            break;
        result.push_back(at(index));
    }
    return result;
}

void ReplicaLog::append(Entry entry)
{
    assert(entry.index == lastIndex() + 1 && entry.term >= lastTerm());
    if (entry.kind == EntryKind::Configuration) {
        auto configuration = decode<Configuration>(entry.data);
        assert(configuration.has_value());
        configurations_[entry.index] = std::move(configuration).value();
    }
    entries_.push_back(std::move(entry));
}

void ReplicaLog::truncateFrom(Index index)
{
    assert(index > compactedIndex_ && index <= lastIndex());
    entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(index - compactedIndex_ - 1), entries_.end());
    configurations_.erase(configurations_.lower_bound(index), configurations_.end());
}

void ReplicaLog::compactTo(Index index)
{
    if (index <= compactedIndex_)
        return;
    const Term term = at(index).term;
    entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(index - compactedIndex_));
    compactedIndex_ = index;
    compactedTerm_ = term;
    configurations_.erase(configurations_.begin(), std::prev(configurations_.upper_bound(index)));
}

void ReplicaLog::reset(const SnapshotMeta& base)
{
    compactedIndex_ = base.index;
    compactedTerm_ = base.term;
    entries_.clear();
    configurations_ = { { base.index, base.configuration } };
}

const Configuration& ReplicaLog::configurationAt(Index index) const
{
    auto next = configurations_.upper_bound(index);
    assert(next != configurations_.begin());
    return std::prev(next)->second;
}

std::vector<const Configuration*> ReplicaLog::configurationsInForce(Index committedIndex) const
{
    std::vector<const Configuration*> result { &configuration() };
    if (configurationIndex() > committedIndex && configurations_.size() > 1)
        result.push_back(&std::next(configurations_.rbegin())->second);
    return result;
}

bool ReplicaLog::hasVoterSince(Index index, const ReplicaKey& key) const
{
    auto first = std::prev(configurations_.upper_bound(index));
    return std::any_of(first, configurations_.end(), [&key](const auto& item) { return item.second.isVoter(key); });
}

} // namespace arbutus::consensus
