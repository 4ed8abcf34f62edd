#include "include/state/CrashLedger.h"

#include "src/state/Snapshot.h"

#include <algorithm>
#include <cassert>

namespace arbutus::state {

// An upstream process is known by its id and incarnation.
template <typename Command>
static auto isDeathOf(const Command& command)
{
    return [&command](const auto& death) { return death.upstream == command.upstream && death.incarnation == command.upstreamIncarnation; };
}

CrashReply CrashLedger::record(const RecordCrash& command, base::WallTime now)
{
    if (!entries_.count(command.fingerprint) && entries_.size() >= limits_.maxFingerprints) {
        std::string oldest = byLastDeath_.begin()->second;
        forget(oldest);
    }
    auto [found, isNew] = entries_.try_emplace(command.fingerprint);
    Entry& entry = found->second;
    bool isKnown = std::any_of(entry.deaths.begin(), entry.deaths.end(), isDeathOf(command));
    if (isKnown)
        return replyFor(command.fingerprint, entry);
    if (!isNew)
        byLastDeath_.erase({ entry.lastDeath, command.fingerprint });
    entry.lastDeath = now;
    byLastDeath_.emplace(now, command.fingerprint);
    // More deaths than this change nothing but the time of the last one.
    if (entry.deaths.size() < deathsToBlame)
        entry.deaths.push_back({ command.upstream, command.upstreamIncarnation, command.wasAlone });
    CrashReply reply = replyFor(command.fingerprint, entry);
    if (reply.deaths >= deathsToBlame || reply.deathsAlone >= deathsAloneToBlame) {
        blamed_.insert(command.fingerprint);
        reply.isBlamed = true;
    }
    return reply;
}

CrashReply CrashLedger::replyFor(const std::string& fingerprint, const Entry& entry) const
{
    auto alone = std::count_if(entry.deaths.begin(), entry.deaths.end(), [](const Death& death) { return death.wasAlone; });
    return { blamed_.count(fingerprint) != 0, entry.deaths.size(), static_cast<std::size_t>(alone) };
}

Outcome CrashLedger::clear(const ClearCrash& command)
{
    if (blamed_.count(command.fingerprint))
        return Refusal { base::ErrorKind::CrashSuspect, "the request is already blamed" };
    auto found = entries_.find(command.fingerprint);
    if (found == entries_.end())
        return Accepted {};
    auto& deaths = found->second.deaths;
    deaths.erase(std::remove_if(deaths.begin(), deaths.end(), isDeathOf(command)), deaths.end());
    if (deaths.empty())
        forget(command.fingerprint);
    return Accepted {};
}

bool CrashLedger::expire(base::WallTime now)
{
    std::size_t sizeBefore = entries_.size();
    while (!byLastDeath_.empty() && byLastDeath_.begin()->first + limits_.crashRetention <= now) {
        std::string oldest = byLastDeath_.begin()->second;
        forget(oldest);
    }
    return entries_.size() != sizeBefore;
}

void CrashLedger::forget(const std::string& fingerprint)
{
    auto found = entries_.find(fingerprint);
    assert(found != entries_.end());
    byLastDeath_.erase({ found->second.lastDeath, fingerprint });
    blamed_.erase(fingerprint);
    entries_.erase(found);
}

void CrashLedger::save(SnapshotWriter& writer) const
{
    writer.writeAll(entries_);
    writer.writeAll(blamed_);
}

void CrashLedger::load(SnapshotReader& reader)
{
    reader.readAll([this, &reader] {
        auto [fingerprint, entry] = reader.read<std::pair<std::string, Entry>>();
        byLastDeath_.emplace(entry.lastDeath, fingerprint);
        entries_.emplace(std::move(fingerprint), std::move(entry));
    });
    reader.readAll([this, &reader] { blamed_.insert(reader.read<std::string>()); });
}

} // namespace arbutus::state
