#include "include/http1/ServerConnection.h"

#include "include/base/Strings.h"
#include "include/net/ReadBufferLoan.h"

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace arbutus::http1 {

// Bytes of pipelined requests that are buffered while a request is being handled.
static constexpr std::size_t maxPipelinedBytes = ByteBudget::smallBytes;
// Bytes that are read at a time while a request is being handled, and before the end of a head.
static constexpr std::size_t pipelinedReadBytes = std::size_t { 4 } << 10;
static constexpr std::size_t headReadBytes = std::size_t { 16 } << 10;
// No further request of a connection is handled while this much of its responses is unread.
static constexpr std::size_t maxUnreadBytes = std::size_t { 64 } << 10;
// The part of a body that may be copied for the upstream while the request runs.
static constexpr std::size_t copiedBodyBytes = net::StreamListener::fullReadBytes;

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

ServerConnection::ServerConnection(boost::asio::io_context& context, RequestHandler& handler, std::shared_ptr<ByteBudget> budget)
    : socket_(std::make_shared<net::StreamSocket>(context))
    , handler_(handler)
    , budget_(std::move(budget))
    , inputCharge_(budget_, HeldFor::Requests)
    , outputCharge_(budget_, HeldFor::Answers)
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
    auto self = shared_from_this();
    // The rest of a connection that ends after its current response.
    if (isHandling_ && !isKeepAlive_)
        return;
    net::ReadBufferLoan loan(input_);
    input_.append(bytes);
    if (!isHandling_ && !hasUnreadResponses()) {
        readRequests();
        return;
    }
    inputCharge_.set(input_.size());
    if (input_.size() > maxPipelinedBytes)
        socket_->setReading(false);
    budget_->reclaimIfExceeded();
}

std::size_t ServerConnection::onMaxReadBytes() const
{
    if (isHandling_ || hasUnreadResponses())
        return pipelinedReadBytes;
    return reader_ && reader_->isHeadDone() ? fullReadBytes : headReadBytes;
}

bool ServerConnection::hasUnreadResponses() const { return pendingBytes() > maxUnreadBytes; }

void ServerConnection::readRequests()
{
    // A handler that responds synchronously re-enters here through finishRequest().
    if (isReadingRequests_)
        return;
    auto self = shared_from_this();
    isReadingRequests_ = true;
    while (socket_->isOpen() && !isHandling_ && !hasUnreadResponses() && !input_.empty() && readRequest()) { }
    isReadingRequests_ = false;
    inputCharge_.set(input_.size() + (reader_ ? reader_->heldBytes() : 0));
}

bool ServerConnection::chargeInput()
{
    inputCharge_.set(input_.size() + reader_->heldBytes());
    budget_->reclaimIfExceeded();
    // This connection may have been the one to end.
    if (reader_ && !budget_->allows(inputCharge_.bytes()))
        refuseReceiving();
    return reader_ != nullptr;
}

void ServerConnection::refuseReceiving()
{
    auto self = shared_from_this();
    budget_->countRefusal();
    rejectRequest(503);
}

void ServerConnection::dropPipelined()
{
    isKeepAlive_ = false;
    base::freeString(input_);
    inputCharge_.set(0);
    if (!isHandling_) {
        socket_->closeAfterWriting();
        return;
    }
    // Reads on, to learn of the end of the connection.
    socket_->setReading(true);
}

void ServerConnection::closeUnread()
{
    if (pendingBytes())
        socket_->reset();
    else
        socket_->close();
    reader_.reset();
    readDeadline_.reset();
    outputCharge_.set(0);
    inputCharge_.set(0);
}

// Returns whether a complete request was read and dispatched.
bool ServerConnection::readRequest()
{
    if (!reader_) {
        reader_ = std::make_unique<RequestReader>(handler_.limits().read);
        receivingSince_ = std::chrono::steady_clock::now();
        readDeadline_ = receivingSince_ + handler_.limits().headTimeout;
        hasSentContinue_ = false;
    }
    switch (reader_->read(input_)) {
    case ReadStatus::Done:
        dispatchRequest();
        return true;
    case ReadStatus::NeedMore:
        chargeInput();
        return false;
    case ReadStatus::HeadDone:
        if (!chargeInput())
            return false;
        if (reader_->expectsContinue() && !hasSentContinue_) {
            hasSentContinue_ = true;
            write("HTTP/1.1 100 Continue\r\n\r\n");
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
    if (!chargeInput())
        return;
    ByteCharge charge(budget_, HeldFor::Requests);
    auto heldBytes = reader_->heldBytes();
    Request request { std::move(reader_->head()), reader_->releaseBody(), std::chrono::steady_clock::now(), std::move(charge) };
    request.charge.set(heldBytes + std::min(request.body.size(), copiedBodyBytes));
    reader_.reset();
    inputCharge_.set(input_.size());
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
    base::freeString(input_);
    inputCharge_.set(0);
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

void ServerConnection::write(std::string_view first, std::string_view second)
{
    socket_->write(first, second);
    outputCharge_.set(socket_->bufferBytes());
    budget_->reclaimIfExceeded();
}

void ServerConnection::send(const Response& response)
{
    isKeepAlive_ = isKeepAlive_ && !handler_.isStopping();
    std::string head = formatHead(response);
    appendField(head, "Content-Length", fmt::format("{}", response.body.size()));
    head.append("\r\n");
    write(head, response.body);
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
    write(head);
}

void ServerConnection::sendBody(std::string_view body)
{
    if (body.empty())
        return;
    if (!isChunked_) {
        write(body);
        return;
    }
    std::string chunk = chunkHeader(body.size());
    chunk.append(body);
    chunk.append("\r\n");
    write(chunk);
}

void ServerConnection::finishResponse()
{
    if (isChunked_)
        write("0\r\n\r\n");
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
    reader_.reset();
    readDeadline_.reset();
    base::freeString(input_);
    inputCharge_.set(0);
    outputCharge_.set(0);
    if (auto active = std::move(active_))
        active->callerDisconnected();
}

void ServerConnection::onDrained()
{
    outputCharge_.set(socket_->bufferBytes());
    if (auto active = active_) {
        active->drained();
        return;
    }
    if (isHandling_)
        return;
    socket_->setReading(true);
    readRequests();
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
    outputCharge_.set(socket_->bufferBytes());
    if (isDelivering() && now >= idleSince_ + maxDeliveryTime)
        socket_->reset();
    else if (isIdle() && now >= idleSince_ + handler_.limits().idleTimeout)
        socket_->close();
}

} // namespace arbutus::http1
