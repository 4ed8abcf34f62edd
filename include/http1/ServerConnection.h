#pragma once

#include "include/base/Error.h"
#include "include/http1/ByteBudget.h"
#include "include/http1/MessageReader.h"
#include "include/net/StreamSocket.h"

#include <list>
#include <vector>

namespace arbutus::http1 {

struct Request {
    RequestHead head;
    std::string body;
    base::TimePoint arrivedAt;
    // Keep it as long as the head and the body are kept.
    ByteCharge charge;
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

// What a server may take of its process in total.
struct ServerResources {
    // May be shared by several servers.
    std::shared_ptr<ByteBudget> bytes = std::make_shared<ByteBudget>();
    std::size_t maxConnections = 4096;
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
    // Returns the response to a request that cannot be read; `status` is 400, 408, 413, 431,
    // or 503 if there is no memory for it.
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
    ServerConnection(boost::asio::io_context&, RequestHandler&, std::shared_ptr<ByteBudget>);
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

    // Whether a request is being read.
    bool isReceiving() const { return isOpen() && !isHandling_ && reader_; }
    // Whether no request is being handled.
    bool isBetweenRequests() const { return isOpen() && !isHandling_; }
    // Whether the caller has yet to read the end of a response.
    bool isDelivering() const { return isOpen() && !isHandling_ && pendingBytes(); }
    base::TimePoint receivingSince() const { return receivingSince_; }
    std::size_t inputBytes() const { return inputCharge_.bytes(); }
    std::size_t outputBytes() const { return outputCharge_.bytes(); }
    // Refuses the request that is being read, because there is no memory for it.
    void refuseReceiving();
    // Forgets the requests that wait for the end of the current one, and closes the
    // connection after it.
    void dropPipelined();
    // Closes the connection although the caller may not have read the last response.
    void closeUnread();

    // Rejects a request with 408 after its read deadline. Closes a connection that has been
    // idle for too long, or whose caller takes too long to read the end of a response.
    void checkTimeouts(base::TimePoint now);

private:
    void onBytes(std::string_view) override;
    void onEnd(net::EndReason) override;
    void onDrained() override;
    std::size_t onMaxReadBytes() const override;

    void readRequests();
    bool readRequest();
    // Charges what has been read so far. Returns false after it has refused the request.
    bool chargeInput();
    void dispatchRequest();
    void write(std::string_view first, std::string_view second = {});
    // Whether the caller must read earlier responses first.
    bool hasUnreadResponses() const;
    void rejectRequest(int status);
    void finishRequest();
    std::string formatHead(const Response&) const;

    std::shared_ptr<net::StreamSocket> socket_;
    RequestHandler& handler_;
    std::shared_ptr<ByteBudget> budget_;
    std::string input_;
    // Of the input and the request that is being read.
    ByteCharge inputCharge_;
    ByteCharge outputCharge_;
    std::unique_ptr<RequestReader> reader_;
    base::TimePoint receivingSince_;
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

// What a server has done at a limit.
struct ServerCounters {
    // Of the budget, which other servers may share.
    std::uint64_t refusedRequests = 0;
    std::uint64_t droppedPipelines = 0;
    std::uint64_t droppedResponses = 0;
    std::uint64_t closedConnections = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t failedAccepts = 0;

    std::uint64_t sum() const { return refusedRequests + droppedPipelines + droppedResponses + closedConnections + refusedConnections + failedAccepts; }
};

// Listens on one address and owns the accepted connections. At the limit of bytes it ends, in
// this order: requests that are still being read, the oldest first; requests that wait behind
// another one of their connection; responses that callers leave unread. At the limit of
// connections it closes the one that has been without a running request for longest.
class Server : private Reclaimer {
public:
    // Fails with InvalidSetting if the address cannot be bound.
    static base::Result<std::unique_ptr<Server>> Make(boost::asio::io_context&, const boost::asio::ip::tcp::endpoint&, RequestHandler&, ServerResources = {});
    ~Server() override;
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Applies the timeouts and drops closed connections; call several times a second.
    void tick(base::TimePoint now);
    // Closes connections that have been idle since before `before`.
    void closeIdle(base::TimePoint before);
    // Whether a request is being read or handled, or a response being written.
    bool hasUnfinishedWork() const;
    void closeAll();
    std::size_t connectionCount() const { return connections_.size(); }
    // Totals since the start.
    ServerCounters counters() const;

private:
    using Connections = std::vector<std::shared_ptr<ServerConnection>>;

    Server(boost::asio::io_context&, RequestHandler&, ServerResources);
    void onReclaim() override;
    void refuseReceiving();
    void dropPipelines();
    void dropUnreadResponses();
    // Returns the connections for which `isSelected` is true, ordered by `timeOf`.
    Connections select(bool (*isSelected)(const ServerConnection&), base::TimePoint (*timeOf)(const ServerConnection&)) const;

    void accept();
    void onAccept(boost::asio::ip::tcp::socket);
    void onAcceptFailure(const boost::system::error_code&);
    // Closes the connection that has been without a running request for longest. Returns
    // false if each has one.
    bool closeOldest();
    void removeClosed();
    void logLimits(base::TimePoint now);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    RequestHandler& handler_;
    const ServerResources resources_;
    boost::asio::steady_timer acceptTimer_;
    std::list<std::shared_ptr<ServerConnection>> connections_;
    ServerCounters counters_;
    ServerCounters loggedCounters_;
    base::TimePoint nextLogAt_;
};

} // namespace arbutus::http1
