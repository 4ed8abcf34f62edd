#include "include/fleet/SilenceWatch.h"

namespace arbutus::fleet {

// Reports that may be missed before an upstream counts as silent.
static constexpr int missedReports = 3;
// Longer pauses mean that the process stood still.
static constexpr std::chrono::milliseconds standstill(900);
static constexpr std::chrono::milliseconds lapseInterval(300);
// A control VM that is not heard from for so long does not watch its upstreams any more.
static constexpr std::chrono::seconds registrarLifetime(5);
static constexpr std::chrono::minutes goneLifetime(2);

SilenceWatch::SilenceWatch(std::string self, std::chrono::milliseconds reportInterval)
    : self_(std::move(self))
    , silence_(reportInterval * missedReports)
{
}

void SilenceWatch::tick(UpstreamRegistry& registry, bool hasLeader, const HasHeardFrom& hasHeardFrom, base::TimePoint now)
{
    bool didStandStill = lastTickAt_ && now > *lastTickAt_ + standstill;
    lastTickAt_ = now;
    if (didStandStill || !hasLeader) {
        registry.restartPeriods(now);
        return;
    }
    if (now < lapseAt_)
        return;
    lapseAt_ = now + lapseInterval;
    auto isAuthority = [&](const UpstreamFact& fact) {
        if (fact.registrar == self_)
            return true;
        auto ip = net::parseIp(fact.registrar);
        return !ip || !hasHeardFrom(ip.value(), now - registrarLifetime);
    };
    registry.lapse(now - silence_, isAuthority, now);
    registry.forget(now - goneLifetime);
}

} // namespace arbutus::fleet
