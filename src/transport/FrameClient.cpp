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

// Frames that are ready together share one write up to this size.
static constexpr std::size_t maxWriteBytes = 64 << 10;

static base::TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

struct ClientThread::State {
    asio::io_context network { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { asio::make_work_guard(network) };
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
    state_->work.reset();
    state_->thread.join();
}

// The queue and the requests are guarded by the mutex; the connection is used
// only on the client thread. No callback runs while the mutex is held.
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

    void push(std::uint8_t kind, std::string body, std::optional<base::TimePoint> deadline, Done done);
    void stop();
    bool isClientThread() const { return network_.get_executor().running_in_this_thread(); }

    const FrameClientOptions options_;
    TransportCounters counters_;
    asio::io_context& network_;

private:
    struct Queued {
        // Zero for a frame without an answer.
        std::uint64_t request;
        std::uint8_t kind;
        std::string body;
    };

    struct Request {
        base::TimePoint deadline;
        Done done;
        // The sequence number on the present connection; zero before it is sent.
        std::uint64_t sequence = 0;
    };

    // One attempt to connect and what follows from it.
    struct Link {
        explicit Link(asio::io_context& network)
            : socket(network)
            , timer(network)
        {
        }

        tcp::socket socket;
        // Limits the time until the handshake is done.
        asio::steady_timer timer;
        std::string challenge;
        std::string nonce;
        std::string key;
        std::optional<FrameDecoder> decoder;
        std::array<char, readChunkBytes> chunk {};
        std::string writing;
        std::uint64_t lastSequence = 0;
        bool isReady = false;
        bool isWriting = false;
        // Whether the handshake was refused by either side.
        bool isRefused = false;
    };
    using LinkPointer = std::shared_ptr<Link>;
    using Completion = std::pair<Done, Result<std::string>>;

    static void complete(std::vector<Completion> completions)
    {
        for (auto& [done, result] : completions)
            done(std::move(result));
    }

    void kick();
    void connect();
    void onChallenge(const LinkPointer&, error_code, std::size_t);
    void write(const LinkPointer&, std::string bytes);
    void writeQueued(const LinkPointer&);
    void read(const LinkPointer&);
    void onRead(const LinkPointer&, error_code, std::size_t);
    bool takeFrame(const LinkPointer&, Frame);
    void drop(const LinkPointer&, DropReason);
    void fail(const LinkPointer&, std::string_view reason);
    void watchDeadlines();
    void expireRequests();
    std::optional<Completion> removeRequest(std::uint64_t request, Result<std::string> result);
    ErrorKind unsentKind() const { return wasRejected_ ? ErrorKind::PeerRejected : ErrorKind::NoUpstream; }

    const tcp::endpoint peer_;
    const std::string peerName_;
    asio::steady_timer deadlineTimer_;
    asio::steady_timer retryTimer_;
    base::Random random_;
    LinkPointer link_;
    std::chrono::milliseconds retryDelay_ { 0 };
    base::TimePoint nextAttempt_ {};

    base::RankedMutex mutex_ { base::lock_rank::transport };
    std::deque<Queued> queue_;
    std::size_t queuedBytes_ = 0;
    std::map<std::uint64_t, Request> requests_;
    std::map<std::uint64_t, std::uint64_t> requestBySequence_;
    std::set<std::pair<base::TimePoint, std::uint64_t>> deadlines_;
    std::uint64_t lastRequest_ = 0;
    bool isKickScheduled_ = false;
    bool isStopped_ = false;
    // Whether the last handshake was refused.
    bool wasRejected_ = false;
};

// Takes the request out of every table. The caller holds the mutex.
std::optional<FrameClient::Core::Completion> FrameClient::Core::removeRequest(std::uint64_t request, Result<std::string> result)
{
    auto found = requests_.find(request);
    if (found == requests_.end())
        return std::nullopt;
    Completion completion(std::move(found->second.done), std::move(result));
    deadlines_.erase({ found->second.deadline, request });
    requestBySequence_.erase(found->second.sequence);
    requests_.erase(found);
    return completion;
}

void FrameClient::Core::push(std::uint8_t kind, std::string body, std::optional<base::TimePoint> deadline, Done done)
{
    assert(kind != handshakeKind && body.size() <= maxBodyBytes);
    std::vector<Completion> completions;
    {
        RankedLock lock(mutex_);
        std::uint64_t request = 0;
        if (deadline) {
            request = ++lastRequest_;
            requests_[request] = Request { *deadline, std::move(done) };
            deadlines_.insert({ *deadline, request });
        }
        queuedBytes_ += body.size();
        queue_.push_back(Queued { request, kind, std::move(body) });
        while (queue_.size() > options_.maxQueuedFrames || (queuedBytes_ > options_.maxQueuedBytes && queue_.size() > 1)) {
            ++counters_.queueDrops;
            queuedBytes_ -= queue_.front().body.size();
            if (auto completion = removeRequest(queue_.front().request, base::makeError(ErrorKind::Overloaded, "the queue to " + peerName_ + " is full")))
                completions.push_back(std::move(*completion));
            queue_.pop_front();
        }
        if (!isKickScheduled_) {
            isKickScheduled_ = true;
            asio::post(network_, [self = shared_from_this()] { self->kick(); });
        }
    }
    if (!completions.empty())
        asio::post(network_, [completions = std::move(completions)]() mutable { complete(std::move(completions)); });
}

