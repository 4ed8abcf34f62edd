#include "review/standins/Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

static constexpr std::size_t readBytes = 65536;
static constexpr int backlog = 512;

static sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

static int bindTo(const Address& address)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto target = socketAddress(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof target)) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

static std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

static std::string trimmed(const std::string& text)
{
    auto first = text.find_first_not_of(" \t");
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Returns the first line of a head and adds its fields.
static std::string parseHead(const std::string& head, Fields& fields)
{
    std::string first;
    for (std::size_t start = 0; start < head.size();) {
        auto end = std::min(head.find("\r\n", start), head.size());
        auto line = head.substr(start, end - start);
        start = end + 2;
        if (first.empty()) {
            first = line;
            continue;
        }
        if (auto colon = line.find(':'); colon != std::string::npos)
            fields[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
    }
    return first;
}

std::string Request::field(const std::string& name) const
{
    auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

Connection::~Connection() { ::close(descriptor_); }

std::unique_ptr<Connection> Connection::Make(const Address& address, std::chrono::milliseconds timeout)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    auto target = socketAddress(address);
    // The result of a connect that does not block is read below.
    (void)::connect(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof target);
    pollfd waiting { descriptor, POLLOUT, 0 };
    if (::poll(&waiting, 1, static_cast<int>(timeout.count())) != 1)
        return nullptr;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error)
        return nullptr;
    ::fcntl(descriptor, F_SETFL, 0);
    int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    connection->setReadTimeout(timeout);
    return connection;
}

void Connection::setReadTimeout(std::chrono::milliseconds timeout)
{
    timeval value { static_cast<time_t>(timeout.count() / 1000), static_cast<suseconds_t>(timeout.count() % 1000 * 1000) };
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

void Connection::shutdown() { ::shutdown(descriptor_, SHUT_RDWR); }

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        auto count = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool Connection::readMore()
{
    std::array<char, readBytes> bytes;
    auto count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (count <= 0)
        return false;
    buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Connection::readHead()
{
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore())
            return std::nullopt;
    }
    auto head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    return head;
}

std::optional<std::string> Connection::readLine()
{
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!readMore())
            return std::nullopt;
    }
    auto line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return line;
}

bool Connection::readLength(std::size_t length, std::string& body)
{
    while (buffer_.size() < length) {
        if (readMore())
            continue;
        body += buffer_;
        buffer_.clear();
        return false;
    }
    body += buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
}

bool Connection::readChunks(std::string& body)
{
    for (;;) {
        auto line = readLine();
        if (!line)
            return false;
        auto size = std::strtoul(line->c_str(), nullptr, 16);
        if (!size)
            return readLine().has_value();
        if (!readLength(size, body) || !readLine())
            return false;
    }
}

bool Connection::readBody(const Fields& fields, std::string& body)
{
    if (auto coding = fields.find("transfer-encoding"); coding != fields.end())
        return readChunks(body);
    if (auto length = fields.find("content-length"); length != fields.end())
        return readLength(std::strtoul(length->second.c_str(), nullptr, 10), body);
    return true;
}

std::optional<Request> Connection::readRequest()
{
    auto head = readHead();
    if (!head)
        return std::nullopt;
    Request request;
    auto first = parseHead(*head, request.fields);
    auto space = first.find(' ');
    request.method = first.substr(0, space);
    request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    if (!readBody(request.fields, request.body))
        return std::nullopt;
    return request;
}

std::optional<Response> Connection::readResponse()
{
    auto head = readHead();
    if (!head)
        return std::nullopt;
    Response response;
    auto first = parseHead(*head, response.fields);
    response.status = std::atoi(first.substr(std::min(first.size(), first.find(' ') + 1)).c_str());
    response.isComplete = readBody(response.fields, response.body);
    auto option = response.fields.find("connection");
    response.isKeepAlive = response.isComplete && (option == response.fields.end() || lower(option->second) != "close");
    return response;
}

std::optional<Response> call(const Address& address, const std::string& request, std::chrono::milliseconds timeout)
{
    auto connection = Connection::Make(address, timeout);
    if (!connection || !connection->write(request))
        return std::nullopt;
    return connection->readResponse();
}

static std::string fieldText(const Fields& fields, const std::string& body)
{
    std::string text;
    for (const auto& [name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string requestText(const std::string& method, const std::string& target, const Fields& fields, const std::string& body)
{
    return method + " " + target + " HTTP/1.1\r\n" + fieldText(fields, body);
}

std::string responseText(int status, const Fields& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fieldText(fields, body);
}

Server::Server(const Address& address, Handler handler)
    : handler_(std::move(handler))
    , descriptor_(bindTo(address))
{
    if (descriptor_ < 0)
        return;
    ::listen(descriptor_, backlog);
    thread_ = std::thread([this] { accept(); });
}

Server::~Server() { stop(); }

void Server::stop()
{
    if (isStopping_.exchange(true) || descriptor_ < 0)
        return;
    ::shutdown(descriptor_, SHUT_RDWR);
    thread_.join();
    ::close(descriptor_);
    std::list<Client> clients;
    {
        std::lock_guard lock(mutex_);
        clients.swap(clients_);
    }
    for (auto& client : clients)
        client.connection->shutdown();
    for (auto& client : clients)
        client.thread.join();
}

void Server::accept()
{
    while (!isStopping_) {
        int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        int one = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::lock_guard lock(mutex_);
        auto& client = clients_.emplace_back();
        client.connection = std::make_unique<Connection>(descriptor);
        client.thread = std::thread([this, connection = client.connection.get()] { serve(*connection); });
    }
}

void Server::serve(Connection& connection)
{
    while (!isStopping_) {
        auto request = connection.readRequest();
        if (!request || !handler_(*request, connection))
            break;
    }
    connection.shutdown();
}

int findFreePort(const std::list<std::string>& ips)
{
    static constexpr int firstPort = 21000;
    static constexpr int portCount = 9000;
    std::random_device random;
    for (;;) {
        int port = firstPort + static_cast<int>(random() % portCount);
        bool isFree = std::all_of(ips.begin(), ips.end(), [port](const std::string& ip) {
            int descriptor = bindTo({ ip, port });
            if (descriptor >= 0)
                ::close(descriptor);
            return descriptor >= 0;
        });
        if (isFree)
            return port;
    }
}

} // namespace review
