#pragma once

#include "include/transport/Counters.h"

#include <functional>
#include <memory>

namespace arbutus::transport {

// The thread that serves any number of clients. The last reference must not be
// released on the thread itself.
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
    // Frames that wait for the connection. The oldest are dropped above either limit.
    std::size_t maxQueuedFrames = 1024;
    std::size_t maxQueuedBytes = 8 << 20;
    // The longest time for connecting and the handshake.
    std::chrono::milliseconds connectTimeout { 1000 };
    // The longest time that sent bytes may stay unacknowledged by the peer's host.
    // Shorter than the 3 s after which a process without contact stops its work.
    std::chrono::milliseconds unackedTimeout { 2000 };
    // Delay after the first failed attempt; it doubles up to the maximum, with a
    // jitter factor between 0.8 and 1.2.
    std::chrono::milliseconds firstRetryDelay { 50 };
    std::chrono::milliseconds maxRetryDelay { 1000 };
    std::uint64_t seed = 0;
};

// One kept connection to a peer, made when there is something to send. Safe to
// use from several threads.
class FrameClient {
public:
    // Runs on the client thread and must not block. The error's rule says whether
    // the request may have run:
    // - NoUpstream: not sent before the deadline,
    // - PeerRejected: as NoUpstream, and the last handshake was refused,
    // - Overloaded: dropped from the full queue unsent,
    // - ShuttingDown: the client was destroyed before it was sent,
    // - RequestTimeout: sent, no answer before the deadline,
    // - UpstreamFailed: sent, and the connection was lost.
    using Done = std::function<void(base::Result<std::string>)>;

    // Fails with InvalidSetting if the options are unusable.
    static base::Result<std::unique_ptr<FrameClient>> Make(std::shared_ptr<ClientThread>, FrameClientOptions);

    // Completes every request. Unless called from the client thread, no Done runs
    // any more afterwards.
    ~FrameClient();
    FrameClient(const FrameClient&) = delete;
    FrameClient& operator=(const FrameClient&) = delete;

    // Sends without an answer. A frame may be lost with the connection.
    // `kind` must not be 0; `body` has at most maxBodyBytes.
    void send(std::uint8_t kind, std::string body);

    // Calls `done` exactly once, at the latest soon after `deadline`.
    void request(std::uint8_t kind, std::string body, base::TimePoint deadline, Done done);

    // As request(), but waits. Must not be called from the client thread.
    base::Result<std::string> call(std::uint8_t kind, std::string body, base::TimePoint deadline);

    TransportTotals totals() const;

private:
    class Core;

    FrameClient(std::shared_ptr<ClientThread>, std::shared_ptr<Core>);

    std::shared_ptr<ClientThread> thread_;
    std::shared_ptr<Core> core_;
};

} // namespace arbutus::transport
