#pragma once

#include "include/transport/Counters.h"

#include <functional>
#include <memory>

namespace arbutus::transport {

struct FrameServerOptions {
    // An IP address of this host.
    std::string address;
    // 0 selects a free port; see FrameServer::port().
    std::uint16_t port = 0;
    std::string sharedKey;
    // The sender id in the responses.
    std::string id;
    std::size_t workers = 2;
    std::size_t maxConnections = 2048;
    // Bytes of requests in progress and unwritten responses over all connections. Reading
    // pauses above this limit, which applies backpressure to the clients.
    std::size_t maxBytesInFlight = 64 << 20;
    // Bytes of unwritten responses per connection. A peer that reads too slowly and
    // exceeds this limit is disconnected.
    std::size_t maxQueuedBytes = 8 << 20;
    // Limits the duration of the handshake, and of writing one frame to a peer.
    std::chrono::milliseconds stallTimeout { 10000 };
    // A connection is closed if the peer's host does not acknowledge sent bytes for this
    // time.
    std::chrono::milliseconds unackedTimeout { 2000 };
    // Returns whether a client with this id may connect. If empty, every id is accepted.
    std::function<bool(std::string_view)> isKnownSender;
};

// Accepts connections from other processes of the deployment and passes their frames to
// a handler.
class FrameServer {
public:
    // Sends the response body. Only the first call has an effect. May be called on any
    // thread, also after the connection or the server was destroyed.
    using Reply = std::function<void(std::string)>;
    // Returns the response body, or nullopt for no response. Runs on a worker thread. The
    // frames of one connection are handled one at a time and in order.
    using Handler = std::function<std::optional<std::string>(const Frame&)>;
    // Like Handler, but may store the Reply and respond later.
    using DeferredHandler = std::function<std::optional<std::string>(const Frame&, const Reply&)>;

    // Fails with InvalidSetting if the options are invalid or the address cannot be bound.
    static base::Result<std::unique_ptr<FrameServer>> Make(FrameServerOptions, Handler);
    static base::Result<std::unique_ptr<FrameServer>> Make(FrameServerOptions, DeferredHandler);

    // Closes every connection and waits for running handlers.
    ~FrameServer();
    FrameServer(const FrameServer&) = delete;
    FrameServer& operator=(const FrameServer&) = delete;

    std::uint16_t port() const;
    TransportTotals totals() const;

private:
    class Core;
    class Connection;

    explicit FrameServer(std::shared_ptr<Core>);

    std::shared_ptr<Core> core_;
};

} // namespace arbutus::transport
