#include "include/transport/FrameServer.h"

#include "include/base/Logger.h"
#include "src/transport/Handshake.h"
#include "src/transport/Socket.h"

#include <boost/asio.hpp>

#include <cassert>
#include <deque>
#include <future>
#include <set>
#include <thread>

namespace arbutus::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

static constexpr base::Logger logger("transport");

// The delay after a failed accept, for example when no file descriptors are left.
static constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

static base::TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

// Owns the threads, the acceptor and the connections. Once started, the acceptor and the
// connections are used on the network thread only. Handlers run on the workers. The
// counters and byte counts may be changed on any thread.
class FrameServer::Core : public std::enable_shared_from_this<Core> {
public:
    Core(FrameServerOptions options, DeferredHandler handler)
        : options_(std::move(options))
        , handler_(std::move(handler))
        , acceptor_(network_)
        , acceptTimer_(network_)
        , workGuard_(asio::make_work_guard(network_))
        , workers_(options_.workers)
    {
    }

    base::Result<void> start();
    void stop();

    void accept();
    void pauseConnection(std::shared_ptr<Connection> connection) { pausedConnections_.push_back(std::move(connection)); }
    void removeConnection(const std::shared_ptr<Connection>& connection) { connections_.erase(connection); }

    void addBytes(std::size_t bytes) { bytesInFlight_ += bytes; }
    void releaseBytes(std::size_t bytes);
    bool isOverloaded() const { return bytesInFlight_ > options_.maxBytesInFlight; }

    const FrameServerOptions options_;
    const DeferredHandler handler_;
    TransportCounters counters_;
    asio::io_context network_ { 1 };
    std::uint16_t port_ = 0;

    asio::thread_pool::executor_type workerExecutor() { return workers_.get_executor(); }

private:
    void onAccept(error_code, tcp::socket);
    void resumePaused();

    tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard_;
    asio::thread_pool workers_;
    std::thread thread_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::vector<std::shared_ptr<Connection>> pausedConnections_;
    std::atomic<std::size_t> bytesInFlight_ { 0 };
    bool isStopping_ = false;
};

// Releases the in-flight bytes of a request when it is answered or abandoned.
class RequestBytesGuard {
public:
    RequestBytesGuard(std::function<void(std::size_t)> release, std::size_t bytes)
        : release_(std::move(release))
        , bytes_(bytes)
    {
    }
    ~RequestBytesGuard() { release_(bytes_); }
    RequestBytesGuard(const RequestBytesGuard&) = delete;
    RequestBytesGuard& operator=(const RequestBytesGuard&) = delete;

private:
    const std::function<void(std::size_t)> release_;
    const std::size_t bytes_;
};

class FrameServer::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Core& core, tcp::socket socket, std::string peer)
        : core_(core)
        , socket_(std::move(socket))
        , stallTimer_(core.network_)
        , strand_(core.workerExecutor())
        , peer_(std::move(peer))
        , challenge_(secureRandomBytes(challengeBytes))
        , decoder_(helloKey(core.options_.sharedKey, challenge_), maxHelloBytes)
    {
    }

    void start()
    {
        enqueueBytes(std::string(greeting) + challenge_);
        // Runs until the handshake is complete; writing the greeting does not stop it.
        armStallTimer(DropReason::HandshakeTimeout);
        read();
    }

    void close()
    {
        if (!isOpen_)
            return;
        isOpen_ = false;
        error_code ignored;
        stallTimer_.cancel(ignored);
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
        core_.releaseBytes(queuedBytes_);
        queuedBytes_ = 0;
        core_.removeConnection(shared_from_this());
    }

    void resume()
    {
        if (isOpen_)
            processFrames();
    }

    void sendResponse(std::uint64_t sequence, std::uint8_t kind, std::string body)
    {
        if (!isOpen_)
            return;
        if (body.size() > maxBodyBytes) {
            logger.error("A response exceeds the size limit and is not sent.", { { "peer", peer_ }, { "bytes", body.size() } });
            return;
        }
        enqueue(Frame { kind, FrameRole::Response, core_.options_.id, ++lastSequence_, sequence, std::move(body) });
    }

