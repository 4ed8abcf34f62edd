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

// A request that is still being handled after the call to the handler has returned.
class ActiveRequest {
public:
    virtual ~ActiveRequest() = default;

    // The caller's connection has ended, so no response can be sent.
    void callerDisconnected() { onCallerDisconnected(); }
    // The connection's write buffer is empty, so more may be sent.
    void drained() { onDrained(); }

private:
    virtual void onCallerDisconnected() = 0;
    virtual void onDrained() { }
};

struct ServerLimits {
    ReadLimits read;
    // Limit from the first byte of a request to the end of its head. While the body is
    // read, each read instead extends the deadline by idleTimeout.
    std::chrono::milliseconds headTimeout { 3000 };
    // Limit on the time between two requests, and between two reads of a body.
    std::chrono::milliseconds idleTimeout { 15000 };
};

class ServerConnection;

// Handles the requests of a server's connections.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;

    // Must respond through the connection, now or later. Returns the object to notify when
    // the caller disconnects or the write buffer drains, or null if the response is sent.
    std::shared_ptr<ActiveRequest> handle(const std::shared_ptr<ServerConnection>& connection, Request request) { return onRequest(connection, std::move(request)); }
    ServerLimits limits() const { return onLimits(); }
    // Whether connections are closed after their current request.
    bool isStopping() const { return onIsStopping(); }
    // Returns the response to a request that cannot be read; `status` is 400, 408, 413 or
    // 431.
    Response requestErrorResponse(int status) const { return onRequestErrorResponse(status); }

private:
    virtual std::shared_ptr<ActiveRequest> onRequest(const std::shared_ptr<ServerConnection>&, Request) = 0;
    virtual ServerLimits onLimits() const { return {}; }
    virtual bool onIsStopping() const { return false; }
    virtual Response onRequestErrorResponse(int status) const;
};

// One caller's connection. Reads requests one at a time and sends the responses in
// order; a pipelined request waits until the response before it is complete.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>, private net::StreamListener {
public:
    ServerConnection(boost::asio::io_context&, RequestHandler&);
    ~ServerConnection() override;

    void start(boost::asio::ip::tcp::socket, base::TimePoint now);

    // Sends a complete response to the current request.
    void send(const Response&);
    // Sends the head of a response whose body follows by sendBody(). Without a length,
    // the body is chunked, or ended by closing the connection for an HTTP/1.0 peer.
    void beginResponse(const Response& head, std::optional<std::uint64_t> length);
    void sendBody(std::string_view);
    void finishResponse();
    // Ends the connection so that the peer detects the incomplete response.
    void abortResponse();

    std::size_t pendingBytes() const { return socket_->pendingBytes(); }
    bool isOpen() const { return socket_->isOpen(); }
    // Whether no request is being read or handled and all responses have been written.
    bool isIdle() const { return !isHandling_ && !reader_ && input_.empty() && !pendingBytes(); }
    base::TimePoint idleSince() const { return idleSince_; }
    void closeIdle();

    // Rejects a request with 408 after its read deadline. Closes a connection that has been
    // idle for too long, or whose caller takes too long to read the end of a response.
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

// Listens on one address and owns the accepted connections.
class Server {
public:
    // Fails with InvalidSetting if the address cannot be bound.
    static base::Result<std::unique_ptr<Server>> Make(boost::asio::io_context&, const boost::asio::ip::tcp::endpoint&, RequestHandler&);
    ~Server();

    // Applies the timeouts and drops closed connections; call several times a second.
    void tick(base::TimePoint now);
    // Closes connections that have been idle since before `before`.
    void closeIdle(base::TimePoint before);
    // Whether a request is being read or handled, or a response being written.
    bool hasUnfinishedWork() const;
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
