#include "include/placement/ControllerLease.h"

#include "include/membership/Rendezvous.h"

#include <cassert>

namespace arbutus::placement {

std::string controllerCandidate(const std::vector<std::string>& vms)
{
    static const membership::MemberKey object = membership::memberKey("placement");
    std::string best;
    std::uint64_t bestScore = 0;
    for (const auto& vm : vms) {
        std::uint64_t score = membership::rendezvousScore(membership::RendezvousDomain::Controller, object, membership::memberKey(vm));
        if (best.empty() || score > bestScore || (score == bestScore && vm < best)) {
            best = vm;
            bestScore = score;
        }
    }
    return best;
}

ControllerLease::ControllerLease(const Options& options)
    : options_(options)
{
    assert(options.renewAfter < options.length);
}

bool ControllerLease::needsFencingNumber(base::TimePoint now) const { return !isHeld_ || now >= sentAt_ + options_.renewAfter; }

void ControllerLease::grant(std::uint64_t number, base::TimePoint sentAt, base::TimePoint receivedAt)
{
    assert(sentAt <= receivedAt);
    if (!fencingNumber_ || number != fencingNumber_ + 1) {
        auto wait = std::chrono::duration<double, std::nano>(static_cast<double>(options_.length.count()) * (1 + options_.maxClockDrift));
        activeFrom_ = receivedAt + std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
    }
    fencingNumber_ = number;
    sentAt_ = sentAt;
    isHeld_ = true;
}

void ControllerLease::release() { isHeld_ = false; }

std::optional<std::uint64_t> ControllerLease::fencingNumberAt(base::TimePoint now) const
{
    if (!isHeld_ || now < activeFrom_ || now >= sentAt_ + options_.length)
        return std::nullopt;
    return fencingNumber_;
}

} // namespace arbutus::placement
