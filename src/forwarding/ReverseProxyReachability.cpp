#include "include/base/Logger.h"
#include "include/forwarding/ReverseProxy.h"
#include "src/forwarding/Exchange.h"
#include "src/forwarding/ReachabilityProbe.h"

#include <algorithm>
#include <iterator>

namespace arbutus::forwarding {

static constexpr base::Logger logger("gate");

// Upstreams that work seldom leave a VM without any byte for so long.
static constexpr std::chrono::milliseconds suspiciousSilence(300);
static constexpr std::chrono::milliseconds probeTimeout(400);

void ReverseProxy::upstreamMissed(const std::string& upstream, base::TimePoint now)
{
    if (reachability_.upstreamMissed(upstream, knownUpstreams_.size(), now) != routing::UpstreamReachability::Change::CutOff)
        return;
    auto since = std::chrono::duration_cast<std::chrono::milliseconds>(now - *reachability_.cutOffSince());
    logger.warning("This VM has lost its paths to all upstreams.", { { "missed", reachability_.missedCount() }, { "known_upstreams", knownUpstreams_.size() }, { "since_first_miss_ms", since.count() }, { "requests", runningCount_ } });
}

void ReverseProxy::upstreamConnected(base::TimePoint now)
{
    reachability_.upstreamConnected();
    upstreamReached(now);
}

void ReverseProxy::upstreamReached(base::TimePoint now)
{
    lastReachedAt_ = now;
    auto since = reachability_.cutOffSince();
    if (reachability_.upstreamReached() == routing::UpstreamReachability::Change::Reached)
        logger.info("This VM reaches upstreams again.", { { "cut_off_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - *since).count() }, { "requests", runningCount_ }, { "handovers_in_total", counters_.handovers } });
}

bool ReverseProxy::isWaitingInSilence(base::TimePoint now) const
{
    if (now < lastReachedAt_ + suspiciousSilence)
        return false;
    return std::any_of(exchanges_.begin(), exchanges_.end(), [now](const auto& exchange) { return exchange->isWaitingForUpstreamSince(now - suspiciousSilence); });
}

void ReverseProxy::probeUpstreams(base::TimePoint now)
{
    for (auto& probe : probes_)
        probe->checkTimeout(now);
    probes_.remove_if([](const auto& probe) { return probe->isDone(); });
    bool isCutOff = reachability_.isCutOff();
    if (knownUpstreams_.empty() || (!isCutOff && !isWaitingInSilence(now)) || !reachability_.takeProbe(now))
        return;
    // Several misses are needed to tell that this VM is cut off, one success that it is not.
    for (std::size_t count = isCutOff ? 1 : routing::UpstreamReachability::minMissedUpstreams; count; --count) {
        auto chosen = std::next(knownUpstreams_.begin(), static_cast<std::ptrdiff_t>(random_.below(knownUpstreams_.size())));
        probes_.push_back(std::make_unique<ReachabilityProbe>(context_, chosen->first, chosen->second.endpoint(), now + probeTimeout, [this](const std::string& upstream, bool isReached) {
            if (isReached)
                upstreamConnected(std::chrono::steady_clock::now());
            else
                upstreamMissed(upstream, std::chrono::steady_clock::now());
        }));
    }
}

} // namespace arbutus::forwarding
