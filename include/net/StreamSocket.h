#pragma once

#include "include/net/Asio.h"

#include <memory>
#include <string>
#include <string_view>

namespace arbutus::net {

enum class EndReason {
    // The peer ended its side in order.
    Closed,
    // The connection was reset, timed out or could not be used.
    Reset,
};

// Receives what happens on a connection. The callbacks run on the loop's thread.
class StreamListener {
public:
    virtual ~StreamListener() = default;

    void bytesArrived(std::string_view bytes) { onBytes(bytes); }
    // No other callback follows.
    void ended(EndReason reason) { onEnd(reason); }
    void connected() { onConnected(); }
    // Everything written so far has been handed to the system.
    void drained() { onDrained(); }

private:
    virtual void onBytes(std::string_view) = 0;
    virtual void onEnd(EndReason) = 0;
    virtual void onConnected() { }
    virtual void onDrained() { }
};

// A TCP connection on an event loop. Waits for readiness and then reads into a
// buffer that all connections of the thread share, so that an idle connection
// holds no buffer and a message costs one read.
class StreamSocket : public std::enable_shared_from_this<StreamSocket> {
public:
    explicit StreamSocket(boost::asio::io_context& context)
        : socket_(context)
    {
    }
    StreamSocket(const StreamSocket&) = delete;
    StreamSocket& operator=(const StreamSocket&) = delete;

    // The listener must call detach() or close() before it is destroyed.
    void setListener(StreamListener* listener) { listener_ = listener; }
    void detach() { listener_ = nullptr; }

    // Takes over an accepted connection and starts reading.
    void adopt(boost::asio::ip::tcp::socket);
    // Reports connected() or ended().
    void connect(const boost::asio::ip::tcp::endpoint&);

    // Sends at once what the system takes and keeps the rest until it takes more.
    void write(std::string_view first, std::string_view second = {});
    std::size_t pendingBytes() const { return pending_.size() - pendingOffset_; }

    // Stops reading, so that the peer is slowed down by its window.
    void setReading(bool isReading);

    bool isOpen() const { return isOpen_; }
    // Closes without a callback. What is pending is lost.
    void close();
    // Closes once everything pending has been written. No callback follows.
    void closeAfterWriting();
    // Closes with a reset, so that the peer cannot take what it got for complete.
    void reset();

private:
    void configure();
    void readWhenReady();
    void readAvailable();
    void writeWhenReady();
    void writePending();
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

// The longest time that sent bytes may stay unacknowledged by the peer's host.
void setTcpUserTimeout(boost::asio::ip::tcp::socket&, std::chrono::milliseconds);

} // namespace arbutus::net
