#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace review {

struct Address {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

// Field names are in lower case.
using Fields = std::map<std::string, std::string>;

struct Request {
    std::string method;
    std::string target;
    Fields fields;
    std::string body;

    std::string field(const std::string& name) const;
};

struct Response {
    int status = 0;
    Fields fields;
    std::string body;
    // Whether the whole body has arrived, by its length or its chunks.
    bool isComplete = false;
    // Whether the connection can carry another request.
    bool isKeepAlive = false;
};

// A blocking TCP connection.
class Connection {
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Returns null if the connection cannot be made.
    static std::unique_ptr<Connection> Make(const Address&, std::chrono::milliseconds timeout);

    bool write(std::string_view bytes);
    // Reads until the buffer holds more; returns false at the end or after the timeout.
    bool readMore();
    void setReadTimeout(std::chrono::milliseconds timeout);
    // Wakes a thread that reads, from any thread.
    void shutdown();
    std::string& buffer() { return buffer_; }

    std::optional<Request> readRequest();
    // Returns nullopt if no head arrives.
    std::optional<Response> readResponse();

private:
    std::optional<std::string> readHead();
    bool readBody(const Fields& fields, std::string& body);
    bool readChunks(std::string& body);
    bool readLength(std::size_t length, std::string& body);
    std::optional<std::string> readLine();

    const int descriptor_;
    std::string buffer_;
};

// Sends one request on a new connection.
std::optional<Response> call(const Address&, const std::string& request, std::chrono::milliseconds timeout);

// Returns the text of a request with the fields and the length of its body.
std::string requestText(const std::string& method, const std::string& target, const Fields& fields, const std::string& body);
// Returns the text of a response with the length of its body.
std::string responseText(int status, const Fields& fields, const std::string& body);

// An HTTP server with a thread for each connection.
class Server {
public:
    // Answers one request. Returns whether the connection stays open.
    using Handler = std::function<bool(const Request&, Connection&)>;

    Server(const Address&, Handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    bool isListening() const { return descriptor_ >= 0; }
    // Closes the listener and all connections.
    void stop();

private:
    struct Client {
        std::unique_ptr<Connection> connection;
        std::thread thread;
    };

    void accept();
    void serve(Connection& connection);

    const Handler handler_;
    int descriptor_ = -1;
    std::atomic<bool> isStopping_ { false };
    std::mutex mutex_;
    std::list<Client> clients_;
    std::thread thread_;
};

// Returns a port that is free at all the IP addresses.
int findFreePort(const std::list<std::string>& ips);

} // namespace review
