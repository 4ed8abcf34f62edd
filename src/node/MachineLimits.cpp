#include "src/node/MachineLimits.h"

#include <algorithm>
#include <sys/resource.h>

namespace arbutus::node {

// The rest of the memory is for the program itself, for connections, and for what the
// allocator cannot reuse. Small requests may go beyond the share by a quarter of it.
static constexpr double entryMemoryShare = 0.5;
static constexpr double controlMemoryShare = 0.25;
static constexpr double bytesPerMegabyte = 1'000'000;
// Two bodies of the default size limit.
static constexpr std::size_t minCapacity = std::size_t { 8 } << 20;
// Descriptors for listening sockets, files and connections to control VMs.
static constexpr double reservedDescriptors = 32;
static constexpr double reservedDescriptorShare = 1.0 / 16;
// Each running request also takes a descriptor to an upstream, and half as many connections
// to upstreams may be idle.
static constexpr double connectionShare = 0.4;
static constexpr std::size_t minConnections = 16;
static constexpr std::size_t maxProbeConnections = 32;
static constexpr std::size_t probeCapacity = std::size_t { 1 } << 20;

static std::size_t capacityOf(const MachineLimits& limits, double share)
{
    if (!limits.memoryMegabytes)
        return http1::ByteBudget::defaultCapacity;
    return std::max(minCapacity, static_cast<std::size_t>(*limits.memoryMegabytes * bytesPerMegabyte * share));
}

static double descriptorsOf(const MachineLimits& limits)
{
    rlimit ofProcess {};
    if (::getrlimit(RLIMIT_NOFILE, &ofProcess))
        ofProcess.rlim_cur = 1024;
    auto available = static_cast<double>(ofProcess.rlim_cur);
    return std::min(available, limits.descriptors.value_or(available));
}

static std::size_t connectionsOf(const MachineLimits& limits)
{
    auto descriptors = descriptorsOf(limits);
    auto usable = descriptors * (1 - reservedDescriptorShare) - reservedDescriptors;
    return std::max(minConnections, static_cast<std::size_t>(std::max(0.0, usable * connectionShare)));
}

http1::ServerResources entryResources(const MachineLimits& limits) { return { std::make_shared<http1::ByteBudget>(capacityOf(limits, entryMemoryShare)), connectionsOf(limits) }; }

http1::ServerResources controlResources(const MachineLimits& limits) { return { std::make_shared<http1::ByteBudget>(capacityOf(limits, controlMemoryShare)), connectionsOf(limits) }; }

http1::ServerResources probeResources() { return { std::make_shared<http1::ByteBudget>(probeCapacity), maxProbeConnections }; }

} // namespace arbutus::node
