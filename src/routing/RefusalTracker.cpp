#include "include/routing/RefusalTracker.h"

#include <algorithm>
#include <cmath>

namespace arbutus::routing {

using Seconds = std::chrono::duration<double>;

// The window of the reported counts, see fleet::UpstreamInFlightLoad.
static constexpr std::chrono::milliseconds refusalWindow(500);
static constexpr Seconds levelHalfLife(0.1);
// Below this level an engine counts as accepting. All entry VMs together may then try it
// about 300 times a second, which limits no fleet of today.
static constexpr double minLevel = 0.02;
// How often all entry VMs together try an engine whose level is 1: once in the time that a
// refusal takes to become known to all.
static constexpr double triesPerSecond = 1 / 0.15;

void RefusalTracker::record(const std::string& engine, base::TimePoint now)
{
    removeExpired(now);
    auto& entry = engines_[engine];
    keepLevel(entry, now);
    while (!entry.ownAt.empty() && entry.ownAt.front() + refusalWindow <= now)
        entry.ownAt.pop_front();
    entry.ownAt.push_back(now);
}

void RefusalTracker::setPeers(const std::map<std::string, double>& refusals, base::TimePoint now)
{
    removeExpired(now);
    for (auto& [id, entry] : engines_) {
        keepLevel(entry, now);
        entry.peers = 0;
    }
    for (const auto& [id, count] : refusals) {
        if (!(count > 0))
            continue;
        auto& entry = engines_[id];
        entry.peers = count;
        entry.peersAt = now;
    }
}

double RefusalTracker::ownRecent(const Engine& entry, base::TimePoint now)
{
    return static_cast<double>(std::count_if(entry.ownAt.begin(), entry.ownAt.end(), [now](base::TimePoint at) { return at + refusalWindow > now; }));
}

std::map<std::string, double> RefusalTracker::ownRecent(base::TimePoint now) const
{
    std::map<std::string, double> result;
    for (const auto& [id, entry] : engines_) {
        if (double count = ownRecent(entry, now); count > 0)
            result[id] = count;
    }
    return result;
}

double RefusalTracker::level(const Engine& entry, base::TimePoint now)
{
    // Without newer reports, the reported count expires over its window.
    double peerShare = std::clamp(1 - Seconds(now - entry.peersAt) / Seconds(refusalWindow), 0.0, 1.0);
    double faded = entry.level * std::exp2(-std::max(0.0, Seconds(now - entry.levelAt) / levelHalfLife));
    double result = std::max(ownRecent(entry, now) + entry.peers * peerShare, faded);
    return result < minLevel ? 0 : result;
}

double RefusalTracker::level(const std::string& engine, base::TimePoint now) const
{
    auto found = engines_.find(engine);
    return found == engines_.end() ? 0 : level(found->second, now);
}

void RefusalTracker::keepLevel(Engine& entry, base::TimePoint now)
{
    entry.level = level(entry, now);
    entry.levelAt = now;
}

void RefusalTracker::removeExpired(base::TimePoint now)
{
    for (auto it = engines_.begin(); it != engines_.end();)
        it = level(it->second, now) > 0 ? std::next(it) : engines_.erase(it);
}

double RefusalTracker::tryProbability(const std::string& engine, std::chrono::nanoseconds sinceLastChoice, std::uint32_t entryVmCount, base::TimePoint now) const
{
    double current = level(engine, now);
    if (current <= 0)
        return 1;
    double perSecond = triesPerSecond / current / std::max(1U, entryVmCount);
    return std::min(1.0, perSecond * Seconds(sinceLastChoice).count());
}

} // namespace arbutus::routing
