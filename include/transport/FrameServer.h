#pragma once

#include "include/transport/Counters.h"

#include <functional>
#include <memory>

namespace arbutus::transport {

struct FrameServerOptions {
    // An IP address of this host.
    std::string address;
    // 0 lets the system choose; see FrameServer::port().
    std::uint16_t port = 0;
    std::string sharedKey;
    // The sender of the answers.
    std::string id;
    std::size_t workers = 2;
    std::size_t maxConnections = 2048;
    // Requests in work and answers not yet written, over all connections. Reading
    // pauses above it.
    std::size_t maxBytesInFlight = 64 << 20;
    // Answers not yet written to one connection; a peer that lets more pile up is
    // disconnected.
    std::size_t maxQueuedBytes = 8 << 20;
    // The longest time for the handshake, and for a peer to take in one frame.
    std::chrono::milliseconds stallTimeout { 10000 };
    // The longest time that sent bytes may stay unacknowledged by the peer's host.
    std::chrono::milliseconds unackedTimeout { 2000 };
    // Every sender is known if it is empty.
    std::function<bool(std::string_view)> isKnownSender;
};

// Accepts connections from other processes of the deployment.
class FrameServer {
public:
    // Sends the answer; only the first call has an effect. May be called from any
    // thread and after the connection or the server is gone.
    using Reply = std::function<void(std::string)>;
    // Returns the answer, if there is one. Runs on a worker; the frames of one
    // connection are handled in order, one at a time.
    using Handler = std::function<std::optional<std::string>(const Frame&)>;
    // As Handler, but may also keep `Reply` and answer later.
    using DeferredHandler = std::function<std::optional<std::string>(const Frame&, const Reply&)>;

    // Fails with InvalidSetting if the options are unusable, or if the address
    // cannot be bound.
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
