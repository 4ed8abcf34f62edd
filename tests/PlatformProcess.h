#pragma once

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace arbutus {

// A process of the built arbutus-platform; killed at the end.
class PlatformProcess {
public:
    // A `descriptorLimit` of 0 leaves the limit of the test process.
    PlatformProcess(const std::string& role, const std::string& settingsPath, const std::string& logPath, rlim_t descriptorLimit)
        : pid_(::fork())
    {
        BOOST_REQUIRE(pid_ >= 0);
        if (pid_)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (descriptorLimit) {
            rlimit limit { descriptorLimit, descriptorLimit };
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::dup2(log, STDERR_FILENO);
        ::close(log);
        auto settings = "--settings=" + settingsPath;
        ::execl(ARBUTUS_PLATFORM_PROGRAM, "arbutus-platform", settings.c_str(), "--cluster-key=key", role.c_str(), nullptr);
        ::_exit(127);
    }
    ~PlatformProcess()
    {
        if (!isAlive())
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    PlatformProcess(const PlatformProcess&) = delete;
    PlatformProcess& operator=(const PlatformProcess&) = delete;

    bool isAlive()
    {
        hasExited_ = hasExited_ || ::waitpid(pid_, nullptr, WNOHANG) == pid_;
        return !hasExited_;
    }
    // Returns the highest resident size since the start.
    std::size_t peakKilobytes() const
    {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        std::string word;
        std::size_t result = 0;
        while (status >> word) {
            if (word == "VmHWM:")
                status >> result;
        }
        return result;
    }
    std::size_t descriptorCount() const
    {
        std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/fd");
        return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }

private:
    const pid_t pid_;
    bool hasExited_ = false;
};

inline sockaddr_in socketAddress(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// A caller's connection that never blocks. Sends `message` in pieces of at most
// `pieceBytes` and collects the answer, or leaves it unread.
class RawCaller {
public:
    RawCaller(const sockaddr_in& address, std::shared_ptr<const std::string> message, std::size_t pieceBytes, bool reads)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
        , message_(std::move(message))
        , pieceBytes_(pieceBytes)
        , reads_(reads)
    {
        int smallBuffer = 4096;
        if (!reads_)
            ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer);
        bool isRefused = ::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) && errno != EINPROGRESS;
        hasEnded_ = isRefused;
    }
    ~RawCaller() { ::close(socket_); }
    RawCaller(const RawCaller&) = delete;
    RawCaller& operator=(const RawCaller&) = delete;

    // A negative descriptor is ignored by poll().
    pollfd interest() const { return { hasEnded_ ? -1 : socket_, static_cast<short>((reads_ ? POLLIN : 0) | (sent_ < message_->size() ? POLLOUT : 0)), 0 }; }
    // Returns whether any byte was sent or received.
    bool handle(short events)
    {
        auto before = sent_ + received_.size();
        if ((events & POLLOUT) && sent_ < message_->size())
            record(::send(socket_, message_->data() + sent_, std::min(pieceBytes_, message_->size() - sent_), MSG_NOSIGNAL), sent_);
        if (events & POLLIN) {
            std::string buffer(std::size_t { 64 } << 10, '\0');
            std::size_t count = 0;
            record(::recv(socket_, buffer.data(), buffer.size(), 0), count);
            received_.append(buffer, 0, count);
            hasEnded_ = hasEnded_ || !count;
        }
        hasEnded_ = hasEnded_ || (events & (POLLERR | POLLHUP));
        return sent_ + received_.size() > before;
    }
    bool hasEnded() const { return hasEnded_; }
    const std::string& received() const { return received_; }

private:
    void record(ssize_t result, std::size_t& total)
    {
        if (result >= 0)
            total += static_cast<std::size_t>(result);
        else if (errno != EAGAIN && errno != ENOTCONN)
            hasEnded_ = true;
    }

    const int socket_;
    const std::shared_ptr<const std::string> message_;
    const std::size_t pieceBytes_;
    const bool reads_;
    std::size_t sent_ = 0;
    std::string received_;
    bool hasEnded_ = false;
};

} // namespace arbutus
