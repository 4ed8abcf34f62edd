#include "include/forwarding/UpstreamConnection.h"

#include "include/base/Logger.h"
#include "include/net/ReadBufferLoan.h"

#include <algorithm>

namespace arbutus::forwarding {

static constexpr base::Logger logger("gate");

// Used if the upstream does not announce its keep-alive time.
static constexpr std::chrono::seconds defaultKeepAlive(4);
// A head, chunk header or trailer that is longer belongs to no response. Above the limit
// of a head, which the reader checks itself.
static constexpr std::size_t maxUnparsedBytes = std::size_t { 128 } << 10;
// A faulty upstream may send a late response without end.
static constexpr std::size_t maxStaleResponseBytes = std::size_t { 1 } << 20;
// A faulty upstream may send interim responses without end.
static constexpr int maxInterimResponses = 16;
// How much of a body the socket gets at a time, and may have to copy.
static constexpr std::size_t bodyPartBytes = net::StreamListener::fullReadBytes;

static bool isInterim(int status) { return status < 200; }

UpstreamConnection::UpstreamConnection(boost::asio::io_context& context, const net::Endpoint& endpoint, std::uint64_t number, ReusableCallback reusableCallback)
    : socket_(std::make_shared<net::StreamSocket>(context))
    , endpoint_(endpoint)
    , number_(number)
    , reusableCallback_(std::move(reusableCallback))
{
}

UpstreamConnection::~UpstreamConnection() { socket_->close(); }

void UpstreamConnection::send(std::string head, std::string_view body, bool hasNoResponseBody, ResponseListener& listener, base::TimePoint connectDeadline)
{
    listener_ = &listener;
    hasNoResponseBody_ = hasNoResponseBody;
    isSkippingStaleResponse_ = false;
    staleResponseBytes_ = 0;
    interimResponses_ = 0;
    unsentBody_ = body;
    resetReader();
    if (traffic_)
        traffic_->sent += head.size() + body.size();
    if (isConnected_) {
        sendRequest(head);
        return;
    }
    head_ = std::move(head);
    connectDeadline_ = connectDeadline;
    isStarted_ = true;
    socket_->setListener(this);
    socket_->connect({ boost::asio::ip::address_v4(endpoint_.ip), endpoint_.port });
}

void UpstreamConnection::resetReader()
{
    reader_ = std::make_unique<http1::ResponseReader>(hasNoResponseBody_, [this](std::string_view bytes) {
        if (isSkippingStaleResponse_)
            staleResponseBytes_ += bytes.size();
        else if (listener_)
            listener_->body(bytes);
    });
}

void UpstreamConnection::onConnected()
{
    isConnected_ = true;
    connectedAt_ = std::chrono::steady_clock::now();
    sendRequest(std::exchange(head_, std::string()));
    if (listener_)
        listener_->connected();
}

void UpstreamConnection::sendRequest(std::string_view head)
{
    auto part = unsentBody_.substr(0, bodyPartBytes);
    unsentBody_.remove_prefix(part.size());
    socket_->write(head, part);
    sendBody();
}

void UpstreamConnection::sendBody()
{
    while (!unsentBody_.empty() && socket_->isOpen() && !socket_->pendingBytes()) {
        auto part = unsentBody_.substr(0, bodyPartBytes);
        unsentBody_.remove_prefix(part.size());
        socket_->write(part);
    }
}

void UpstreamConnection::abandon()
{
    listener_ = nullptr;
    unsentBody_ = {};
    socket_->close();
}

void UpstreamConnection::checkTimeout(base::TimePoint now)
{
    if (!isConnected_ && listener_ && now >= connectDeadline_)
        fail(ConnectionFailure::NotSent);
}

void UpstreamConnection::onBytes(std::string_view bytes)
{
    auto self = shared_from_this();
    if (traffic_)
        traffic_->received += bytes.size();
    if (!listener_) {
        // Unsolicited bytes belong to no request.
        socket_->close();
        return;
    }
    net::ReadBufferLoan loan(input_);
    input_.append(bytes);
    while (listener_ && socket_->isOpen() && !input_.empty() && readResponse()) { }
    if (listener_ && (input_.size() > maxUnparsedBytes || staleResponseBytes_ > maxStaleResponseBytes))
        fail(ConnectionFailure::Lost);
}

bool UpstreamConnection::readResponse()
{
    auto before = input_.size();
    auto status = reader_->read(input_);
    // The listener may have given up the answer while it was told of the body.
    if (!listener_)
        return false;
    switch (status) {
    case http1::ReadStatus::HeadDone:
        return handleHead();
    case http1::ReadStatus::Done:
        finishResponse();
        return true;
    case http1::ReadStatus::NeedMore:
        return input_.size() < before;
    default:
        logger.info("The answer of an upstream is malformed.", { { "address", endpoint_.text() }, { "had_head", reader_->isHeadDone() } });
        fail(ConnectionFailure::Lost);
        return false;
    }
}

bool UpstreamConnection::handleHead()
{
    if (isInterim(reader_->head().status)) {
        if (++interimResponses_ > maxInterimResponses) {
            fail(ConnectionFailure::Lost);
            return false;
        }
        resetReader();
        return true;
    }
    auto match = listener_->matchResponse(reader_->head());
    if (match != ResponseMatch::Unknown)
        listener_->observe(reader_->head());
    switch (match) {
    case ResponseMatch::Current:
        listener_->head(reader_->head());
        break;
    case ResponseMatch::Stale:
        isSkippingStaleResponse_ = true;
        break;
    case ResponseMatch::Unknown:
        fail(ConnectionFailure::Lost);
        return false;
    }
    if (!listener_)
        return false;
    // A response without a body is complete after its head.
    std::string none;
    if (reader_->read(none) == http1::ReadStatus::Done) {
        finishResponse();
        return listener_ != nullptr;
    }
    return true;
}

void UpstreamConnection::finishResponse()
{
    bool isKeepAlive = reader_->head().isKeepAlive;
    if (isSkippingStaleResponse_) {
        isSkippingStaleResponse_ = false;
        resetReader();
        if (!isKeepAlive)
            fail(ConnectionFailure::Lost);
        return;
    }
    auto* listener = std::exchange(listener_, nullptr);
    bool isReusable = isKeepAlive && input_.empty() && socket_->isOpen() && !socket_->pendingBytes() && unsentBody_.empty();
    unsentBody_ = {};
    if (!isReusable)
        socket_->close();
    idleSince_ = std::chrono::steady_clock::now();
    if (isReusable) {
        socket_->setReading(true);
        reusableCallback_(shared_from_this());
    }
    listener->done();
}

void UpstreamConnection::onEnd(net::EndReason reason)
{
    auto self = shared_from_this();
    if (!listener_)
        return;
    bool isCurrentResponse = !isSkippingStaleResponse_ && reader_->isHeadDone();
    if (reason == net::EndReason::Closed && isCurrentResponse && reader_->readEof() == http1::ReadStatus::Done) {
        unsentBody_ = {};
        std::exchange(listener_, nullptr)->done();
        return;
    }
    fail(isConnected_ ? ConnectionFailure::Lost : ConnectionFailure::NotSent);
}

void UpstreamConnection::fail(ConnectionFailure reason)
{
    auto self = shared_from_this();
    auto* listener = std::exchange(listener_, nullptr);
    unsentBody_ = {};
    socket_->close();
    if (listener)
        listener->reportFailure(reason);
}

bool UpstreamConnection::isFresh(base::TimePoint now, double keepAliveFraction) const
{
    std::chrono::duration<double> limit = keepAlive_.value_or(defaultKeepAlive);
    return std::chrono::duration<double>(now - idleSince_) < limit * keepAliveFraction;
}

std::shared_ptr<UpstreamConnection> UpstreamConnectionPool::acquire(const net::Endpoint& endpoint, double keepAliveFraction, base::TimePoint now, const std::set<std::uint64_t>& excluded)
{
    auto& idle = idle_[endpoint];
    // The connection that was used last is the freshest.
    for (auto i = idle.size(); i-- > 0;) {
        if (excluded.count(idle[i]->number()))
            continue;
        auto connection = std::move(idle[i]);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        --idleCount_;
        if (connection->isIdle() && connection->isFresh(now, keepAliveFraction))
            return connection;
    }
    return create(endpoint);
}

std::shared_ptr<UpstreamConnection> UpstreamConnectionPool::create(const net::Endpoint& endpoint)
{
    auto connection = std::make_shared<UpstreamConnection>(context_, endpoint, ++lastNumber_, [this](const std::shared_ptr<UpstreamConnection>& reusable) { keepIdle(reusable); });
    if (trafficLookup_)
        connection->setTraffic(trafficLookup_(endpoint));
    return connection;
}

void UpstreamConnectionPool::keepIdle(const std::shared_ptr<UpstreamConnection>& connection)
{
    // Without this, the last holder closes the connection.
    if (idleCount_ >= maxIdle_)
        return;
    idle_[connection->endpoint()].push_back(connection);
    ++idleCount_;
}

void UpstreamConnectionPool::tick(base::TimePoint now)
{
    idleCount_ = 0;
    for (auto it = idle_.begin(); it != idle_.end();) {
        auto& idle = it->second;
        idle.erase(std::remove_if(idle.begin(), idle.end(), [now](const auto& connection) { return !connection->isIdle() || !connection->isFresh(now, 0.9); }), idle.end());
        idleCount_ += idle.size();
        it = idle.empty() ? idle_.erase(it) : std::next(it);
    }
}

void UpstreamConnectionPool::evict(const net::Endpoint& endpoint)
{
    auto found = idle_.find(endpoint);
    if (found == idle_.end())
        return;
    idleCount_ -= found->second.size();
    idle_.erase(found);
}

} // namespace arbutus::forwarding
