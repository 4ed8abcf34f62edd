#include "src/http/ServerCore.h"

#include "include/base/Logger.h"
#include "include/http/Problem.h"
#include "src/http/CallerConnection.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <future>
#include <limits>
#include <sys/resource.h>
#include <vector>

namespace arbutus::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

static constexpr base::Logger logger("http");
static constexpr std::chrono::seconds tickInterval(1);
// After a failed accept, for example without free descriptors.
static constexpr std::chrono::milliseconds acceptRetryDelay(50);
static constexpr std::chrono::seconds overloadRetryDelay(1);
// Buffers of a connection without a request. The library that encrypts allocates two
// records of 17 KiB, and about as much for its own state.
static constexpr std::size_t plainConnectionBytes = std::size_t { 12 } << 10;
static constexpr std::size_t tlsConnectionBytes = std::size_t { 80 } << 10;

// The rest of the descriptors is for upstreams, control frames and files.
static std::size_t defaultMaxConnections()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return std::max<std::size_t>(limit.rlim_cur / 4 * 3, 1);
}

ServerCore::ServerCore(const ServerLimits& limits, HttpServer::Handler handler)
    : limits_(limits)
    , maxConnections_(limits.connections ? limits.connections : defaultMaxConnections())
    , handler_(std::move(handler))
{
}

ServerCore::~ServerCore() = default;

void ServerCore::readTlsFiles(const TlsFiles& files)
{
    using boost::asio::ssl::context;
    auto tls = std::make_unique<context>(context::tls_server);
    tls->set_options(context::default_workarounds | context::no_sslv2 | context::no_sslv3 | context::no_tlsv1 | context::no_tlsv1_1);
    tls->use_certificate_chain_file(files.certificateFile);
    tls->use_private_key_file(files.keyFile, context::pem);
    tls_ = std::move(tls);
}

void ServerCore::listen(const std::string& address, int port)
{
    tcp::endpoint endpoint(boost::asio::ip::make_address(address), static_cast<std::uint16_t>(port));
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(boost::asio::socket_base::max_listen_connections);
    accept();
    tick();
}

void ServerCore::run() { context_.run(); }

void ServerCore::stop()
{
    std::promise<void> closed;
    boost::asio::post(context_, [this, &closed] {
        closeEverything();
        closed.set_value();
    });
    closed.get_future().wait();
    std::unique_lock lock(handlerMutex_);
    acceptsHandlers_ = false;
    handlerEnded_.wait(lock, [this] { return !runningHandlers_; });
}

void ServerCore::closeEverything()
{
    error_code ignored;
    acceptor_.close(ignored);
    tickTimer_.cancel();
    acceptTimer_.cancel();
    std::vector<std::shared_ptr<CallerConnection>> connections(connections_.begin(), connections_.end());
    for (const auto& connection : connections)
        connection->close();
    work_.reset();
}

ServerCounters ServerCore::counters() const { return { connectionCount_, heldBytes_, refusedForMemory_, closedForConnections_ }; }

std::size_t ServerCore::connectionBytes() const { return tls_ ? tlsConnectionBytes : plainConnectionBytes; }

void ServerCore::accept()
{
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
        if (!acceptor_.is_open())
            return;
        if (error) {
            closeOldestUnfinished();
            acceptLater();
            return;
        }
        admit(std::move(socket));
        accept();
    });
}

void ServerCore::acceptLater()
{
    acceptTimer_.expires_after(acceptRetryDelay);
    acceptTimer_.async_wait([this](const error_code& error) {
        if (!error && acceptor_.is_open())
            accept();
    });
}

void ServerCore::admit(tcp::socket socket)
{
    if (connections_.size() >= maxConnections_ && !closeOldestUnfinished()) {
        ++closedForConnections_;
        return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto connection = std::make_shared<CallerConnection>(shared_from_this(), makeTransport(std::move(socket), tls_.get()), std::chrono::steady_clock::now());
    connections_.insert(connection);
    connectionCount_ = connections_.size();
    reserve(*connection, connectionBytes());
    connection->start();
}

void ServerCore::tick()
{
    std::vector<std::shared_ptr<CallerConnection>> connections(connections_.begin(), connections_.end());
    for (const auto& connection : connections)
        connection->checkDeadline(std::chrono::steady_clock::now());
    logRefusals();
    tickTimer_.expires_after(tickInterval);
    tickTimer_.async_wait([this](const error_code& error) {
        if (!error && acceptor_.is_open())
            tick();
    });
}

void ServerCore::logRefusals()
{
    auto sum = refusedForMemory_ + closedForConnections_;
    if (sum == loggedRefusals_)
        return;
    logger.warning("Callers are turned away at a limit.", { { "connections", connections_.size() }, { "heldBytes", heldBytes_.load() }, { "refusedForMemory", refusedForMemory_.load() }, { "closedForConnections", closedForConnections_.load() } });
    loggedRefusals_ = sum;
}

bool ServerCore::closeOldestUnfinished()
{
    std::shared_ptr<CallerConnection> oldest;
    for (const auto& connection : connections_) {
        bool isClosable = connection->isUnfinished() || connection->isRefused();
        if (isClosable && (!oldest || connection->beganAt() < oldest->beganAt()))
            oldest = connection;
    }
    if (!oldest)
        return false;
    ++closedForConnections_;
    oldest->close();
    return true;
}

std::shared_ptr<CallerConnection> ServerCore::largestUnfinished() const
{
    std::shared_ptr<CallerConnection> largest;
    double largestWeight = -1;
    base::TimePoint now = std::chrono::steady_clock::now();
    for (const auto& connection : connections_) {
        if (!connection->isUnfinished())
            continue;
        double weight = static_cast<double>(connection->heldBytes()) * std::chrono::duration<double>(now - connection->beganAt()).count();
        if (weight > largestWeight) {
            largest = connection;
            largestWeight = weight;
        }
    }
    return largest;
}

void ServerCore::setHeld(CallerConnection& connection, std::size_t bytes)
{
    heldBytes_ += bytes - connection.heldBytes();
    connection.setHeldBytes(bytes);
}

bool ServerCore::reserve(CallerConnection& connection, std::size_t bytes)
{
    setHeld(connection, bytes);
    while (heldBytes_ > limits_.heldBytes) {
        auto largest = largestUnfinished();
        if (!largest)
            return false;
        ++refusedForMemory_;
        largest->refuse({ base::ErrorKind::Overloaded, "the process holds too much for its callers", base::TimePoint(std::chrono::steady_clock::now()) + overloadRetryDelay });
        if (largest.get() == &connection)
            return false;
    }
    return true;
}

void ServerCore::remove(const std::shared_ptr<CallerConnection>& connection)
{
    setHeld(*connection, 0);
    connections_.erase(connection);
    connectionCount_ = connections_.size();
}

void ServerCore::callHandler(ServerRequest request)
{
    {
        std::lock_guard lock(handlerMutex_);
        if (!acceptsHandlers_)
            return;
        ++runningHandlers_;
    }
    crossplat::threadpool::shared_instance().service().post([self = shared_from_this(), request = std::move(request)] {
        try {
            self->handler_(request);
        } catch (const std::exception& exception) {
            request.reply(problemResponse({ base::ErrorKind::Internal, exception.what(), std::nullopt }, "", std::chrono::steady_clock::now()));
        }
        std::lock_guard lock(self->handlerMutex_);
        --self->runningHandlers_;
        self->handlerEnded_.notify_all();
    });
}

} // namespace arbutus::http
