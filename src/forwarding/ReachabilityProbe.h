#pragma once

#include "include/base/Time.h"
#include "include/net/Endpoint.h"
#include "include/net/StreamSocket.h"

#include <functional>
#include <memory>
#include <string>

namespace arbutus::forwarding {

// Connects to an upstream and closes the connection at once, to see whether it can be reached.
// Sends no request.
class ReachabilityProbe final : private net::StreamListener {
public:
    using Done = std::function<void(const std::string& upstream, bool isReached)>;

    // Calls `done` once from the event loop or from checkTimeout(), unless this object is
    // destroyed before. `done` must not destroy it.
    ReachabilityProbe(boost::asio::io_context&, std::string upstream, const net::Endpoint&, base::TimePoint deadline, Done done);
    ~ReachabilityProbe() override { socket_->close(); }
    ReachabilityProbe(const ReachabilityProbe&) = delete;
    ReachabilityProbe& operator=(const ReachabilityProbe&) = delete;

    void checkTimeout(base::TimePoint now);
    bool isDone() const { return !done_; }

private:
    void onBytes(std::string_view) override { }
    void onEnd(net::EndReason) override { finish(false); }
    void onConnected() override { finish(true); }
    void finish(bool isReached);

    std::shared_ptr<net::StreamSocket> socket_;
    const std::string upstream_;
    const base::TimePoint deadline_;
    Done done_;
};

} // namespace arbutus::forwarding
