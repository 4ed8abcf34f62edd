#include "include/http1/ServerConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace arbutus::http1 {

// Bytes of pipelined requests that are buffered while a request is being handled.
static constexpr std::size_t maxPipelinedBytes = std::size_t { 64 } << 10;

// A caller may pause its reading for longer than an upstream would.
static constexpr std::chrono::seconds callerStallTimeout(10);
// From the end of a response until the caller has read it.
static constexpr std::chrono::seconds maxDeliveryTime(30);

struct ReasonPhrase {
    int status;
    std::string_view text;
};

static std::string_view reasonPhrase(int status)
{
    static constexpr std::array texts {
        ReasonPhrase { 200, "OK" }, ReasonPhrase { 202, "Accepted" }, ReasonPhrase { 307, "Temporary Redirect" }, ReasonPhrase { 400, "Bad Request" },
        ReasonPhrase { 401, "Unauthorized" }, ReasonPhrase { 403, "Forbidden" }, ReasonPhrase { 404, "Not Found" }, ReasonPhrase { 408, "Request Timeout" },
        ReasonPhrase { 409, "Conflict" }, ReasonPhrase { 413, "Content Too Large" }, ReasonPhrase { 422, "Unprocessable Content" }, ReasonPhrase { 429, "Too Many Requests" },
        ReasonPhrase { 431, "Request Header Fields Too Large" }, ReasonPhrase { 502, "Bad Gateway" }, ReasonPhrase { 503, "Service Unavailable" }, ReasonPhrase { 504, "Gateway Timeout" }
    };
    for (const auto& [known, text] : texts) {
        if (known == status)
            return text;
    }
    return "Status";
}

Response RequestHandler::onRequestErrorResponse(int status) const { return { status, {}, {}, {} }; }

ServerConnection::ServerConnection(boost::asio::io_context& context, RequestHandler& handler)
    : socket_(std::make_shared<net::StreamSocket>(context))
    , handler_(handler)
{
}

ServerConnection::~ServerConnection()
{
    socket_->close();
}

void ServerConnection::start(boost::asio::ip::tcp::socket accepted, base::TimePoint now)
{
    now_ = idleSince_ = now;
    socket_->setListener(this);
    socket_->adopt(std::move(accepted), callerStallTimeout);
}

void ServerConnection::onBytes(std::string_view bytes)
{
    input_.append(bytes);
    if (isHandling_) {
        if (input_.size() > maxPipelinedBytes)
            socket_->setReading(false);
        return;
    }
    readRequests();
}

void ServerConnection::readRequests()
{
    // A handler that responds synchronously re-enters here through finishRequest().
    if (isReadingRequests_)
        return;
    auto self = shared_from_this();
    isReadingRequests_ = true;
    while (socket_->isOpen() && !isHandling_ && !input_.empty() && readRequest()) { }
    isReadingRequests_ = false;
}

// Returns whether a complete request was read and dispatched.
bool ServerConnection::readRequest()
{
    if (!reader_) {
        reader_ = std::make_unique<RequestReader>(handler_.limits().read);
        readDeadline_ = base::TimePoint(std::chrono::steady_clock::now()) + handler_.limits().headTimeout;
        hasSentContinue_ = false;
    }
    switch (reader_->read(input_)) {
    case ReadStatus::Done:
        dispatchRequest();
        return true;
    case ReadStatus::NeedMore:
        return false;
    case ReadStatus::HeadDone:
        if (reader_->expectsContinue() && !hasSentContinue_) {
            hasSentContinue_ = true;
            socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        readDeadline_ = base::TimePoint(std::chrono::steady_clock::now()) + handler_.limits().idleTimeout;
        return false;
    case ReadStatus::HeadTooLarge:
        rejectRequest(431);
        return false;
    case ReadStatus::BodyTooLarge:
        rejectRequest(413);
        return false;
    case ReadStatus::Malformed:
        rejectRequest(400);
        return false;
    }
    return false;
}

void ServerConnection::dispatchRequest()
{
    Request request { std::move(reader_->head()), reader_->releaseBody(), std::chrono::steady_clock::now() };
    reader_.reset();
    readDeadline_.reset();
    isKeepAlive_ = request.head.isKeepAlive;
    isVersion10_ = request.head.isVersion10;
    isHandling_ = true;
    hasBegunResponse_ = false;
    auto active = handler_.handle(shared_from_this(), std::move(request));
    // The handler may have responded already, or the connection may have ended.
    if (isHandling_ && socket_->isOpen())
        active_ = std::move(active);
}

void ServerConnection::rejectRequest(int status)
{
    isHandling_ = true;
    isKeepAlive_ = false;
    reader_.reset();
    readDeadline_.reset();
    input_.clear();
    send(handler_.requestErrorResponse(status));
}

std::string ServerConnection::formatHead(const Response& response) const
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", response.status, response.reason.empty() ? reasonPhrase(response.status) : response.reason);
    for (const auto& [name, value] : response.fields)
        appendField(head, name, value);
    if (!isKeepAlive_)
        appendField(head, "Connection", "close");
    return head;
}

