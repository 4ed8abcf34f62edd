#include "include/routing/CrashSuspectTracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace arbutus::routing {

static constexpr int soleSuspectCrashesToBlame = 2;
static constexpr int crashesToBlame = 3;
static constexpr std::size_t tokensToClear = 16;
static constexpr std::chrono::hours retention(1);

CrashSuspectTracker::CrashSuspectTracker(std::size_t maxRecords)
    : maxRecords_(maxRecords)
{
    assert(maxRecords);
}

bool CrashSuspectTracker::isBlamed(const Record& record)
{
    return record.soleSuspectCrashCount >= soleSuspectCrashesToBlame || record.crashCount >= crashesToBlame;
}

void CrashSuspectTracker::endIsolation(Entry& entry)
{
    if (entry.isolation == IsolationState::Waiting)
        waiting_.remove(entry.record.fingerprint);
    else if (entry.isolation == IsolationState::Running)
        --isolatedRunCount_;
    entry.isolation = IsolationState::None;
}

void CrashSuspectTracker::erase(Records::iterator position)
{
    endIsolation(*position);
    index_.erase(position->record.fingerprint);
    records_.erase(position);
}

void CrashSuspectTracker::expire(base::TimePoint now)
{
    while (!records_.empty() && records_.front().record.lastCrashAt + retention <= now)
        erase(records_.begin());
}

// Returns the entry of `fingerprint`, creating it if necessary, and moves it to the
// end of the list.
CrashSuspectTracker::Entry& CrashSuspectTracker::findOrCreate(const std::string& fingerprint)
{
    if (const auto found = index_.find(fingerprint); found != index_.end()) {
        records_.splice(records_.end(), records_, found->second);
        return *found->second;
    }
    if (records_.size() >= maxRecords_) {
        // Evicts records of requests that are not blamed first, because most of these
        // requests are innocent. Never evicts a request that is waiting or running in
        // isolation: its stream depends on the record.
        auto victim = std::find_if(records_.begin(), records_.end(), [](const Entry& entry) { return entry.isolation == IsolationState::None && !isBlamed(entry.record); });
        if (victim == records_.end())
            victim = std::find_if(records_.begin(), records_.end(), [](const Entry& entry) { return entry.isolation == IsolationState::None; });
        if (victim != records_.end())
            erase(victim);
    }
    Entry entry;
    entry.record.fingerprint = fingerprint;
    records_.push_back(std::move(entry));
    index_[fingerprint] = std::prev(records_.end());
    return records_.back();
}

CrashSuspectTracker::CrashOutcome CrashSuspectTracker::engineCrashed(const std::vector<std::string>& running, std::size_t otherStreams, base::TimePoint now)
{
    expire(now);
    auto distinct = running;
    std::sort(distinct.begin(), distinct.end());
    distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
    const bool isSole = distinct.size() == 1 && !otherStreams;

    CrashOutcome outcome;
    for (const auto& fingerprint : distinct) {
        Entry& entry = findOrCreate(fingerprint);
        endIsolation(entry);
        ++entry.record.crashCount;
        entry.record.soleSuspectCrashCount += isSole ? 1 : 0;
        entry.wasLastCrashSole = isSole;
        entry.record.lastCrashAt = now;
        if (isBlamed(entry.record)) {
            outcome.blamed.push_back(fingerprint);
            continue;
        }
        entry.isolation = IsolationState::Waiting;
        waiting_.push_back(fingerprint);
        outcome.suspects.push_back(fingerprint);
    }
    return outcome;
}

// False if one more crash would get the request blamed. Such a crash must not be
// shared with other requests, because the request may be innocent.
bool CrashSuspectTracker::mayShareEngine(const Record& record) { return record.crashCount + 1 < crashesToBlame; }

