#pragma once

#include "include/base/Clock.h"
#include "include/fleet/UpstreamRegistry.h"
#include "include/placement/LayerController.h"
#include "src/forwarding/ControlCall.h"
#include "src/node/PlatformCodec.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutus::node {

// The calls of a control VM to engines: asks those whose registrar it is for their status,
// and sends the commands of the layer plan. Runs on the event loop.
class EngineClient {
public:
    using CommandCallback = std::function<void(placement::LayerCommandResult)>;
    using StatusChangeCallback = std::function<void()>;

    // `registrar` is this VM's name in the records of `registry`, which must outlive this
    // object. The callback is called when a status has changed a record.
    EngineClient(boost::asio::io_context&, const PlatformCodec&, fleet::UpstreamRegistry& registry, std::string registrar, StatusChangeCallback);
    ~EngineClient();

    // Sets where the bytes to and from engines are counted.
    void setTrafficLookup(forwarding::UpstreamConnectionPool::TrafficLookup lookup) { pool_.setTrafficLookup(std::move(lookup)); }
    // Starts the status calls that are due.
    void pollEngines(base::TimePoint now);
    // Ends the calls whose deadline has passed.
    void endOverdueCalls();
    // Sends a command with the leader's term as its fencing number.
    void sendCommand(const placement::LayerCommand&, std::uint64_t term, CommandCallback);

private:
    void pollEngine(const fleet::UpstreamRecord&);
    void startCall(std::shared_ptr<forwarding::UpstreamConnection>, std::string request, std::chrono::milliseconds timeout, forwarding::ControlCall::Callback);

    const PlatformCodec& codec_;
    fleet::UpstreamRegistry& registry_;
    const std::string registrar_;
    const StatusChangeCallback statusChangeCallback_;
    base::BootClock clock_;
    forwarding::UpstreamConnectionPool pool_;
    std::vector<std::shared_ptr<forwarding::ControlCall>> calls_;
    // When each engine is polled next, by upstream id.
    std::map<std::string, base::TimePoint> nextPollAt_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace arbutus::node