void FrameClient::Core::kick()
{
    {
        RankedLock lock(mutex_);
        isKickScheduled_ = false;
        if (isStopped_)
            return;
    }
    watchDeadlines();
    if (link_ && link_->isReady)
        writeQueued(link_);
    else if (!link_)
        connect();
}

void FrameClient::Core::connect()
{
    {
        RankedLock lock(mutex_);
        if (isStopped_ || queue_.empty())
            return;
    }
    if (steadyNow() < nextAttempt_) {
        retryTimer_.expires_at(nextAttempt_);
        retryTimer_.async_wait([self = shared_from_this()](error_code code) {
            if (!code && !self->link_)
                self->connect();
        });
        return;
    }
    auto link = link_ = std::make_shared<Link>(network_);
    link->timer.expires_after(options_.connectLimit);
    link->timer.async_wait([self = shared_from_this(), link](error_code code) {
        if (!code && !link->isReady)
            self->fail(link, "the connection was not made in time");
    });
    link->socket.async_connect(peer_, [self = shared_from_this(), link](error_code code) {
        if (code) {
            self->fail(link, code.message());
            return;
        }
        configureSocket(link->socket, self->options_.unackedLimit);
        asio::async_read(link->socket, asio::buffer(link->chunk, greeting.size() + challengeBytes), [self, link](error_code readCode, std::size_t count) { self->onChallenge(link, readCode, count); });
    });
}

void FrameClient::Core::onChallenge(const LinkPointer& link, error_code code, std::size_t count)
{
    if (link != link_)
        return;
    if (code) {
        fail(link, code.message());
        return;
    }
    counters_.bytesIn += count;
    std::string_view received(link->chunk.data(), count);
    if (received.substr(0, greeting.size()) != greeting) {
        drop(link, DropReason::Malformed);
        return;
    }
    link->challenge = received.substr(greeting.size());
    link->nonce = secureRandomBytes(nonceBytes);
    ConnectionKeys keys = connectionKeys(options_.sharedKey, link->challenge, link->nonce);
    link->key = keys.client;
    link->decoder.emplace(keys.server, maxFrameBytes);
    std::string bytes;
    encodeFrame(bytes, Frame { handshakeKind, FrameRole::OneWay, options_.id, ++link->lastSequence, 0, link->nonce }, helloKey(options_.sharedKey, link->challenge));
    ++counters_.framesOut;
    write(link, std::move(bytes));
    read(link);
}

void FrameClient::Core::write(const LinkPointer& link, std::string bytes)
{
    link->isWriting = true;
    link->writing = std::move(bytes);
    asio::async_write(link->socket, asio::buffer(link->writing), [self = shared_from_this(), link](error_code code, std::size_t count) {
        self->counters_.bytesOut += count;
        link->isWriting = false;
        if (code)
            self->fail(link, code.message());
        else if (link->isReady)
            self->writeQueued(link);
    });
}

void FrameClient::Core::writeQueued(const LinkPointer& link)
{
    if (link->isWriting || link != link_)
        return;
    std::string bytes;
    {
        RankedLock lock(mutex_);
        while (!queue_.empty() && bytes.size() < maxWriteBytes) {
            Queued queued = std::move(queue_.front());
            queue_.pop_front();
            queuedBytes_ -= queued.body.size();
            auto request = requests_.find(queued.request);
            if (queued.request && request == requests_.end())
                continue;
            Frame frame { queued.kind, queued.request ? FrameRole::Request : FrameRole::OneWay, options_.id, ++link->lastSequence, 0, std::move(queued.body) };
            if (queued.request) {
                request->second.sequence = frame.sequence;
                requestBySequence_[frame.sequence] = queued.request;
            }
            encodeFrame(bytes, frame, link->key);
            ++counters_.framesOut;
        }
    }
    if (!bytes.empty())
        write(link, std::move(bytes));
}

void FrameClient::Core::read(const LinkPointer& link)
{
    link->socket.async_read_some(asio::buffer(link->chunk), [self = shared_from_this(), link](error_code code, std::size_t count) { self->onRead(link, code, count); });
}

void FrameClient::Core::onRead(const LinkPointer& link, error_code code, std::size_t count)
{
    if (link != link_)
        return;
    if (code) {
        // The peer closes without an answer if the key or the sender is wrong.
        link->isRefused = !link->isReady;
        if (link->decoder->hasPartialFrame())
            drop(link, DropReason::Truncated);
        else
            fail(link, code.message());
        return;
    }
    counters_.bytesIn += count;
    link->decoder->feed(std::string_view(link->chunk.data(), count));
    while (auto frame = link->decoder->next()) {
        ++counters_.framesIn;
        if (!takeFrame(link, std::move(*frame)) || link != link_)
            return;
    }
    if (link->decoder->fault())
        drop(link, *link->decoder->fault());
    else
        read(link);
}

