#pragma once

#include "include/base/Error.h"
#include "include/http1/MessageReader.h"
#include "include/net/StreamSocket.h"

#include <list>

namespace arbutus::http1 {

struct Request {
    RequestHead head;
    std::string body;
    base::TimePoint arrivedAt;
};

struct Response {
    int status = 200;
    std::string reason;
    Fields fields;
    std::string body;
};

// The part of a request's handling that outlives the call to the handler.
class ActiveRequest {
public:
    virtual ~ActiveRequest() = default;

    // The caller has closed its connection; no response can be sent any more.
    void callerDisconnected() { onCallerDisconnected(); }
    // Everything sent so far has left, so more may be sent.
    void drained() { onDrained(); }

private:
    virtual void onCallerDisconnected() = 0;
    virtual void onDrained() { }
};

struct ServerLimits {
    ReadLimits read;
    // The longest time from the first byte of a head to its end, and for each
    // further part of a body.
    std::chrono::milliseconds headTimeout { 3000 };
    // The longest time between two requests.
    std::chrono::milliseconds idleTimeout { 15000 };
};

class ServerConnection;

// Decides what a server does with a request.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;

    // Must answer, now or later, through the connection. Returns what is told of
    // the caller's leaving, or nothing if the answer has been sent.
    std::shared_ptr<ActiveRequest> handle(const std::shared_ptr<ServerConnection>& connection, Request request) { return onRequest(connection, std::move(request)); }
    ServerLimits limits() const { return onLimits(); }
    // Whether connections end after their present request.
    bool isStopping() const { return onIsStopping(); }
    // The answer to a request that cannot be read; `status` is 400, 408, 413 or 431.
    Response requestErrorResponse(int status) const { return onRequestErrorResponse(status); }

private:
    virtual std::shared_ptr<ActiveRequest> onRequest(const std::shared_ptr<ServerConnection>&, Request) = 0;
    virtual ServerLimits onLimits() const { return {}; }
    virtual bool onIsStopping() const { return false; }
    virtual Response onRequestErrorResponse(int status) const;
};

// One caller's connection: reads requests one at a time and sends the responses.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>, private net::StreamListener {
public:
    ServerConnection(boost::asio::io_context&, RequestHandler&);
    ~ServerConnection() override;

    void start(boost::asio::ip::tcp::socket, base::TimePoint now);

    // Sends a whole response to the request in work.
    void send(const Response&);
    // Sends the head of a response whose body follows by sendBody(). Without a
    // length, the body is sent in chunks, or ended by the connection's end for
    // a peer of version 1.0.
    void beginResponse(const Response& head, std::optional<std::uint64_t> length);
    void sendBody(std::string_view);
    void finishResponse();
    // Ends a response that cannot be completed, so that it does not look complete.
    void abortResponse();

    std::size_t pendingBytes() const { return socket_->pendingBytes(); }
    bool isOpen() const { return socket_->isOpen(); }
    bool isIdle() const { return !isHandling_ && !reader_ && input_.empty(); }
    base::TimePoint idleSince() const { return idleSince_; }
    void closeIdle();

    // Ends the connection if a time limit has passed.
    void checkTimeouts(base::TimePoint now);

private:
    void onBytes(std::string_view) override;
    void onEnd(net::EndReason) override;
    void onDrained() override;

    void readRequests();
    bool readRequest();
    void dispatchRequest();
    void rejectRequest(int status);
    void finishRequest();
    std::string formatHead(const Response&) const;

    std::shared_ptr<net::StreamSocket> socket_;
    RequestHandler& handler_;
    std::string input_;
    std::unique_ptr<RequestReader> reader_;
    bool hasSentContinue_ = false;
    std::shared_ptr<ActiveRequest> active_;
    bool isHandling_ = false;
    bool isReadingRequests_ = false;
    bool isKeepAlive_ = true;
    bool isVersion10_ = false;
    bool isChunked_ = false;
    bool hasBegunResponse_ = false;
    base::TimePoint now_;
    base::TimePoint idleSince_;
    // Set while a request is being read.
    std::optional<base::TimePoint> readDeadline_;
};

// Accepts connections on one address.
class Server {
public:
    // Fails with InvalidSetting if the address cannot be bound.
    static base::Result<std::unique_ptr<Server>> Make(boost::asio::io_context&, const boost::asio::ip::tcp::endpoint&, RequestHandler&);
    ~Server();

    // Applies the time limits; call several times a second.
    void tick(base::TimePoint now);
    // Closes connections that have been without a request since before `before`.
    void closeIdle(base::TimePoint before);
    void closeAll();
    std::size_t connectionCount() const { return connections_.size(); }

private:
    Server(boost::asio::io_context&, RequestHandler&);
    void accept();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    RequestHandler& handler_;
    std::list<std::shared_ptr<ServerConnection>> connections_;
};

} // namespace arbutus::http1
