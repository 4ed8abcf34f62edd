#pragma once

#include "include/net/Asio.h"

#include <memory>
#include <string>
#include <string_view>

namespace arbutus::net {

enum class EndReason {
    // The peer closed its side of the connection in an orderly way.
    Closed,
    // The connection was reset, timed out, or could not be established or used.
    Reset,
};

// Receives the events of a connection. The callbacks run on the event loop's thread.
class StreamListener {
public:
    virtual ~StreamListener() = default;

    void bytesArrived(std::string_view bytes) { onBytes(bytes); }
    // The connection has ended; no other callback follows.
    void ended(EndReason reason) { onEnd(reason); }
    void connected() { onConnected(); }
    // All pending bytes have been passed to the kernel.
    void drained() { onDrained(); }
    // Returns how many bytes may arrive at a time.
    std::size_t maxReadBytes() const { return onMaxReadBytes(); }

    static constexpr std::size_t fullReadBytes = std::size_t { 64 } << 10;

private:
    virtual void onBytes(std::string_view) = 0;
    virtual void onEnd(EndReason) = 0;
    virtual void onConnected() { }
    virtual void onDrained() { }
    virtual std::size_t onMaxReadBytes() const { return fullReadBytes; }
};

// A TCP connection on an event loop. Waits until the socket is readable and then reads
// into a buffer that all connections of the thread share. An idle connection therefore
// holds no read buffer, and a message takes a single read call.
class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
public:
    static constexpr std::chrono::milliseconds defaultStallTimeout { 2000 };

    explicit StreamSocket(boost::asio::io_context& context)
        : socket_(context)
    {
    }
    StreamSocket(const StreamSocket&) = delete;
    StreamSocket& operator=(const StreamSocket&) = delete;

    // The listener must call detach() or close() before it is destroyed.
    void setListener(StreamListener* listener) { listener_ = listener; }
    void detach() { listener_ = nullptr; }

    // Takes ownership of an accepted connection and starts reading. The connection ends if
    // the peer accepts no byte for `stallTimeout` while some are pending.
    void adopt(boost::asio::ip::tcp::socket, std::chrono::milliseconds stallTimeout = defaultStallTimeout);
    // Starts to connect; reports connected() or ended().
    void connect(const boost::asio::ip::tcp::endpoint&);

    // Writes what the kernel accepts without blocking and buffers the rest. Does nothing
    // if the connection is closed.
    void write(std::string_view first, std::string_view second = {});
    std::size_t pendingBytes() const { return pending_.size() - pendingOffset_; }
    // Returns how much memory the pending bytes take.
    std::size_t bufferBytes() const { return pending_.empty() ? 0 : pending_.capacity(); }

    // Pauses or resumes reading. While paused, TCP flow control slows the peer down.
    void setReading(bool isReading);

    bool isOpen() const { return isOpen_; }
    // Closes without a callback. Pending bytes are discarded.
    void close();
    // Closes once everything pending has been written. No callback follows.
    void closeAfterWriting();
    // Closes with a TCP reset, so that the peer cannot mistake a truncated message for a
    // complete one.
    void reset();

private:
    void configure(std::chrono::milliseconds stallTimeout);
    void readWhenReady();
    void readAvailable();
    void writeWhenReady();
    void writePending();
    void appendPending(std::string_view first, std::string_view second);
    void closeAndNotify(EndReason);

    boost::asio::ip::tcp::socket socket_;
    StreamListener* listener_ = nullptr;
    std::string pending_;
    std::size_t pendingOffset_ = 0;
    bool isOpen_ = false;
    bool isReading_ = true;
    bool isWaitingToRead_ = false;
    bool isWaitingToWrite_ = false;
    bool isClosingAfterWrite_ = false;
};

// Limits how long sent bytes may stay unacknowledged before the kernel closes the
// connection (TCP_USER_TIMEOUT).
void setTcpUserTimeout(boost::asio::ip::tcp::socket&, std::chrono::milliseconds);

} // namespace arbutus::net
