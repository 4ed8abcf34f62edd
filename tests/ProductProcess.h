#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace arbutus::test {

inline sockaddr_in loopbackEndpoint(const std::string& address, std::uint16_t port)
{
    sockaddr_in endpoint {};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
    return endpoint;
}

// Returns a connected socket, or -1.
inline int connectTo(const sockaddr_in& endpoint)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) == 0)
        return socket;
    ::close(socket);
    return -1;
}

// A process of the product with a folder of its own. Killed by its id at the end.
class ProductProcess {
public:
    // `arguments` follow the program's name; "FOLDER" in them stands for the folder.
    ProductProcess(const std::string& program, std::vector<std::string> arguments, const std::string& address, std::uint16_t port)
        : endpoint_(loopbackEndpoint(address, port))
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "arbutus-XXXXXX").string();
        folder_ = ::mkdtemp(pattern.data());
        writeFile("cluster.key", "cluster-key-of-the-test-process-1");
        writeFile("admin.token", "operator-token");
        writeFile("team.tokens", "team-token fiere\n");
        arguments.insert(arguments.begin(), (std::filesystem::read_symlink("/proc/self/exe").parent_path() / program).string());
        std::vector<char*> argv;
        for (auto& argument : arguments) {
            if (auto at = argument.find("FOLDER"); at != std::string::npos)
                argument.replace(at, 6, folder_);
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        std::string log = folder_ + "/log";
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        int error = ::posix_spawn(&id_, argv[0], &actions, nullptr, argv.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        if (error)
            throw std::runtime_error("cannot start " + arguments[0]);
        awaitListener();
    }

    ProductProcess(const ProductProcess&) = delete;
    ProductProcess& operator=(const ProductProcess&) = delete;

    ~ProductProcess()
    {
        if (isAlive()) {
            ::kill(id_, SIGKILL);
            ::waitpid(id_, nullptr, 0);
        }
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    const sockaddr_in& endpoint() const { return endpoint_; }

    bool isAlive()
    {
        if (!hasEnded_)
            hasEnded_ = ::waitpid(id_, nullptr, WNOHANG) == id_;
        return !hasEnded_;
    }

    // Peak resident size; 0 if the process has ended.
    std::size_t peakKilobytes() const
    {
        std::ifstream status("/proc/" + std::to_string(id_) + "/status");
        for (std::string word; status >> word;) {
            std::size_t size = 0;
            if (word == "VmHWM:" && status >> size)
                return size;
        }
        return 0;
    }

    std::size_t descriptorCount() const
    {
        std::filesystem::directory_iterator entries("/proc/" + std::to_string(id_) + "/fd");
        return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

    // Waits until the process has read what its callers sent, or reads no more: until the
    // bytes in the kernel's receive queues of its connections no longer change.
    void awaitQuietSockets() const
    {
        std::size_t previous = std::string::npos;
        for (auto queued = queuedBytes(); queued != previous; queued = queuedBytes()) {
            previous = queued;
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }
    }

    // Returns the status of the response, or 0 without one.
    int get(const std::string& path) const
    {
        int socket = connectTo(endpoint_);
        if (socket < 0)
            return 0;
        timeval limit { 20, 0 };
        ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        std::string request = "GET " + path + " HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
        char status[12];
        bool isAnswered = ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size())
            && ::recv(socket, status, sizeof status, MSG_WAITALL) == sizeof status;
        ::close(socket);
        return isAnswered ? std::stoi(std::string(status + 9, 3)) : 0;
    }

private:
    std::size_t queuedBytes() const
    {
        char local[16];
        std::snprintf(local, sizeof local, "%08X:%04X", endpoint_.sin_addr.s_addr, ntohs(endpoint_.sin_port));
        std::size_t sum = 0;
        std::ifstream table("/proc/net/tcp");
        for (std::string line, number, address, peer, state, queues; std::getline(table, line);) {
            std::istringstream(line) >> number >> address >> peer >> state >> queues;
            if (address == local)
                sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
        return sum;
    }

    void writeFile(const std::string& name, const std::string& text) const { std::ofstream(folder_ + "/" + name) << text; }

    void awaitListener()
    {
        for (int attempt = 0; attempt < 400 && isAlive(); ++attempt) {
            if (get("/healthz") == 200)
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        throw std::runtime_error("the process does not answer");
    }

    std::string folder_;
    sockaddr_in endpoint_;
    pid_t id_ = 0;
    bool hasEnded_ = false;
};

// A loopback address that differs between test programs that run at the same time.
inline std::string processAddress()
{
    auto id = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(80 + id % 40) + "." + std::to_string(id / 40 % 250) + ".10";
}

// An entry VM without a reachable replica.
inline ProductProcess startEntry()
{
    return { "arbutus-entry",
        { "--id=entry-1", "--address=" + processAddress(), "--data-centre=catania", "--replicas=127.0.0.1:9:9", "--cluster-key-file=FOLDER/cluster.key",
            "--admin-token-file=FOLDER/admin.token", "--team-tokens-file=FOLDER/team.tokens", "--placement=off" },
        processAddress(), 8080 };
}

// The only replica of a deployment.
inline ProductProcess startState()
{
    return { "arbutus-state",
        { "--replica=1", "--address=" + processAddress(), "--data-folder=FOLDER/state", "--peers=1:" + processAddress() + ":8181", "--cluster-key-file=FOLDER/cluster.key",
            "--admin-token-file=FOLDER/admin.token" },
        processAddress(), 8182 };
}

// Connections that all send the same bytes and stay open. Whatever they receive is
// discarded.
class Crowd {
public:
    Crowd(const sockaddr_in& endpoint, std::size_t count, std::string message)
        : message_(std::move(message))
    {
        for (std::size_t i = 0; i < count; ++i) {
            if (int socket = connectTo(endpoint); socket >= 0)
                callers_.push_back({ { socket, POLLIN | POLLOUT, 0 }, 0 });
        }
    }

    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    ~Crowd()
    {
        for (const auto& caller : callers_)
            ::close(caller.poll.fd);
    }

    // Each connection in turn sends up to `bytesPerTurn` bytes, until all have sent
    // everything or nothing happens for a while.
    void send(std::size_t bytesPerTurn)
    {
        for (;;) {
            std::vector<pollfd> polls;
            for (const auto& caller : callers_)
                polls.push_back(caller.poll);
            if (::poll(polls.data(), polls.size(), quietMilliseconds) <= 0)
                return;
            for (std::size_t i = 0; i < polls.size(); ++i)
                serve(callers_[i], polls[i].revents, bytesPerTurn);
        }
    }

    std::size_t sentBytes() const
    {
        std::size_t sum = 0;
        for (const auto& caller : callers_)
            sum += caller.offset;
        return sum;
    }

private:
    static constexpr int quietMilliseconds = 2000;

    struct Caller {
        pollfd poll;
        std::size_t offset;
    };

    void serve(Caller& caller, short events, std::size_t bytesPerTurn)
    {
        char buffer[16384];
        bool hasEnded = (events & (POLLERR | POLLHUP)) || ((events & POLLIN) && ::recv(caller.poll.fd, buffer, sizeof buffer, MSG_DONTWAIT) == 0);
        if (hasEnded) {
            caller.poll.fd = endOf(caller);
        } else if (events & POLLOUT) {
            auto sent = ::send(caller.poll.fd, message_.data() + caller.offset, std::min(bytesPerTurn, message_.size() - caller.offset), MSG_DONTWAIT | MSG_NOSIGNAL);
            if (sent > 0)
                caller.offset += static_cast<std::size_t>(sent);
            if (caller.offset == message_.size())
                caller.poll.events = POLLIN;
        }
    }

    static int endOf(const Caller& caller)
    {
        ::close(caller.poll.fd);
        return -1;
    }

    const std::string message_;
    std::vector<Caller> callers_;
};

} // namespace arbutus::test
