#pragma once

#include "include/http/HttpServer.h"
#include "include/net/Asio.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ssl.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <unordered_set>

namespace arbutus::http {

class CallerConnection;

// Accepts the connections of a server and bounds what they hold together. Everything but
// the thread-safe functions runs on one event loop.
class ServerCore : public std::enable_shared_from_this<ServerCore> {
public:
    ServerCore(const ServerLimits&, HttpServer::Handler);
    ~ServerCore();

    // Throws if a TLS file cannot be read.
    void readTlsFiles(const TlsFiles&);
    // Throws if the address cannot be bound.
    void listen(const std::string& address, int port);
    // Runs the event loop until stop(). Thread-safe.
    void run();
    // Ends all connections, waits for running handler calls and ends run(). Thread-safe.
    void stop();
    ServerCounters counters() const;

    boost::asio::io_context& context() { return context_; }
    const ServerLimits& limits() const { return limits_; }
    // Memory of a connection that holds no request.
    std::size_t connectionBytes() const;

    // Sets what a connection holds, whatever the limit.
    void setHeld(CallerConnection&, std::size_t bytes);
    // Sets what a connection holds. At the limit of all together, ends connections that are
    // still sending a request, first those that hold most for longest. Returns false if
    // the connection itself was ended or the limit is exceeded nonetheless.
    bool reserve(CallerConnection&, std::size_t bytes);
    void remove(const std::shared_ptr<CallerConnection>&);
    // Calls the handler on the library's thread pool.
    void callHandler(ServerRequest);

private:
    void accept();
    void admit(boost::asio::ip::tcp::socket);
    void acceptLater();
    void tick();
    void closeEverything();
    bool closeOldestUnfinished();
    std::shared_ptr<CallerConnection> largestUnfinished() const;
    void logRefusals();

    const ServerLimits limits_;
    const std::size_t maxConnections_;
    const HttpServer::Handler handler_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ { context_.get_executor() };
    boost::asio::ip::tcp::acceptor acceptor_ { context_ };
    boost::asio::steady_timer tickTimer_ { context_ };
    boost::asio::steady_timer acceptTimer_ { context_ };
    std::unique_ptr<boost::asio::ssl::context> tls_;
    std::unordered_set<std::shared_ptr<CallerConnection>> connections_;
    std::uint64_t loggedRefusals_ = 0;

    std::atomic<std::size_t> connectionCount_ { 0 };
    std::atomic<std::size_t> heldBytes_ { 0 };
    std::atomic<std::uint64_t> refusedForMemory_ { 0 };
    std::atomic<std::uint64_t> closedForConnections_ { 0 };

    std::mutex handlerMutex_;
    std::condition_variable handlerEnded_;
    std::size_t runningHandlers_ = 0;
    bool acceptsHandlers_ = true;
};

} // namespace arbutus::http
