#include "include/transport/Counters.h"

#include "include/base/Logger.h"

namespace arbutus::transport {

static constexpr base::Logger logger("transport");
static constexpr std::chrono::seconds logInterval { 1 };

void TransportCounters::recordDrop(DropReason reason, std::string_view peer, base::TimePoint now)
{
    auto index = static_cast<std::size_t>(reason);
    ++drops_[index];
    std::uint64_t suppressed = 0;
    {
        base::RankedLock lock(mutex_);
        auto& state = logStates_[index];
        if (state.nextLogTime && now < *state.nextLogTime) {
            ++state.suppressed;
            return;
        }
        state.nextLogTime = now + logInterval;
        suppressed = std::exchange(state.suppressed, 0);
    }
    logger.warning("A connection is closed.", { { "reason", dropReasonName(reason) }, { "peer", peer }, { "suppressed", suppressed } });
}

TransportTotals TransportCounters::totals() const
{
    TransportTotals totals;
    totals.framesIn = framesIn;
    totals.framesOut = framesOut;
    totals.bytesIn = bytesIn;
    totals.bytesOut = bytesOut;
    totals.connections = connections;
    totals.queueDrops = queueDrops;
    totals.lateResponses = lateResponses;
    for (std::size_t i = 0; i < dropReasonCount; ++i)
        totals.drops[i] = drops_[i];
    return totals;
}

} // namespace arbutus::transport
