#pragma once

#include "include/base/Error.h"
#include "include/fleet/UpstreamRecord.h"
#include "include/placement/LayerController.h"
#include "include/routes/RouteConfiguration.h"

#include <set>
#include <string>
#include <string_view>

namespace arbutus::node {

// The status that an engine reports when it is polled.
struct EngineStatus {
    // Step time relative to the nominal time of the accelerator. Above 1, the engine is
    // slower than nominal.
    double slowdownFactor = 1;
    fleet::LayerRange layers;
};

// Encodes and decodes the messages of control VMs whose format differs between
// platforms.
class PlatformCodec {
public:
    virtual ~PlatformCodec() = default;

    base::Result<routes::RouteConfiguration> decodeRoutes(std::string_view document) const { return onDecodeRoutes(document); }
    // Returns the names of the services of a route configuration. Takes less than decoding it.
    base::Result<std::set<std::string>> serviceNames(std::string_view document) const { return onServiceNames(document); }
    // Returns the complete HTTP request that commands an engine to hold exactly the given
    // layers. The fencing number is the leader's term.
    std::string layerCommandRequest(const placement::LayerCommand& command, std::uint64_t fencingNumber) const { return onLayerCommandRequest(command, fencingNumber); }
    placement::LayerCommandResult decodeLayerCommandStatus(int status) const { return onDecodeLayerCommandStatus(status); }
    // Returns the complete HTTP request that polls an engine for its status.
    std::string engineStatusRequest(const fleet::UpstreamRecord& engine) const { return onEngineStatusRequest(engine); }
    // Decodes the body of the engine's response.
    base::Result<EngineStatus> decodeEngineStatus(std::string_view body) const { return onDecodeEngineStatus(body); }

private:
    virtual base::Result<routes::RouteConfiguration> onDecodeRoutes(std::string_view) const = 0;
    virtual base::Result<std::set<std::string>> onServiceNames(std::string_view) const = 0;
    virtual std::string onLayerCommandRequest(const placement::LayerCommand&, std::uint64_t fencingNumber) const = 0;
    virtual placement::LayerCommandResult onDecodeLayerCommandStatus(int status) const = 0;
    virtual std::string onEngineStatusRequest(const fleet::UpstreamRecord&) const = 0;
    virtual base::Result<EngineStatus> onDecodeEngineStatus(std::string_view body) const = 0;
};

} // namespace arbutus::node
