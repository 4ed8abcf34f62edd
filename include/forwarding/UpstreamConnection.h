#pragma once

#include "include/base/Time.h"
#include "include/fleet/TrafficAccount.h"
#include "include/http1/MessageReader.h"
#include "include/net/Endpoint.h"
#include "include/net/StreamSocket.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::forwarding {

enum class ConnectionFailure {
    // No byte of the request was sent.
    NotSent,
    // The connection ended or the response is invalid; the request may have run.
    Lost,
};

// Whether a response belongs to the request that was sent last.
enum class ResponseMatch {
    Current,
    // A late response to an earlier request; the current one may follow.
    Stale,
    // The response does not identify its request.
    Unknown,
};

// Receives one response. done() or reportFailure() is the last call.
class ResponseListener {
public:
    virtual ~ResponseListener() = default;

    // A new connection has been established for the request.
    void connected() { onConnectionEstablished(); }
    ResponseMatch matchResponse(const http1::ResponseHead& head) const { return onMatchResponse(head); }
    // Called for each head that identifies its request, also that of a late response which
    // is then skipped.
    void observe(const http1::ResponseHead& head) { onObserve(head); }
    void head(const http1::ResponseHead& head) { onHead(head); }
    void body(std::string_view bytes) { onBody(bytes); }
    void done() { onDone(); }
    void reportFailure(ConnectionFailure reason) { onConnectionFailure(reason); }
    // Returns how many bytes of the response may arrive at a time.
    std::size_t maxReadBytes() const { return onMaxReadBytes(); }

private:
    virtual void onConnectionEstablished() { }
    virtual ResponseMatch onMatchResponse(const http1::ResponseHead&) const = 0;
    virtual void onObserve(const http1::ResponseHead&) { }
    virtual void onHead(const http1::ResponseHead&) = 0;
    virtual void onBody(std::string_view) = 0;
    virtual void onDone() = 0;
    virtual void onConnectionFailure(ConnectionFailure) = 0;
    virtual std::size_t onMaxReadBytes() const { return net::StreamListener::fullReadBytes; }
};

// A connection to an upstream. It carries one request at a time and is closed if bytes
// arrive while no request is pending.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>, private net::StreamListener {
public:
    // Called when a response is complete and the connection can carry another request.
    using ReusableCallback = std::function<void(const std::shared_ptr<UpstreamConnection>&)>;

    UpstreamConnection(boost::asio::io_context&, const net::Endpoint&, std::uint64_t number, ReusableCallback);
    ~UpstreamConnection() override;

    // Sets where bytes are counted; null for nowhere.
    void setTraffic(fleet::TrafficCounter* traffic) { traffic_ = traffic; }

    // Sends a request, and connects first if necessary. The connection must be new or
    // idle. `listener` and the bytes of `body`, which are not copied as a whole, must stay
    // until the response ends or abandon() is called.
    void send(std::string head, std::string_view body, bool hasNoResponseBody, ResponseListener&, base::TimePoint connectDeadline);
    // Closes the connection without notifying the listener.
    void abandon();
    void setReading(bool isReading) { socket_->setReading(isReading); }
    // Fails the request with NotSent if the connect deadline passed before the connection
    // was established.
    void checkTimeout(base::TimePoint now);

    const net::Endpoint& endpoint() const { return endpoint_; }
    // Distinguishes the connections of one pool.
    std::uint64_t number() const { return number_; }
    bool isIdle() const { return isConnected_ && !listener_ && socket_->isOpen(); }
    bool isOpen() const { return socket_->isOpen() || !isStarted_; }
    base::TimePoint idleSince() const { return idleSince_; }
    // Returns when the connection was established.
    base::TimePoint connectedAt() const { return connectedAt_; }
    // Sets how long the upstream keeps an idle connection open; nullopt if unknown.
    void setKeepAlive(std::optional<std::chrono::seconds> keepAlive) { keepAlive_ = keepAlive; }
    // Returns whether the connection has been idle for less than `keepAliveFraction` of
    // the upstream's keep-alive time.
    bool isFresh(base::TimePoint now, double keepAliveFraction) const;

private:
    void onBytes(std::string_view) override;
    void onEnd(net::EndReason) override;
    void onConnected() override;
    void onDrained() override { sendBody(); }
    std::size_t onMaxReadBytes() const override { return listener_ ? listener_->maxReadBytes() : fullReadBytes; }

    // Sends the head and the beginning of the body.
    void sendRequest(std::string_view head);
    // Sends more of the body until some of it is pending.
    void sendBody();
    void resetReader();
    // Both return whether reading can continue.
    bool readResponse();
    bool handleHead();
    void finishResponse();
    void fail(ConnectionFailure);

    std::shared_ptr<net::StreamSocket> socket_;
    const net::Endpoint endpoint_;
    const std::uint64_t number_;
    const ReusableCallback reusableCallback_;
    ResponseListener* listener_ = nullptr;
    fleet::TrafficCounter* traffic_ = nullptr;
    // Holds the head until the connection is established.
    std::string head_;
    std::string_view unsentBody_;
    std::string input_;
    std::unique_ptr<http1::ResponseReader> reader_;
    bool hasNoResponseBody_ = false;
    bool isSkippingStaleResponse_ = false;
    // Of all late responses before the current one.
    std::size_t staleResponseBytes_ = 0;
    // Before the current response.
    int interimResponses_ = 0;
    bool isStarted_ = false;
    bool isConnected_ = false;
    base::TimePoint connectedAt_;
    base::TimePoint connectDeadline_;
    base::TimePoint idleSince_;
    std::optional<std::chrono::seconds> keepAlive_;
};

// Pool of idle upstream connections.
class UpstreamConnectionPool {
public:
    // Returns where the bytes to and from an upstream are counted, or null.
    using TrafficLookup = std::function<fleet::TrafficCounter*(const net::Endpoint&)>;

    // Keeps at most `maxIdle` idle connections in all.
    explicit UpstreamConnectionPool(boost::asio::io_context& context, std::size_t maxIdle = std::numeric_limits<std::size_t>::max())
        : context_(context)
        , maxIdle_(maxIdle)
    {
    }

    void setTrafficLookup(TrafficLookup lookup) { trafficLookup_ = std::move(lookup); }
    // Returns an idle connection, or a new one if there is none. Closes connections that
    // have been idle for more than `keepAliveFraction` of the upstream's keep-alive time.
    // Never returns one of those in `excluded`, which are identified by their numbers.
    std::shared_ptr<UpstreamConnection> acquire(const net::Endpoint&, double keepAliveFraction, base::TimePoint now, const std::set<std::uint64_t>& excluded = {});
    // Returns a new connection.
    std::shared_ptr<UpstreamConnection> create(const net::Endpoint&);
    // Closes idle connections that are near their keep-alive time. Call about once a second.
    void tick(base::TimePoint now);
    // Closes idle connections to an address that now belongs to another upstream process.
    void evict(const net::Endpoint&);
    void closeAll()
    {
        idle_.clear();
        idleCount_ = 0;
    }

private:
    void keepIdle(const std::shared_ptr<UpstreamConnection>&);

    boost::asio::io_context& context_;
    TrafficLookup trafficLookup_;
    const std::size_t maxIdle_;
    std::map<net::Endpoint, std::vector<std::shared_ptr<UpstreamConnection>>> idle_;
    std::size_t idleCount_ = 0;
    std::uint64_t lastNumber_ = 0;
};

} // namespace arbutus::forwarding