void ServerConnection::send(const Response& response)
{
    isKeepAlive_ = isKeepAlive_ && !handler_.isStopping();
    std::string head = formatHead(response);
    appendField(head, "Content-Length", fmt::format("{}", response.body.size()));
    head.append("\r\n");
    socket_->write(head, response.body);
    finishRequest();
}

void ServerConnection::beginResponse(const Response& response, std::optional<std::uint64_t> length)
{
    isKeepAlive_ = isKeepAlive_ && !handler_.isStopping();
    isChunked_ = !length && !isVersion10_;
    if (!length && isVersion10_)
        isKeepAlive_ = false;
    std::string head = formatHead(response);
    if (length)
        appendField(head, "Content-Length", fmt::format("{}", *length));
    else if (isChunked_)
        appendField(head, "Transfer-Encoding", "chunked");
    head.append("\r\n");
    hasBegunResponse_ = true;
    socket_->write(head);
}

void ServerConnection::sendBody(std::string_view body)
{
    if (body.empty())
        return;
    if (!isChunked_) {
        socket_->write(body);
        return;
    }
    std::string chunk = chunkHeader(body.size());
    chunk.append(body);
    chunk.append("\r\n");
    socket_->write(chunk);
}

void ServerConnection::finishResponse()
{
    if (isChunked_)
        socket_->write("0\r\n\r\n");
    finishRequest();
}

void ServerConnection::abortResponse()
{
    auto self = shared_from_this();
    active_.reset();
    isHandling_ = false;
    idleSince_ = std::chrono::steady_clock::now();
    // An HTTP/1.0 body may be ended by an orderly close, so only a reset shows that it is
    // truncated.
    if (hasBegunResponse_ && isVersion10_)
        socket_->reset();
    else
        socket_->closeAfterWriting();
}

void ServerConnection::finishRequest()
{
    auto self = shared_from_this();
    active_.reset();
    isHandling_ = false;
    idleSince_ = std::chrono::steady_clock::now();
    if (!isKeepAlive_) {
        socket_->closeAfterWriting();
        return;
    }
    socket_->setReading(true);
    readRequests();
}

void ServerConnection::onEnd(net::EndReason)
{
    auto self = shared_from_this();
    isHandling_ = false;
    if (auto active = std::move(active_))
        active->callerDisconnected();
}

void ServerConnection::onDrained()
{
    if (auto active = active_)
        active->drained();
}

void ServerConnection::closeIdle()
{
    if (isIdle())
        socket_->close();
}

void ServerConnection::checkTimeouts(base::TimePoint now)
{
    if (readDeadline_ && now >= *readDeadline_) {
        rejectRequest(408);
        return;
    }
    bool isDelivering = !isHandling_ && pendingBytes();
    if (isDelivering && now >= idleSince_ + maxDeliveryTime)
        socket_->reset();
    else if (isIdle() && now >= idleSince_ + handler_.limits().idleTimeout)
        socket_->close();
}

Server::Server(boost::asio::io_context& context, RequestHandler& handler)
    : context_(context)
    , acceptor_(context)
    , handler_(handler)
{
}

Server::~Server() { closeAll(); }

base::Result<std::unique_ptr<Server>> Server::Make(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& endpoint, RequestHandler& handler)
{
    std::unique_ptr<Server> server(new Server(context, handler));
    boost::system::error_code error;
    auto& acceptor = server->acceptor_;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return base::makeError(base::ErrorKind::InvalidSetting, fmt::format("cannot listen on {}:{}: {}", endpoint.address().to_string(), endpoint.port(), error.message()));
    server->accept();
    return server;
}

void Server::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            auto connection = std::make_shared<ServerConnection>(context_, handler_);
            connections_.push_back(connection);
            connection->start(std::move(socket), std::chrono::steady_clock::now());
        }
        accept();
    });
}

void Server::tick(base::TimePoint now)
{
    for (auto it = connections_.begin(); it != connections_.end();) {
        auto connection = *it;
        connection->checkTimeouts(now);
        if (connection->isOpen())
            ++it;
        else
            it = connections_.erase(it);
    }
}

void Server::closeIdle(base::TimePoint before)
{
    for (const auto& connection : connections_) {
        if (connection->idleSince() < before)
            connection->closeIdle();
    }
}

bool Server::hasUnfinishedWork() const
{
    return std::any_of(connections_.begin(), connections_.end(), [](const auto& connection) { return connection->isOpen() && !connection->isIdle(); });
}

void Server::closeAll()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    connections_.clear();
}

} // namespace arbutus::http1