private:
    void dropConnection(DropReason reason)
    {
        if (!isOpen_)
            return;
        core_.counters_.recordDrop(reason, peer_, steadyNow());
        close();
    }

    void armStallTimer(DropReason reason)
    {
        stallTimer_.expires_after(core_.options_.stallTimeout);
        stallTimer_.async_wait([self = shared_from_this(), reason](error_code code) {
            // The timer may have been rearmed after this wait had already expired.
            if (!code && self->stallTimer_.expiry() <= steadyNow())
                self->dropConnection(reason);
        });
    }

    void read()
    {
        socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](error_code code, std::size_t count) { self->onRead(code, count); });
    }

    void onRead(error_code code, std::size_t count)
    {
        if (!isOpen_)
            return;
        if (code) {
            if (decoder_.hasPartialFrame())
                dropConnection(DropReason::Truncated);
            else
                close();
            return;
        }
        core_.counters_.bytesIn += count;
        decoder_.feed(std::string_view(chunk_.data(), count));
        processFrames();
    }

    // Handles complete frames until the in-flight limit is exceeded, then pauses; reads
    // again after the last complete frame.
    void processFrames()
    {
        while (true) {
            if (isHandshakeDone_ && core_.isOverloaded()) {
                core_.pauseConnection(shared_from_this());
                return;
            }
            auto frame = decoder_.next();
            if (!frame)
                break;
            ++core_.counters_.framesIn;
            if (auto reason = isHandshakeDone_ ? handleFrame(std::move(*frame)) : handleHello(*frame)) {
                dropConnection(*reason);
                return;
            }
        }
        if (decoder_.fault())
            dropConnection(*decoder_.fault());
        else
            read();
    }

    std::optional<DropReason> handleHello(const Frame& frame)
    {
        if (frame.kind != handshakeKind || frame.role != FrameRole::OneWay || frame.body.size() != nonceBytes)
            return DropReason::UnexpectedFrame;
        if (core_.options_.isKnownSender && !core_.options_.isKnownSender(frame.sender))
            return DropReason::UnknownSender;
        ConnectionKeys keys = connectionKeys(core_.options_.sharedKey, challenge_, frame.body);
        decoder_.setKey(keys.client, maxFrameBytes);
        key_ = keys.server;
        sender_ = frame.sender;
        isHandshakeDone_ = true;
        ++core_.counters_.connections;
        error_code ignored;
        stallTimer_.cancel(ignored);
        enqueue(Frame { handshakeKind, FrameRole::OneWay, core_.options_.id, ++lastSequence_, 0, {} });
        return std::nullopt;
    }

    std::optional<DropReason> handleFrame(Frame frame)
    {
        if (frame.sender != sender_)
            return DropReason::UnknownSender;
        if (frame.kind == handshakeKind || frame.role == FrameRole::Response)
            return DropReason::UnexpectedFrame;
        std::weak_ptr<Core> weakCore = core_.weak_from_this();
        std::size_t bytes = frame.body.size();
        core_.addBytes(bytes);
        auto bytesGuard = std::make_shared<RequestBytesGuard>([weakCore](std::size_t count) {
            if (auto core = weakCore.lock())
                core->releaseBytes(count);
        },
            bytes);
        auto reply = makeReply(frame, std::move(bytesGuard));
        asio::post(strand_, [weakCore, reply, frame = std::move(frame)] {
            auto core = weakCore.lock();
            if (!core)
                return;
            if (auto body = core->handler_(frame, reply))
                reply(std::move(*body));
        });
        return std::nullopt;
    }

    Reply makeReply(const Frame& frame, std::shared_ptr<RequestBytesGuard> bytesGuard)
    {
        struct State {
            std::atomic<bool> hasReplied { false };
            std::shared_ptr<RequestBytesGuard> bytesGuard;
        };
        auto state = std::make_shared<State>();
        state->bytesGuard = std::move(bytesGuard);
        bool wantsResponse = frame.role == FrameRole::Request;
        return [state, wantsResponse, sequence = frame.sequence, kind = frame.kind, weakCore = core_.weak_from_this(), weakSelf = weak_from_this()](std::string body) {
            if (state->hasReplied.exchange(true))
                return;
            auto core = weakCore.lock();
            if (core && wantsResponse) {
                asio::post(core->network_, [weakSelf, sequence, kind, body = std::move(body)]() mutable {
                    if (auto self = weakSelf.lock())
                        self->sendResponse(sequence, kind, std::move(body));
                });
            }
            state->bytesGuard.reset();
        };
    }

    void enqueue(const Frame& frame)
    {
        std::string bytes;
        encodeFrame(bytes, frame, key_);
        if (queuedBytes_ + bytes.size() > core_.options_.maxQueuedBytes && queuedBytes_) {
            dropConnection(DropReason::SlowReader);
            return;
        }
        ++core_.counters_.framesOut;
        enqueueBytes(std::move(bytes));
    }

    void enqueueBytes(std::string bytes)
    {
        queuedBytes_ += bytes.size();
        core_.addBytes(bytes.size());
        writeQueue_.push_back(std::move(bytes));
        if (writeQueue_.size() == 1)
            write();
    }

    void write()
    {
        if (isHandshakeDone_)
            armStallTimer(DropReason::SlowReader);
        asio::async_write(socket_, asio::buffer(writeQueue_.front()), [self = shared_from_this()](error_code code, std::size_t count) { self->onWritten(code, count); });
    }

    void onWritten(error_code code, std::size_t count)
    {
        core_.counters_.bytesOut += count;
        if (!isOpen_)
            return;
        if (code) {
            close();
            return;
        }
        queuedBytes_ -= writeQueue_.front().size();
        core_.releaseBytes(writeQueue_.front().size());
        writeQueue_.pop_front();
        error_code ignored;
        if (!writeQueue_.empty())
            write();
        else if (isHandshakeDone_)
            stallTimer_.cancel(ignored);
    }

    Core& core_;
    tcp::socket socket_;
    asio::steady_timer stallTimer_;
    asio::strand<asio::thread_pool::executor_type> strand_;
    const std::string peer_;
    const std::string challenge_;
    FrameDecoder decoder_;
    std::array<char, readChunkBytes> chunk_ {};
    std::string key_;
    std::string sender_;
    std::uint64_t lastSequence_ = 0;
    std::deque<std::string> writeQueue_;
    std::size_t queuedBytes_ = 0;
    bool isHandshakeDone_ = false;
    bool isOpen_ = true;
};

