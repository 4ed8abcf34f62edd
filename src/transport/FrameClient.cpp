#include "include/transport/FrameClient.h"

#include "include/base/Logger.h"
#include "include/base/Random.h"
#include "src/transport/Handshake.h"
#include "src/transport/Socket.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <cassert>
#include <deque>
#include <future>
#include <map>
#include <set>
#include <thread>

namespace arbutus::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::ErrorKind;
using base::RankedLock;
using base::Result;
using boost::system::error_code;

static constexpr base::Logger logger("transport");

// Queued frames are combined into one write up to about this size.
static constexpr std::size_t maxWriteBytes = 64 << 10;

// Longer than the delay between two attempts while there is something to send.
static constexpr std::chrono::milliseconds maxRefusalAge(800);

static base::TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

struct ClientThread::State {
    asio::io_context network { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> workGuard { asio::make_work_guard(network) };
    std::thread thread;
};

ClientThread::ClientThread()
    : state_(std::make_unique<State>())
{
    state_->thread = std::thread([state = state_.get()] { state->network.run(); });
}

std::shared_ptr<ClientThread> ClientThread::Make() { return std::shared_ptr<ClientThread>(new ClientThread); }

ClientThread::~ClientThread()
{
    state_->workGuard.reset();
    state_->thread.join();
}

// The connection state of a client, which outlives the client while asynchronous
// operations are pending. The mutex guards the queue and the requests; the connection is
// used on the client thread only. No callback runs while the mutex is held.
class FrameClient::Core : public std::enable_shared_from_this<Core> {
public:
    Core(asio::io_context& network, FrameClientOptions options, tcp::endpoint peer)
        : options_(std::move(options))
        , network_(network)
        , peer_(std::move(peer))
        , peerName_(fmt::format("{}:{}", options_.address, options_.port))
        , deadlineTimer_(network)
        , retryTimer_(network)
        , random_(options_.seed)
    {
    }

    void enqueue(std::uint8_t kind, std::string body, std::optional<base::TimePoint> deadline, Done done);
    void stop();
    bool isRefusedFor(std::chrono::milliseconds);
    bool isClientThread() const { return network_.get_executor().running_in_this_thread(); }

    const FrameClientOptions options_;
    TransportCounters counters_;
    asio::io_context& network_;

private:
    struct QueuedFrame {
        // The id of the request, or zero for a one-way frame.
        std::uint64_t request;
        std::uint8_t kind;
        std::string body;
    };

    struct PendingRequest {
        base::TimePoint deadline;
        Done done;
        // The sequence number of the sent frame; zero before the request is sent.
        std::uint64_t sequence = 0;
    };

    // The state of one connection, from the attempt to connect until it is closed.
    struct Connection {
        explicit Connection(asio::io_context& network)
            : socket(network)
            , timer(network)
        {
        }

        tcp::socket socket;
        // Limits the time until the handshake is complete.
        asio::steady_timer timer;
        std::string challenge;
        std::string nonce;
        std::string key;
        std::optional<FrameDecoder> decoder;
        std::array<char, readChunkBytes> chunk {};
        std::string writeBuffer;
        std::uint64_t lastSequence = 0;
        bool isHandshakeDone = false;
        bool isWriting = false;
        // Whether either side rejected the handshake.
        bool isRejected = false;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;
    using Completion = std::pair<Done, Result<std::string>>;

    static void complete(std::vector<Completion> completions)
    {
        for (auto& [done, result] : completions)
            done(std::move(result));
    }

    void sendOrConnect();
    void connect();
    void recordConnectResult(error_code);
    void onChallenge(const ConnectionPointer&, error_code, std::size_t);
    void write(const ConnectionPointer&, std::string bytes);
    void writeQueuedFrames(const ConnectionPointer&);
    void read(const ConnectionPointer&);
    void onRead(const ConnectionPointer&, error_code, std::size_t);
    bool handleFrame(const ConnectionPointer&, Frame);
    void dropConnection(const ConnectionPointer&, DropReason);
    void disconnect(const ConnectionPointer&, std::string_view reason);
    void armDeadlineTimer();
    void expireRequests();
    std::optional<Completion> removeRequest(std::uint64_t request, Result<std::string> result);
    ErrorKind unsentErrorKind() const { return wasRejected_ ? ErrorKind::PeerRejected : ErrorKind::NoUpstream; }

