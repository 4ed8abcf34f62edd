#include "include/base/Logger.h"
#include "include/http1/ServerConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace arbutus::http1 {

static constexpr base::Logger logger("server");

// The delay after a failed accept if no connection can be closed.
static constexpr std::chrono::milliseconds acceptRetryDelay(100);
static constexpr std::chrono::seconds limitLogInterval(1);

Server::Server(boost::asio::io_context& context, RequestHandler& handler, ServerResources resources)
    : context_(context)
    , acceptor_(context)
    , handler_(handler)
    , resources_(std::move(resources))
    , acceptTimer_(context)
{
    resources_.bytes->addReclaimer(*this);
}

Server::~Server()
{
    resources_.bytes->removeReclaimer(*this);
    closeAll();
}

base::Result<std::unique_ptr<Server>> Server::Make(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& endpoint, RequestHandler& handler, ServerResources resources)
{
    std::unique_ptr<Server> server(new Server(context, handler, std::move(resources)));
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
        if (error)
            onAcceptFailure(error);
        else
            onAccept(std::move(socket));
    });
}

void Server::onAccept(boost::asio::ip::tcp::socket socket)
{
    if (connections_.size() >= resources_.maxConnections)
        removeClosed();
    if (connections_.size() < resources_.maxConnections || closeOldest()) {
        auto connection = std::make_shared<ServerConnection>(context_, handler_, resources_.bytes);
        connections_.push_back(connection);
        connection->start(std::move(socket), std::chrono::steady_clock::now());
    } else {
        ++counters_.refusedConnections;
        boost::system::error_code ignored;
        socket.close(ignored);
    }
    accept();
}

void Server::onAcceptFailure(const boost::system::error_code& error)
{
    ++counters_.failedAccepts;
    if (error == boost::asio::error::no_descriptors && closeOldest()) {
        accept();
        return;
    }
    acceptTimer_.expires_after(acceptRetryDelay);
    acceptTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            accept();
    });
}

bool Server::closeOldest()
{
    auto oldest = connections_.end();
    for (auto it = connections_.begin(); it != connections_.end(); ++it) {
        bool isOlder = oldest == connections_.end() || (*it)->idleSince() < (*oldest)->idleSince();
        if ((*it)->isBetweenRequests() && isOlder)
            oldest = it;
    }
    if (oldest == connections_.end())
        return false;
    ++counters_.closedConnections;
    (*oldest)->closeUnread();
    connections_.erase(oldest);
    return true;
}

void Server::removeClosed()
{
    connections_.remove_if([](const auto& connection) { return !connection->isOpen(); });
}

Server::Connections Server::select(bool (*isSelected)(const ServerConnection&), base::TimePoint (*timeOf)(const ServerConnection&)) const
{
    Connections result;
    std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(result), [&](const auto& connection) { return isSelected(*connection); });
    std::stable_sort(result.begin(), result.end(), [&](const auto& left, const auto& right) { return timeOf(*left) < timeOf(*right); });
    return result;
}

void Server::onReclaim()
{
    refuseReceiving();
    dropPipelines();
    dropUnreadResponses();
}

void Server::refuseReceiving()
{
    auto receiving = select([](const ServerConnection& connection) { return connection.isReceiving() && connection.inputBytes() > ByteBudget::smallBytes; }, [](const ServerConnection& connection) { return connection.receivingSince(); });
    for (const auto& connection : receiving) {
        if (resources_.bytes->isWithinTarget())
            return;
        connection->refuseReceiving();
    }
}

void Server::dropPipelines()
{
    auto waiting = select([](const ServerConnection& connection) { return connection.isOpen() && !connection.isReceiving() && connection.inputBytes() > ByteBudget::smallBytes; }, [](const ServerConnection& connection) { return connection.idleSince(); });
    for (const auto& connection : waiting) {
        if (resources_.bytes->isWithinTarget())
            return;
        ++counters_.droppedPipelines;
        connection->dropPipelined();
    }
}

void Server::dropUnreadResponses()
{
    auto delivering = select([](const ServerConnection& connection) { return connection.isDelivering() && connection.outputBytes() > ByteBudget::smallBytes; }, [](const ServerConnection& connection) { return connection.idleSince(); });
    for (const auto& connection : delivering) {
        if (resources_.bytes->isWithinTarget())
            return;
        ++counters_.droppedResponses;
        connection->closeUnread();
    }
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
    logLimits(now);
}

ServerCounters Server::counters() const
{
    auto result = counters_;
    result.refusedRequests = resources_.bytes->refusals();
    return result;
}

void Server::logLimits(base::TimePoint now)
{
    auto total = counters();
    if (now < nextLogAt_ || total.sum() == loggedCounters_.sum())
        return;
    nextLogAt_ = now + limitLogInterval;
    auto before = std::exchange(loggedCounters_, total);
    logger.warning("Ended requests or connections at a limit.", { { "refused_requests", total.refusedRequests - before.refusedRequests }, { "dropped_pipelines", total.droppedPipelines - before.droppedPipelines }, { "dropped_responses", total.droppedResponses - before.droppedResponses }, { "closed_connections", total.closedConnections - before.closedConnections }, { "refused_connections", total.refusedConnections - before.refusedConnections }, { "failed_accepts", total.failedAccepts - before.failedAccepts }, { "connections", connections_.size() }, { "held_bytes", resources_.bytes->held() }, { "max_bytes", resources_.bytes->capacity() } });
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
    acceptTimer_.cancel(ignored);
    connections_.clear();
}

} // namespace arbutus::http1
