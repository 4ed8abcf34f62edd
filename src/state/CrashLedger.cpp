#include "include/state/CrashLedger.h"

#include "src/state/Snapshot.h"

#include <algorithm>
#include <cassert>

namespace arbutus::state {

// An upstream process is identified by its id and incarnation.
template <typename Command>
static auto isSameUpstreamProcess(const Command& command)
{
    return [&command](const auto& crash) { return crash.upstream == command.upstream && crash.incarnation == command.upstreamIncarnation; };
}

CrashReply CrashLedger::record(const RecordCrash& command, base::WallTime now)
{
    if (!suspects_.count(command.fingerprint) && suspects_.size() >= limits_.maxFingerprints) {
        std::string oldest = byLastCrash_.begin()->second;
        dropFingerprint(oldest);
    }
    auto [found, isNew] = suspects_.try_emplace(command.fingerprint);
    Suspect& suspect = found->second;
    bool isKnown = std::any_of(suspect.crashes.begin(), suspect.crashes.end(), isSameUpstreamProcess(command));
    if (isKnown)
        return replyFor(command.fingerprint, suspect);
    if (!isNew)
        byLastCrash_.erase({ suspect.lastCrash, command.fingerprint });
    suspect.lastCrash = now;
    byLastCrash_.emplace(now, command.fingerprint);
    // Further crashes only update the time of the last one.
    if (suspect.crashes.size() < crashesToBlame)
        suspect.crashes.push_back({ command.upstream, command.upstreamIncarnation, command.wasSoleSuspect });
    CrashReply reply = replyFor(command.fingerprint, suspect);
    if (reply.crashCount >= crashesToBlame || reply.soleSuspectCrashCount >= soleSuspectCrashesToBlame) {
        blamed_.insert(command.fingerprint);
        reply.isBlamed = true;
    }
    return reply;
}

CrashReply CrashLedger::replyFor(const std::string& fingerprint, const Suspect& suspect) const
{
    auto soleSuspectCount = std::count_if(suspect.crashes.begin(), suspect.crashes.end(), [](const Crash& crash) { return crash.wasSoleSuspect; });
    return { blamed_.count(fingerprint) != 0, suspect.crashes.size(), static_cast<std::size_t>(soleSuspectCount) };
}

Outcome CrashLedger::clear(const ClearCrash& command)
{
    if (blamed_.count(command.fingerprint))
        return Refusal { base::ErrorKind::CrashSuspect, "the request is already blamed" };
    auto found = suspects_.find(command.fingerprint);
    if (found == suspects_.end())
        return Accepted {};
    auto& crashes = found->second.crashes;
    crashes.erase(std::remove_if(crashes.begin(), crashes.end(), isSameUpstreamProcess(command)), crashes.end());
    if (crashes.empty())
        dropFingerprint(command.fingerprint);
    return Accepted {};
}

bool CrashLedger::expire(base::WallTime now)
{
    std::size_t sizeBefore = suspects_.size();
    while (!byLastCrash_.empty() && byLastCrash_.begin()->first + limits_.crashRetention <= now) {
        std::string oldest = byLastCrash_.begin()->second;
        dropFingerprint(oldest);
    }
    return suspects_.size() != sizeBefore;
}

void CrashLedger::dropFingerprint(const std::string& fingerprint)
{
    auto found = suspects_.find(fingerprint);
    assert(found != suspects_.end());
    byLastCrash_.erase({ found->second.lastCrash, fingerprint });
    blamed_.erase(fingerprint);
    suspects_.erase(found);
}

void CrashLedger::save(SnapshotWriter& writer) const
{
    writer.writeAll(suspects_);
    writer.writeAll(blamed_);
}

void CrashLedger::load(SnapshotReader& reader)
{
    reader.readAll([this, &reader] {
        auto [fingerprint, suspect] = reader.read<std::pair<std::string, Suspect>>();
        byLastCrash_.emplace(suspect.lastCrash, fingerprint);
        suspects_.emplace(std::move(fingerprint), std::move(suspect));
    });
    reader.readAll([this, &reader] { blamed_.insert(reader.read<std::string>()); });
}

} // namespace arbutus::state
