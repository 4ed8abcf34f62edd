#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace arbutus::fleet {

// The number of requests a second that an upstream has named as its limit, from all entry
// VMs together, and the permits to send these requests.
struct RequestLimitReport {
    std::string upstream;
    double perSecond = 0;
    // The upstream has answered without a limit since.
    bool isLifted = false;
    // Since the answer that showed this, when the report was sent.
    std::uint32_t ageMilliseconds = 0;
    // From an entry VM: how many more requests it wants to send. To an entry VM: how many
    // it may send.
    std::uint32_t permits = 0;
    // From an entry VM: how many of its permits have expired unused since its last report.
    std::uint32_t unused = 0;
    MSGPACK_DEFINE(upstream, perSecond, isLifted, ageMilliseconds, permits, unused)
};

using RequestLimitReports = std::vector<RequestLimitReport>;

} // namespace arbutus::fleet
