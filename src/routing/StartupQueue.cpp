#include "include/routing/StartupQueue.h"

#include <algorithm>

namespace arbutus::routing {

// Covers a start of the control VMs a second later, the election of a leader, and
// one report interval in which all upstreams announce themselves.
static constexpr std::chrono::seconds startupPeriod(8);
static constexpr std::chrono::milliseconds maxWait(3000);
// A request may wait for this fraction of its caller's timeout.
static constexpr int callerTimeoutDivisor = 4;
// For requests whose callers do not state a timeout.
static constexpr std::chrono::milliseconds defaultWait(500);
static constexpr std::size_t maxRequests = 512;
static constexpr std::size_t maxBytes = std::size_t { 16 } << 20;

StartupQueue::StartupQueue(base::TimePoint startedAt)
    : startupEnd_(startedAt + startupPeriod)
{
}

std::optional<base::TimePoint> StartupQueue::tryAdmit(base::TimePoint arrivedAt, std::optional<std::chrono::milliseconds> callerTimeout, std::size_t bytes)
{
    if (!isOpen(arrivedAt) || size_ >= maxRequests || bytes_ + bytes > maxBytes)
        return std::nullopt;
    ++size_;
    bytes_ += bytes;
    auto wait = callerTimeout ? std::min(maxWait, *callerTimeout / callerTimeoutDivisor) : defaultWait;
    return std::min(arrivedAt + wait, startupEnd_);
}

void StartupQueue::release(std::size_t bytes)
{
    --size_;
    bytes_ -= bytes;
}

} // namespace arbutus::routing