    const tcp::endpoint peer_;
    const std::string peerName_;
    asio::steady_timer deadlineTimer_;
    asio::steady_timer retryTimer_;
    base::Random random_;
    ConnectionPointer connection_;
    std::chrono::milliseconds retryDelay_ { 0 };
    base::TimePoint nextAttemptTime_ {};

    base::RankedMutex mutex_ { base::lock_rank::transport };
    std::deque<QueuedFrame> queue_;
    std::size_t queuedBytes_ = 0;
    std::map<std::uint64_t, PendingRequest> pendingRequests_;
    std::map<std::uint64_t, std::uint64_t> requestBySequence_;
    std::set<std::pair<base::TimePoint, std::uint64_t>> deadlines_;
    std::uint64_t lastRequestId_ = 0;
    bool isSendScheduled_ = false;
    bool isStopped_ = false;
    // Whether the last handshake was rejected.
    bool wasRejected_ = false;
    // The first and the last of the refused attempts since any other result.
    std::optional<base::TimePoint> refusedSince_;
    base::TimePoint lastRefusedAt_ {};
};

// Removes the request from all tables and returns its completion, or nullopt if it is no
// longer pending. The caller must hold the mutex.
std::optional<FrameClient::Core::Completion> FrameClient::Core::removeRequest(std::uint64_t request, Result<std::string> result)
{
    auto found = pendingRequests_.find(request);
    if (found == pendingRequests_.end())
        return std::nullopt;
    Completion completion(std::move(found->second.done), std::move(result));
    deadlines_.erase({ found->second.deadline, request });
    requestBySequence_.erase(found->second.sequence);
    pendingRequests_.erase(found);
    return completion;
}

void FrameClient::Core::enqueue(std::uint8_t kind, std::string body, std::optional<base::TimePoint> deadline, Done done)
{
    assert(kind != handshakeKind && body.size() <= maxBodyBytes);
    std::vector<Completion> completions;
    {
        RankedLock lock(mutex_);
        std::uint64_t request = 0;
        if (deadline) {
            request = ++lastRequestId_;
            pendingRequests_[request] = PendingRequest { *deadline, std::move(done) };
            deadlines_.insert({ *deadline, request });
        }
        queuedBytes_ += body.size();
        queue_.push_back(QueuedFrame { request, kind, std::move(body) });
        while (queue_.size() > options_.maxQueuedFrames || (queuedBytes_ > options_.maxQueuedBytes && queue_.size() > 1)) {
            ++counters_.queueDrops;
            queuedBytes_ -= queue_.front().body.size();
            if (auto completion = removeRequest(queue_.front().request, base::makeError(ErrorKind::Overloaded, "the queue to " + peerName_ + " is full")))
                completions.push_back(std::move(*completion));
            queue_.pop_front();
        }
        if (!isSendScheduled_) {
            isSendScheduled_ = true;
            asio::post(network_, [self = shared_from_this()] { self->sendOrConnect(); });
        }
    }
    if (!completions.empty())
        asio::post(network_, [completions = std::move(completions)]() mutable { complete(std::move(completions)); });
}

void FrameClient::Core::sendOrConnect()
{
    {
        RankedLock lock(mutex_);
        isSendScheduled_ = false;
        if (isStopped_)
            return;
    }
    armDeadlineTimer();
    if (connection_ && connection_->isHandshakeDone)
        writeQueuedFrames(connection_);
    else if (!connection_)
        connect();
}

void FrameClient::Core::connect()
{
    {
        RankedLock lock(mutex_);
        if (isStopped_ || queue_.empty())
            return;
    }
    if (steadyNow() < nextAttemptTime_) {
        retryTimer_.expires_at(nextAttemptTime_);
        retryTimer_.async_wait([self = shared_from_this()](error_code code) {
            if (!code && !self->connection_)
                self->connect();
        });
        return;
    }
    auto connection = connection_ = std::make_shared<Connection>(network_);
    connection->timer.expires_after(options_.connectTimeout);
    connection->timer.async_wait([self = shared_from_this(), connection](error_code code) {
        if (!code && !connection->isHandshakeDone)
            self->disconnect(connection, "the connection was not established in time");
    });
    connection->socket.async_connect(peer_, [self = shared_from_this(), connection](error_code code) {
        self->recordConnectResult(code);
        if (code) {
            self->disconnect(connection, code.message());
            return;
        }
        configureSocket(connection->socket, self->options_.unackedTimeout);
        asio::async_read(connection->socket, asio::buffer(connection->chunk, greeting.size() + challengeBytes), [self, connection](error_code readCode, std::size_t count) { self->onChallenge(connection, readCode, count); });
    });
}

void FrameClient::Core::recordConnectResult(error_code code)
{
    RankedLock lock(mutex_);
    if (code != asio::error::connection_refused) {
        refusedSince_.reset();
        return;
    }
    lastRefusedAt_ = steadyNow();
    if (!refusedSince_)
        refusedSince_ = lastRefusedAt_;
}

bool FrameClient::Core::isRefusedFor(std::chrono::milliseconds span)
{
    RankedLock lock(mutex_);
    auto now = steadyNow();
    return refusedSince_ && now >= *refusedSince_ + span && now < lastRefusedAt_ + maxRefusalAge;
}

void FrameClient::Core::onChallenge(const ConnectionPointer& connection, error_code code, std::size_t count)
{
    if (connection != connection_)
        return;
    if (code) {
        disconnect(connection, code.message());
        return;
    }
    counters_.bytesIn += count;
    std::string_view received(connection->chunk.data(), count);
    if (received.substr(0, greeting.size()) != greeting) {
        dropConnection(connection, DropReason::Malformed);
        return;
    }
    connection->challenge = received.substr(greeting.size());
    connection->nonce = secureRandomBytes(nonceBytes);
    ConnectionKeys keys = connectionKeys(options_.sharedKey, connection->challenge, connection->nonce);
    connection->key = keys.client;
    connection->decoder.emplace(keys.server, maxFrameBytes);
    std::string bytes;
    encodeFrame(bytes, Frame { handshakeKind, FrameRole::OneWay, options_.id, ++connection->lastSequence, 0, connection->nonce }, helloKey(options_.sharedKey, connection->challenge));
    ++counters_.framesOut;
    write(connection, std::move(bytes));
    read(connection);
}

void FrameClient::Core::write(const ConnectionPointer& connection, std::string bytes)
{
    connection->isWriting = true;
    connection->writeBuffer = std::move(bytes);
    asio::async_write(connection->socket, asio::buffer(connection->writeBuffer), [self = shared_from_this(), connection](error_code code, std::size_t count) {
        self->counters_.bytesOut += count;
        connection->isWriting = false;
        if (code)
            self->disconnect(connection, code.message());
        else if (connection->isHandshakeDone)
            self->writeQueuedFrames(connection);
    });
}

void FrameClient::Core::writeQueuedFrames(const ConnectionPointer& connection)
{
    if (connection->isWriting || connection != connection_)
        return;
    std::string bytes;
    {
        RankedLock lock(mutex_);
        while (!queue_.empty() && bytes.size() < maxWriteBytes) {
            QueuedFrame queued = std::move(queue_.front());
            queue_.pop_front();
            queuedBytes_ -= queued.body.size();
            auto request = pendingRequests_.find(queued.request);
            if (queued.request && request == pendingRequests_.end())
                continue;
            Frame frame { queued.kind, queued.request ? FrameRole::Request : FrameRole::OneWay, options_.id, ++connection->lastSequence, 0, std::move(queued.body) };
            if (queued.request) {
                request->second.sequence = frame.sequence;
                requestBySequence_[frame.sequence] = queued.request;
            }
            encodeFrame(bytes, frame, connection->key);
            ++counters_.framesOut;
        }
    }
    if (!bytes.empty())
        write(connection, std::move(bytes));
}

void FrameClient::Core::read(const ConnectionPointer& connection)
{
    connection->socket.async_read_some(asio::buffer(connection->chunk), [self = shared_from_this(), connection](error_code code, std::size_t count) { self->onRead(connection, code, count); });
}

void FrameClient::Core::onRead(const ConnectionPointer& connection, error_code code, std::size_t count)
{
    if (connection != connection_)
        return;
    if (code) {
        // The server closes the connection without a response if the key or the sender is
        // wrong.
        connection->isRejected = !connection->isHandshakeDone;
        if (connection->decoder->hasPartialFrame())
            dropConnection(connection, DropReason::Truncated);
        else
            disconnect(connection, code.message());
        return;
    }
    counters_.bytesIn += count;
    connection->decoder->feed(std::string_view(connection->chunk.data(), count));
    while (auto frame = connection->decoder->next()) {
        ++counters_.framesIn;
        if (!handleFrame(connection, std::move(*frame)) || connection != connection_)
            return;
    }
    if (connection->decoder->fault())
        dropConnection(connection, *connection->decoder->fault());
    else
        read(connection);
}

// Returns false if the connection was closed.
bool FrameClient::Core::handleFrame(const ConnectionPointer& connection, Frame frame)
{
    if (!connection->isHandshakeDone) {
        if (frame.kind != handshakeKind) {
            dropConnection(connection, DropReason::UnexpectedFrame);
            return false;
        }
        connection->isHandshakeDone = true;
        error_code ignored;
        connection->timer.cancel(ignored);
        retryDelay_ = std::chrono::milliseconds::zero();
        ++counters_.connections;
        {
            RankedLock lock(mutex_);
            wasRejected_ = false;
        }
        writeQueuedFrames(connection);
        return true;
    }
    if (frame.role != FrameRole::Response) {
        dropConnection(connection, DropReason::UnexpectedFrame);
        return false;
    }
    std::optional<Completion> completion;
    {
        RankedLock lock(mutex_);
        if (auto request = requestBySequence_.find(frame.requestSequence); request != requestBySequence_.end())
            completion = removeRequest(request->second, std::move(frame.body));
    }
    if (completion)
        completion->first(std::move(completion->second));
    else
        ++counters_.lateResponses;
    return true;
}

void FrameClient::Core::dropConnection(const ConnectionPointer& connection, DropReason reason)
{
    counters_.recordDrop(reason, peerName_, steadyNow());
    connection->isRejected = !connection->isHandshakeDone;
    disconnect(connection, dropReasonName(reason));
}

// Closes the connection and schedules the next attempt. Requests that were sent on the
// connection fail; unsent frames stay in the queue for the next one.
void FrameClient::Core::disconnect(const ConnectionPointer& connection, std::string_view reason)
{
    error_code ignored;
    connection->timer.cancel(ignored);
    connection->socket.close(ignored);
    if (connection != connection_)
        return;
    connection_.reset();
    retryDelay_ = std::clamp(retryDelay_ * 2, options_.firstRetryDelay, options_.maxRetryDelay);
    nextAttemptTime_ = steadyNow() + std::chrono::duration_cast<std::chrono::nanoseconds>(retryDelay_ * random_.between(0.8, 1.2));
    std::vector<Completion> completions;
    {
        RankedLock lock(mutex_);
        wasRejected_ = connection->isRejected;
        auto sent = std::exchange(requestBySequence_, {});
        for (const auto& [sequence, request] : sent) {
            if (auto completion = removeRequest(request, base::makeError(ErrorKind::UpstreamFailed, fmt::format("the connection to {} was lost: {}", peerName_, reason))))
                completions.push_back(std::move(*completion));
        }
    }
    logger.debug("A connection to a peer was lost.", { { "peer", peerName_ }, { "reason", reason } });
    complete(std::move(completions));
    connect();
}

void FrameClient::Core::armDeadlineTimer()
{
    RankedLock lock(mutex_);
    if (deadlines_.empty() || isStopped_)
        return;
    deadlineTimer_.expires_at(deadlines_.begin()->first);
    deadlineTimer_.async_wait([self = shared_from_this()](error_code code) {
        if (!code)
            self->expireRequests();
    });
}

void FrameClient::Core::expireRequests()
{
    std::vector<Completion> completions;
    {
        RankedLock lock(mutex_);
        base::TimePoint now = steadyNow();
        while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
            std::uint64_t request = deadlines_.begin()->second;
            bool wasSent = pendingRequests_.at(request).sequence != 0;
            base::Error error = wasSent ? base::makeError(ErrorKind::RequestTimeout, "no response from " + peerName_ + " before the deadline")
                                        : base::makeError(unsentErrorKind(), "no connection to " + peerName_ + " before the deadline");
            completions.push_back(std::move(*removeRequest(request, std::move(error))));
        }
        // Frames of expired requests must not use capacity of the queue.
        queue_.erase(std::remove_if(queue_.begin(), queue_.end(), [&](const QueuedFrame& queued) {
            bool isExpired = queued.request && !pendingRequests_.count(queued.request);
            queuedBytes_ -= isExpired ? queued.body.size() : 0;
            return isExpired;
        }),
            queue_.end());
    }
    complete(std::move(completions));
    armDeadlineTimer();
}

void FrameClient::Core::stop()
{
    auto finish = [self = shared_from_this()] {
        error_code ignored;
        self->deadlineTimer_.cancel(ignored);
        self->retryTimer_.cancel(ignored);
        if (auto connection = std::exchange(self->connection_, nullptr)) {
            connection->timer.cancel(ignored);
            connection->socket.close(ignored);
        }
        std::vector<Completion> completions;
        {
            RankedLock lock(self->mutex_);
            self->isStopped_ = true;
            while (!self->pendingRequests_.empty()) {
                bool wasSent = self->pendingRequests_.begin()->second.sequence != 0;
                auto error = base::makeError(wasSent ? ErrorKind::UpstreamFailed : ErrorKind::ShuttingDown, "the client was closed");
                completions.push_back(std::move(*self->removeRequest(self->pendingRequests_.begin()->first, std::move(error))));
            }
        }
        complete(std::move(completions));
    };
    if (isClientThread()) {
        finish();
        return;
    }
    auto finished = std::make_shared<std::promise<void>>();
    auto future = finished->get_future();
    asio::post(network_, [finish, finished] {
        finish();
        finished->set_value();
    });
    future.wait();
}

Result<std::unique_ptr<FrameClient>> FrameClient::Make(std::shared_ptr<ClientThread> thread, FrameClientOptions options)
{
    error_code code;
    auto address = asio::ip::make_address(options.address, code);
    if (code || !options.port)
        return base::makeError(ErrorKind::InvalidSetting, fmt::format("{}:{} is not an IP address and port", options.address, options.port));
    if (options.sharedKey.empty() || options.id.empty() || options.id.size() > maxSenderBytes || !options.maxQueuedFrames)
        return base::makeError(ErrorKind::InvalidSetting, "a frame client needs a key, an id of 1 to 64 bytes and a queue limit above 0");
    tcp::endpoint peer(address, options.port);
    auto core = std::make_shared<Core>(thread->state_->network, std::move(options), std::move(peer));
    return std::unique_ptr<FrameClient>(new FrameClient(std::move(thread), std::move(core)));
}

FrameClient::FrameClient(std::shared_ptr<ClientThread> thread, std::shared_ptr<Core> core)
    : thread_(std::move(thread))
    , core_(std::move(core))
{
}

FrameClient::~FrameClient() { core_->stop(); }

void FrameClient::send(std::uint8_t kind, std::string body) { core_->enqueue(kind, std::move(body), std::nullopt, {}); }

void FrameClient::request(std::uint8_t kind, std::string body, base::TimePoint deadline, Done done)
{
    assert(done);
    core_->enqueue(kind, std::move(body), deadline, std::move(done));
}

Result<std::string> FrameClient::call(std::uint8_t kind, std::string body, base::TimePoint deadline)
{
    assert(!core_->isClientThread());
    auto response = std::make_shared<std::promise<Result<std::string>>>();
    auto future = response->get_future();
    request(kind, std::move(body), deadline, [response](Result<std::string> result) { response->set_value(std::move(result)); });
    return future.get();
}

bool FrameClient::isRefusedFor(std::chrono::milliseconds span) const { return core_->isRefusedFor(span); }

TransportTotals FrameClient::totals() const { return core_->counters_.totals(); }

} // namespace arbutus::transport
