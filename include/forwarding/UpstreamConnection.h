#pragma once

#include "include/base/Time.h"
#include "include/http1/MessageReader.h"
#include "include/net/Endpoint.h"
#include "include/net/StreamSocket.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace arbutus::forwarding {

enum class ConnectionFailure {
    // No byte of the request has left.
    NotSent,
    // The connection ended, or the response is no message of the protocol.
    Lost,
};

enum class ResponseMatch {
    Current,
    // A late response to an earlier request; the own one may follow.
    Stale,
    // It cannot be told whose it is.
    Unknown,
};

// Receives one response. After done() or broken() nothing follows.
class ResponseListener {
public:
    virtual ~ResponseListener() = default;

    ResponseMatch matchResponse(const http1::ResponseHead& head) const { return onMatchResponse(head); }
    void head(const http1::ResponseHead& head) { onHead(head); }
    void body(std::string_view bytes) { onBody(bytes); }
    void done() { onDone(); }
    void reportFailure(ConnectionFailure reason) { onConnectionFailure(reason); }

private:
    virtual ResponseMatch onMatchResponse(const http1::ResponseHead&) const = 0;
    virtual void onHead(const http1::ResponseHead&) = 0;
    virtual void onBody(std::string_view) = 0;
    virtual void onDone() = 0;
    virtual void onConnectionFailure(ConnectionFailure) = 0;
};

// A connection to an upstream, which carries one request at a time. Bytes that
// belong to no request end it.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>, private net::StreamListener {
public:
    // Called when a response is complete and the connection may carry another request.
    using ReusableCallback = std::function<void(const std::shared_ptr<UpstreamConnection>&)>;

    UpstreamConnection(boost::asio::io_context&, const net::Endpoint&, ReusableCallback);
    ~UpstreamConnection() override;

    // Sends a request. The connection must be idle. `listener` must stay alive until
    // the response ends or abandon() is called.
    void send(std::string head, std::string_view body, bool hasNoResponseBody, ResponseListener&, base::TimePoint connectDeadline);
    // Closes the connection; nothing is reported any more.
    void abandon();
    void setReading(bool isReading) { socket_->setReading(isReading); }
    // Ends the attempt to connect if its deadline has passed.
    void checkTimeout(base::TimePoint now);

    const net::Endpoint& endpoint() const { return endpoint_; }
    bool isIdle() const { return isConnected_ && !listener_ && socket_->isOpen(); }
    bool isOpen() const { return socket_->isOpen() || !isStarted_; }
    base::TimePoint idleSince() const { return idleSince_; }
    // How long the upstream keeps an idle connection, if it has said so.
    void setKeepAlive(std::optional<std::chrono::seconds> keepAlive) { keepAlive_ = keepAlive; }
    bool isFresh(base::TimePoint now, double keepAliveFraction) const;

private:
    void onBytes(std::string_view) override;
    void onEnd(net::EndReason) override;
    void onConnected() override;

    void resetReader();
    // Returns whether to go on reading.
    bool readResponse();
    bool handleHead();
    void finishResponse();
    void fail(ConnectionFailure);

    std::shared_ptr<net::StreamSocket> socket_;
    const net::Endpoint endpoint_;
    const ReusableCallback reusableCallback_;
    ResponseListener* listener_ = nullptr;
    // The request until the connection is made.
    std::string request_;
    std::string input_;
    std::unique_ptr<http1::ResponseReader> reader_;
    bool hasNoResponseBody_ = false;
    bool isSkipping_ = false;
    bool isStarted_ = false;
    bool isConnected_ = false;
    base::TimePoint connectDeadline_;
    base::TimePoint idleSince_;
    std::optional<std::chrono::seconds> keepAlive_;
};

// The idle connections to upstreams.
class UpstreamConnectionPool {
public:
    explicit UpstreamConnectionPool(boost::asio::io_context& context)
        : context_(context)
    {
    }

    // An idle connection, or a new one. A connection that has been idle for more
    // than `shareOfKeepAlive` of the upstream's limit is not used.
    std::shared_ptr<UpstreamConnection> acquire(const net::Endpoint&, double keepAliveFraction, base::TimePoint now);
    // Closes idle connections that are too old; call about once a second.
    void tick(base::TimePoint now);
    // Drops the idle connections to an address that another upstream has now.
    void evict(const net::Endpoint&);
    void closeAll() { idle_.clear(); }

private:
    boost::asio::io_context& context_;
    std::map<net::Endpoint, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
};

} // namespace arbutus::forwarding