// Returns false if the connection was closed.
bool FrameClient::Core::takeFrame(const LinkPointer& link, Frame frame)
{
    if (!link->isReady) {
        if (frame.kind != handshakeKind) {
            drop(link, DropReason::UnexpectedFrame);
            return false;
        }
        link->isReady = true;
        error_code ignored;
        link->timer.cancel(ignored);
        retryDelay_ = std::chrono::milliseconds::zero();
        ++counters_.connections;
        {
            RankedLock lock(mutex_);
            wasRejected_ = false;
        }
        writeQueued(link);
        return true;
    }
    if (frame.role != FrameRole::Answer) {
        drop(link, DropReason::UnexpectedFrame);
        return false;
    }
    std::optional<Completion> completion;
    {
        RankedLock lock(mutex_);
        if (auto request = requestBySequence_.find(frame.answers); request != requestBySequence_.end())
            completion = removeRequest(request->second, std::move(frame.body));
    }
    if (completion)
        completion->first(std::move(completion->second));
    else
        ++counters_.lateAnswers;
    return true;
}

void FrameClient::Core::drop(const LinkPointer& link, DropReason reason)
{
    counters_.drop(reason, peerName_, steadyNow());
    link->isRefused = !link->isReady;
    fail(link, dropReasonName(reason));
}

// Closes the connection. Requests that were sent on it fail; frames that still
// wait are kept for the next one.
void FrameClient::Core::fail(const LinkPointer& link, std::string_view reason)
{
    error_code ignored;
    link->timer.cancel(ignored);
    link->socket.close(ignored);
    if (link != link_)
        return;
    link_.reset();
    retryDelay_ = std::clamp(retryDelay_ * 2, options_.firstRetryDelay, options_.maxRetryDelay);
    nextAttempt_ = steadyNow() + std::chrono::duration_cast<std::chrono::nanoseconds>(retryDelay_ * random_.between(0.8, 1.2));
    std::vector<Completion> completions;
    {
        RankedLock lock(mutex_);
        wasRejected_ = link->isRefused;
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

void FrameClient::Core::watchDeadlines()
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
            bool wasSent = requests_.at(request).sequence != 0;
            base::Error error = wasSent ? base::makeError(ErrorKind::RequestTimeout, "no answer from " + peerName_ + " before the deadline")
                                        : base::makeError(unsentKind(), "no connection to " + peerName_ + " before the deadline");
            completions.push_back(std::move(*removeRequest(request, std::move(error))));
        }
        // What is no longer waited for must not take the place of other frames.
        queue_.erase(std::remove_if(queue_.begin(), queue_.end(), [&](const Queued& queued) {
            bool isExpired = queued.request && !requests_.count(queued.request);
            queuedBytes_ -= isExpired ? queued.body.size() : 0;
            return isExpired;
        }),
            queue_.end());
    }
    complete(std::move(completions));
    watchDeadlines();
}

void FrameClient::Core::stop()
{
    auto finish = [self = shared_from_this()] {
        error_code ignored;
        self->deadlineTimer_.cancel(ignored);
        self->retryTimer_.cancel(ignored);
        if (auto link = std::exchange(self->link_, nullptr)) {
            link->timer.cancel(ignored);
            link->socket.close(ignored);
        }
        std::vector<Completion> completions;
        {
            RankedLock lock(self->mutex_);
            self->isStopped_ = true;
            while (!self->requests_.empty()) {
                bool wasSent = self->requests_.begin()->second.sequence != 0;
                auto error = base::makeError(wasSent ? ErrorKind::UpstreamFailed : ErrorKind::ShuttingDown, "the client was closed");
                completions.push_back(std::move(*self->removeRequest(self->requests_.begin()->first, std::move(error))));
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
        return base::makeError(ErrorKind::InvalidSetting, "a frame client needs a key, an id of at most 64 bytes and a queue");
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

void FrameClient::send(std::uint8_t kind, std::string body) { core_->push(kind, std::move(body), std::nullopt, {}); }

void FrameClient::request(std::uint8_t kind, std::string body, base::TimePoint deadline, Done done)
{
    assert(done);
    core_->push(kind, std::move(body), deadline, std::move(done));
}

Result<std::string> FrameClient::call(std::uint8_t kind, std::string body, base::TimePoint deadline)
{
    assert(!core_->isClientThread());
    auto answer = std::make_shared<std::promise<Result<std::string>>>();
    auto future = answer->get_future();
    request(kind, std::move(body), deadline, [answer](Result<std::string> result) { answer->set_value(std::move(result)); });
    return future.get();
}

TransportTotals FrameClient::totals() const { return core_->counters_.totals(); }

} // namespace arbutus::transport