base::Result<void> FrameServer::Core::start()
{
    error_code code;
    auto address = asio::ip::make_address(options_.address, code);
    if (code)
        return base::makeError(base::ErrorKind::InvalidSetting, fmt::format("{} is not an IP address", options_.address));
    tcp::endpoint endpoint(address, options_.port);
    acceptor_.open(endpoint.protocol(), code);
    if (!code)
        acceptor_.set_option(tcp::acceptor::reuse_address(true), code);
    if (!code)
        acceptor_.bind(endpoint, code);
    if (!code)
        acceptor_.listen(asio::socket_base::max_listen_connections, code);
    if (!code)
        port_ = acceptor_.local_endpoint(code).port();
    if (code)
        return base::makeError(base::ErrorKind::InvalidSetting, fmt::format("cannot listen on {}:{}: {}", options_.address, options_.port, code.message()));
    accept();
    thread_ = std::thread([this] { network_.run(); });
    return base::outcome::success();
}

void FrameServer::Core::stop()
{
    if (!thread_.joinable())
        return;
    asio::post(network_, [this] {
        isStopping_ = true;
        error_code ignored;
        acceptor_.close(ignored);
        acceptTimer_.cancel(ignored);
        pausedConnections_.clear();
        for (const auto& connection : std::set<std::shared_ptr<Connection>>(connections_))
            connection->close();
    });
    workers_.join();
    workGuard_.reset();
    thread_.join();
}

void FrameServer::Core::accept()
{
    acceptor_.async_accept([this](error_code code, tcp::socket socket) { onAccept(code, std::move(socket)); });
}

void FrameServer::Core::onAccept(error_code code, tcp::socket socket)
{
    if (isStopping_)
        return;
    if (code) {
        logger.warning("A connection could not be accepted.", { { "reason", code.message() } });
        acceptTimer_.expires_after(acceptRetryDelay);
        acceptTimer_.async_wait([this](error_code cancelled) {
            if (!cancelled)
                accept();
        });
        return;
    }
    error_code ignored;
    auto endpoint = socket.remote_endpoint(ignored);
    std::string peer = fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
    if (connections_.size() >= options_.maxConnections) {
        counters_.recordDrop(DropReason::TooManyConnections, peer, steadyNow());
        socket.close(ignored);
    } else {
        configureSocket(socket, options_.unackedTimeout);
        auto connection = std::make_shared<Connection>(*this, std::move(socket), std::move(peer));
        connections_.insert(connection);
        connection->start();
    }
    accept();
}

void FrameServer::Core::releaseBytes(std::size_t bytes)
{
    std::size_t before = bytesInFlight_.fetch_sub(bytes);
    if (before <= options_.maxBytesInFlight || before - bytes > options_.maxBytesInFlight)
        return;
    asio::post(network_, [weakCore = weak_from_this()] {
        if (auto core = weakCore.lock())
            core->resumePaused();
    });
}

void FrameServer::Core::resumePaused()
{
    for (const auto& connection : std::exchange(pausedConnections_, {}))
        connection->resume();
}

base::Result<std::unique_ptr<FrameServer>> FrameServer::Make(FrameServerOptions options, Handler handler)
{
    return Make(std::move(options), DeferredHandler([handler = std::move(handler)](const Frame& frame, const Reply&) { return handler(frame); }));
}

base::Result<std::unique_ptr<FrameServer>> FrameServer::Make(FrameServerOptions options, DeferredHandler handler)
{
    if (options.sharedKey.empty() || options.id.empty() || options.id.size() > maxSenderBytes || !options.workers)
        return base::makeError(base::ErrorKind::InvalidSetting, "a frame server needs a key, an id of 1 to 64 bytes and at least one worker");
    auto core = std::make_shared<Core>(std::move(options), std::move(handler));
    BOOST_OUTCOME_TRYV(core->start());
    return std::unique_ptr<FrameServer>(new FrameServer(std::move(core)));
}

FrameServer::FrameServer(std::shared_ptr<Core> core)
    : core_(std::move(core))
{
}

FrameServer::~FrameServer() { core_->stop(); }

std::uint16_t FrameServer::port() const { return core_->port_; }

TransportTotals FrameServer::totals() const { return core_->counters_.totals(); }

} // namespace arbutus::transport
