#include "include/net/StreamSocket.h"

#include "include/base/Strings.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace arbutus::net {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Idle connections are probed, because a host that lost power sends no reset. As
// TCP_USER_TIMEOUT is set as well, it alone decides when unanswered probes end a connection,
// not their number: with 2 s (upstreams, other entry VMs) at the second probe, 3 s after the
// last byte; with the 10 s of callers after these. It also ends a connection whose peer takes
// no byte of a pending write for so long. A peer that is only silent answers the probes.
static constexpr int keepAliveIdleSeconds = 2;
static constexpr int keepAliveIntervalSeconds = 1;
static constexpr int keepAliveProbes = 2;

void setTcpUserTimeout(tcp::socket& socket, std::chrono::milliseconds limit)
{
    auto value = static_cast<unsigned>(limit.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

static void setKeepAlive(tcp::socket& socket)
{
    auto set = [&socket](int level, int option, int value) { ::setsockopt(socket.native_handle(), level, option, &value, sizeof value); };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

void StreamSocket::configure(std::chrono::milliseconds stallTimeout)
{
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    setTcpUserTimeout(socket_, stallTimeout);
    setKeepAlive(socket_);
    isOpen_ = true;
}

void StreamSocket::adopt(tcp::socket accepted, std::chrono::milliseconds stallTimeout)
{
    socket_ = std::move(accepted);
    configure(stallTimeout);
    readWhenReady();
}

void StreamSocket::connect(const tcp::endpoint& endpoint)
{
    error_code error;
    socket_.open(tcp::v4(), error);
    if (error) {
        isOpen_ = true;
        boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->closeAndNotify(EndReason::Reset); });
        return;
    }
    configure(defaultStallTimeout);
    socket_.async_connect(endpoint, [self = shared_from_this()](const error_code& failure) {
        if (!self->isOpen_)
            return;
        if (failure) {
            self->closeAndNotify(EndReason::Reset);
            return;
        }
        self->readWhenReady();
        if (self->listener_)
            self->listener_->connected();
    });
}

void StreamSocket::readWhenReady()
{
    if (!isOpen_ || !isReading_ || isWaitingToRead_)
        return;
    isWaitingToRead_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
        self->isWaitingToRead_ = false;
        if (!self->isOpen_)
            return;
        if (error) {
            self->closeAndNotify(EndReason::Reset);
            return;
        }
        if (self->isReading_)
            self->readAvailable();
    });
}

void StreamSocket::readAvailable()
{
    static thread_local std::array<char, StreamListener::fullReadBytes> buffer;
    std::size_t limit = listener_ ? std::min(buffer.size(), listener_->maxReadBytes()) : buffer.size();
    error_code error;
    std::size_t count = socket_.read_some(boost::asio::buffer(buffer.data(), limit), error);
    if (error == boost::asio::error::would_block) {
        readWhenReady();
        return;
    }
    if (error) {
        closeAndNotify(error == boost::asio::error::eof ? EndReason::Closed : EndReason::Reset);
        return;
    }
    if (listener_)
        listener_->bytesArrived({ buffer.data(), count });
    readWhenReady();
}

void StreamSocket::setReading(bool isReading)
{
    isReading_ = isReading;
    readWhenReady();
}

void StreamSocket::write(std::string_view first, std::string_view second)
{
    if (!isOpen_)
        return;
    if (!pendingBytes()) {
        std::array<boost::asio::const_buffer, 2> buffers { boost::asio::buffer(first.data(), first.size()), boost::asio::buffer(second.data(), second.size()) };
        error_code error;
        std::size_t sent = socket_.write_some(buffers, error);
        if (error && error != boost::asio::error::would_block) {
            // Posted so that the listener is not called from inside write().
            boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->closeAndNotify(EndReason::Reset); });
            return;
        }
        auto fromFirst = std::min(sent, first.size());
        first.remove_prefix(fromFirst);
        second.remove_prefix(sent - fromFirst);
    }
    if (first.empty() && second.empty())
        return;
    appendPending(first, second);
    writeWhenReady();
}

void StreamSocket::appendPending(std::string_view first, std::string_view second)
{
    // A peer that always leaves a little unread would otherwise make this grow without end.
    if (pendingOffset_ > pendingBytes()) {
        pending_.erase(0, pendingOffset_);
        pendingOffset_ = 0;
    }
    pending_.append(first);
    pending_.append(second);
}

void StreamSocket::writeWhenReady()
{
    if (isWaitingToWrite_)
        return;
    isWaitingToWrite_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code& error) {
        self->isWaitingToWrite_ = false;
        if (!self->isOpen_)
            return;
        if (error)
            self->closeAndNotify(EndReason::Reset);
        else
            self->writePending();
    });
}

void StreamSocket::writePending()
{
    error_code error;
    std::size_t sent = socket_.write_some(boost::asio::buffer(pending_.data() + pendingOffset_, pendingBytes()), error);
    if (error && error != boost::asio::error::would_block) {
        closeAndNotify(EndReason::Reset);
        return;
    }
    pendingOffset_ += sent;
    if (pendingBytes()) {
        writeWhenReady();
        return;
    }
    base::freeString(pending_);
    pendingOffset_ = 0;
    if (isClosingAfterWrite_)
        close();
    else if (listener_)
        listener_->drained();
}

void StreamSocket::close()
{
    if (!isOpen_)
        return;
    isOpen_ = false;
    listener_ = nullptr;
    base::freeString(pending_);
    pendingOffset_ = 0;
    error_code ignored;
    socket_.close(ignored);
}

void StreamSocket::closeAfterWriting()
{
    listener_ = nullptr;
    if (!pendingBytes()) {
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        close();
        return;
    }
    isClosingAfterWrite_ = true;
}

void StreamSocket::reset()
{
    if (!isOpen_)
        return;
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

void StreamSocket::closeAndNotify(EndReason reason)
{
    if (!isOpen_)
        return;
    auto* listener = listener_;
    close();
    if (listener)
        listener->ended(reason);
}

} // namespace arbutus::net