std::vector<std::vector<std::string>> CrashSuspectTracker::startIsolationGroups(std::size_t emptyEngines)
{
    std::vector<std::vector<std::string>> groups;
    // Groups of sqrt(n) need the fewest runs: as many for the groups as for the
    // members of the group that crashes its engine. Each faulty request costs two
    // engines, the same as if all requests ran alone.
    std::size_t groupSize = 1;
    if (waiting_.size() > emptyEngines)
        groupSize = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(waiting_.size()))));
    while (groups.size() < emptyEngines && !waiting_.empty()) {
        std::vector<std::string> group;
        for (auto position = waiting_.begin(); position != waiting_.end() && group.size() < groupSize;) {
            Entry& entry = *index_.at(*position);
            const bool isShareable = mayShareEngine(entry.record);
            if (!group.empty() && !isShareable) {
                ++position;
                continue;
            }
            entry.isolation = IsolationState::Running;
            ++isolatedRunCount_;
            group.push_back(std::move(*position));
            position = waiting_.erase(position);
            if (!isShareable)
                break;
        }
        groups.push_back(std::move(group));
    }
    return groups;
}

bool CrashSuspectTracker::startIsolatedRun(const std::string& fingerprint)
{
    const auto found = index_.find(fingerprint);
    if (found == index_.end() || found->second->isolation != IsolationState::Waiting)
        return false;
    waiting_.remove(fingerprint);
    found->second->isolation = IsolationState::Running;
    ++isolatedRunCount_;
    return true;
}

void CrashSuspectTracker::tokensProduced(const std::string& fingerprint, std::size_t tokens)
{
    const auto found = index_.find(fingerprint);
    if (found == index_.end() || found->second->isolation != IsolationState::Running || tokens < tokensToClear)
        return;
    clearLastCrash(found->second);
}

void CrashSuspectTracker::clearLastCrash(Records::iterator position)
{
    Entry& entry = *position;
    endIsolation(entry);
    --entry.record.crashCount;
    if (entry.wasLastCrashSole)
        --entry.record.soleSuspectCrashCount;
    entry.wasLastCrashSole = false;
    if (!entry.record.crashCount)
        erase(position);
}

void CrashSuspectTracker::requestCompleted(const std::string& fingerprint)
{
    if (const auto found = index_.find(fingerprint); found != index_.end() && found->second->isolation == IsolationState::Running)
        clearLastCrash(found->second);
}

void CrashSuspectTracker::requestCancelled(const std::string& fingerprint)
{
    if (const auto found = index_.find(fingerprint); found != index_.end())
        endIsolation(*found->second);
}

void CrashSuspectTracker::isolationInterrupted(const std::string& fingerprint)
{
    const auto found = index_.find(fingerprint);
    if (found == index_.end() || found->second->isolation != IsolationState::Running)
        return;
    endIsolation(*found->second);
    found->second->isolation = IsolationState::Waiting;
    waiting_.push_back(fingerprint);
}

base::Result<void> CrashSuspectTracker::checkNotBlamed(const std::string& fingerprint, base::TimePoint now)
{
    expire(now);
    const auto found = index_.find(fingerprint);
    if (found == index_.end() || !isBlamed(found->second->record))
        return base::outcome::success();
    const Record& record = found->second->record;
    return base::makeError(base::ErrorKind::CrashSuspect, "the request was running at " + std::to_string(record.crashCount) + " engine deaths, " + std::to_string(record.soleSuspectCrashCount) + " of them as the only request");
}

bool CrashSuspectTracker::isSuspect(const std::string& fingerprint) const
{
    const auto found = index_.find(fingerprint);
    return found != index_.end() && found->second->isolation != IsolationState::None;
}

void CrashSuspectTracker::merge(const Record& other, base::TimePoint now)
{
    expire(now);
    if (other.lastCrashAt + retention <= now)
        return;
    Entry& entry = findOrCreate(other.fingerprint);
    entry.record.crashCount = std::max(entry.record.crashCount, other.crashCount);
    entry.record.soleSuspectCrashCount = std::max(entry.record.soleSuspectCrashCount, other.soleSuspectCrashCount);
    entry.record.lastCrashAt = std::max(entry.record.lastCrashAt, other.lastCrashAt);
    if (isBlamed(entry.record))
        endIsolation(entry);
    // Expiry requires the list to be ordered by last crash.
    auto position = index_.at(other.fingerprint);
    auto before = position;
    while (before != records_.begin() && std::prev(before)->record.lastCrashAt > entry.record.lastCrashAt)
        --before;
    records_.splice(before, records_, position);
}

CrashSuspectTracker::Record CrashSuspectTracker::record(const std::string& fingerprint) const
{
    const auto found = index_.find(fingerprint);
    return found == index_.end() ? Record { fingerprint, 0, 0, {} } : found->second->record;
}

} // namespace arbutus::routing
