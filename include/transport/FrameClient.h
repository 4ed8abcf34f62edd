#pragma once

#include "include/transport/Counters.h"

#include <functional>
#include <memory>

namespace arbutus::transport {

// A thread that runs the network I/O of any number of clients. The last reference must
// not be released on that thread.
class ClientThread {
public:
    static std::shared_ptr<ClientThread> Make();

    ~ClientThread();
    ClientThread(const ClientThread&) = delete;
    ClientThread& operator=(const ClientThread&) = delete;

private:
    friend class FrameClient;
    struct State;

    ClientThread();

    std::unique_ptr<State> state_;
};

struct FrameClientOptions {
    // IP address and port of the peer.
    std::string address;
    std::uint16_t port = 0;
    std::string sharedKey;
    std::string id;
    // Limits of the queue of unsent frames. Above either limit, the oldest are dropped.
    std::size_t maxQueuedFrames = 1024;
    std::size_t maxQueuedBytes = 8 << 20;
    // Covers connecting and the handshake.
    std::chrono::milliseconds connectTimeout { 1000 };
    // The connection is closed if the peer's host does not acknowledge sent bytes for
    // this time. Shorter than the 3 s after which a process that has lost contact stops
    // working.
    std::chrono::milliseconds unackedTimeout { 2000 };
    // The delay after the first failed attempt. It doubles with each failure up to the
    // maximum and is multiplied by a jitter factor between 0.8 and 1.2.
    std::chrono::milliseconds firstRetryDelay { 50 };
    std::chrono::milliseconds maxRetryDelay { 1000 };
    std::uint64_t seed = 0;
};

// Sends frames to one peer over a persistent connection, which is opened when there is
// something to send and reopened after a failure. Thread-safe.
class FrameClient {
public:
    // Receives the body of the response or an error. Runs on the client thread and must
    // not block. The error kind determines whether the request may have run:
    // - NoUpstream: not sent before the deadline,
    // - PeerRejected: not sent before the deadline, and the last handshake was rejected,
    // - Overloaded: dropped from the full queue before it was sent,
    // - ShuttingDown: the client was destroyed before it was sent,
    // - RequestTimeout: sent, but no response arrived before the deadline,
    // - UpstreamFailed: sent, but the connection was lost or the client was destroyed.
    using Done = std::function<void(base::Result<std::string>)>;

    // Fails with InvalidSetting if the options are invalid.
    static base::Result<std::unique_ptr<FrameClient>> Make(std::shared_ptr<ClientThread>, FrameClientOptions);

    // Completes every pending request. Unless called on the client thread, no callback
    // runs after the destructor has returned.
    ~FrameClient();
    FrameClient(const FrameClient&) = delete;
    FrameClient& operator=(const FrameClient&) = delete;

    // Sends a one-way frame, which is lost if the connection fails. `kind` must not be 0,
    // and `body` must not exceed maxBodyBytes.
    void send(std::uint8_t kind, std::string body);

    // Sends a request. Calls `done` exactly once, no later than shortly after `deadline`.
    void request(std::uint8_t kind, std::string body, base::TimePoint deadline, Done done);

    // Like request(), but blocks until the request completes. Must not be called on the
    // client thread.
    base::Result<std::string> call(std::uint8_t kind, std::string body, base::TimePoint deadline);

    // Returns whether the peer's address has refused every attempt to connect for at least
    // this long, and the last one recently. Its host then answers, but no process listens.
    // Silence is not a refusal.
    bool isRefusedFor(std::chrono::milliseconds) const;

    TransportTotals totals() const;

private:
    class Core;

    FrameClient(std::shared_ptr<ClientThread>, std::shared_ptr<Core>);

    std::shared_ptr<ClientThread> thread_;
    std::shared_ptr<Core> core_;
};

} // namespace arbutus::transport
