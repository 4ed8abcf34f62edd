#pragma once

// What the scripts of review/11 to review/15 share: starting and stopping the project's own
// programs, a small HTTP/1.1 client and server, the record, and stand-ins for the platform,
// the operator and runners that follow the users' pages.

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Exit codes of a case.
enum Verdict {
    held = 0,
    broken = 1,
    unusable = 2,
};

inline void pause(Milliseconds time) { std::this_thread::sleep_for(time); }

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// The lines of record.txt, with the seconds since the start of the case. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path, std::ios::trunc)
    {
    }
    void write(const std::string& line)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", std::chrono::duration<double>(Clock::now() - start_).count());
        file_ << time << line << std::endl;
    }

private:
    std::mutex mutex_;
    const Clock::time_point start_ = Clock::now();
    std::ofstream file_;
};

struct Address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

inline int listenAt(const Address& address)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto raw = socketAddress(address);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&raw), sizeof raw) || listen(descriptor, 256)) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

using Fields = std::map<std::string, std::string>;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// A request or a response. The names of the fields are in lower case.
struct Message {
    std::string start;
    Fields fields;
    std::string body;

    std::string field(const std::string& name, const std::string& fallback = "") const
    {
        auto found = fields.find(name);
        return found == fields.end() ? fallback : found->second;
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

// Reads messages with a Content-Length, or chunked ones, from a blocking socket.
class Reader {
public:
    explicit Reader(int descriptor)
        : descriptor_(descriptor)
    {
    }
    // Returns false at the end of the connection, or after the timeout of the socket.
    bool read(Message& message)
    {
        message = Message();
        std::string line;
        if (!readLine(message.start))
            return false;
        while (readLine(line)) {
            if (line.empty())
                return readBody(message);
            auto colon = line.find(':');
            auto value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            message.fields[lower(line.substr(0, colon))] = value;
        }
        return false;
    }

private:
    bool fill()
    {
        char part[16384];
        auto count = recv(descriptor_, part, sizeof part, 0);
        if (count <= 0)
            return false;
        buffer_.append(part, static_cast<std::size_t>(count));
        return true;
    }
    bool readLine(std::string& line)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n")) == std::string::npos) {
            if (!fill())
                return false;
        }
        line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }
    bool readBytes(std::size_t count, std::string& bytes)
    {
        while (buffer_.size() < count) {
            if (!fill())
                return false;
        }
        bytes += buffer_.substr(0, count);
        buffer_.erase(0, count);
        return true;
    }
    bool readBody(Message& message)
    {
        if (lower(message.field("transfer-encoding")) != "chunked")
            return readBytes(std::strtoul(message.field("content-length", "0").c_str(), nullptr, 10), message.body);
        std::string line;
        while (readLine(line)) {
            auto size = std::strtoul(line.c_str(), nullptr, 16);
            if (!size)
                return readLine(line);
            if (!readBytes(size, message.body) || !readLine(line))
                return false;
        }
        return false;
    }

    const int descriptor_;
    std::string buffer_;
};

inline bool sendAll(int descriptor, const std::string& bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        auto count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline void setTimeout(int descriptor, Milliseconds limit)
{
    timeval time { limit.count() / 1000, (limit.count() % 1000) * 1000 };
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
}

// Sends one request on a new connection. Returns no status if there is no whole response in
// time. Follows a 307 twice, as the callers of the operator's API do.
inline Message call(const Address& address, const std::string& method, const std::string& target, const std::string& body, const std::string& extraFields, Milliseconds limit, int redirections = 2)
{
    Message response;
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setTimeout(descriptor, limit);
    auto raw = socketAddress(address);
    auto request = method + " " + target + " HTTP/1.1\r\n" + extraFields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    bool isAnswered = !connect(descriptor, reinterpret_cast<sockaddr*>(&raw), sizeof raw) && sendAll(descriptor, request) && Reader(descriptor).read(response);
    close(descriptor);
    if (!isAnswered)
        return Message();
    if (response.status() != 307 || !redirections)
        return response;
    auto location = response.field("location").substr(std::strlen("http://"));
    auto colon = location.find(':');
    auto slash = location.find('/');
    if (colon == std::string::npos || slash == std::string::npos)
        return response;
    return call({ location.substr(0, colon), std::atoi(location.c_str() + colon + 1) }, method, location.substr(slash), body, extraFields, limit, redirections - 1);
}

inline std::string describe(const Message& response) { return response.status() ? std::to_string(response.status()) : "no response"; }

// Where a case runs: a free prefix of loopback addresses, a temporary folder, the repository.
struct Site {
    Site()
    {
        std::random_device random;
        for (int attempt = 0; attempt < 200 && prefix.empty(); ++attempt) {
            std::string candidate = "127." + std::to_string(100 + random() % 100) + "." + std::to_string(1 + random() % 250) + ".";
            if (isFree(candidate))
                prefix = candidate;
        }
        char path[] = "/tmp/arbutus-review-XXXXXX";
        if (char* made = mkdtemp(path))
            folder = made;
    }
    ~Site()
    {
        if (folder.empty())
            return;
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }
    Site(const Site&) = delete;
    Site& operator=(const Site&) = delete;

    static constexpr int controlPort = 8229;
    static constexpr int frontPort = 8227;
    static constexpr int readinessPort = 8220;
    static constexpr int runnerPort = 8120;

    bool isUsable() const { return !prefix.empty() && !folder.empty() && std::filesystem::exists("target/bin/arbutus-platform"); }
    std::string ip(int host) const { return prefix + std::to_string(host); }
    Address control(int host) const { return { ip(host), controlPort }; }
    Address front(int host) const { return { ip(host), frontPort }; }
    Address runner(int host) const { return { ip(host), runnerPort }; }

    std::string prefix;
    std::string folder;

private:
    static bool isFree(const std::string& candidate)
    {
        for (int port : { controlPort, frontPort, readinessPort, runnerPort, 7340, 7341 }) {
            int descriptor = listenAt({ candidate + "1", port });
            if (descriptor < 0)
                return false;
            close(descriptor);
        }
        return true;
    }
};

// One process of the project, started with the command of the deploy file.
class Process {
public:
    Process(const Site& site, Record& record, std::string name, std::string role, int host)
        : site_(site)
        , record_(record)
        , name_(std::move(name))
        , role_(std::move(role))
        , host_(host)
    {
    }
    ~Process()
    {
        if (isAlive()) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
    }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    // The platform writes the settings anew at every start.
    void start(const std::vector<int>& seeds, bool isBootstrap)
    {
        auto path = site_.folder + "/" + name_ + ".json";
        std::ofstream(path) << settings(seeds, isBootstrap);
        auto log = site_.folder + "/" + name_ + ".log";
        record_.write("platform: starts " + name_ + " (" + role_ + ", " + site_.ip(host_) + ", bootstrap " + (isBootstrap ? "true" : "false") + ")");
        pid_ = fork();
        if (pid_)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(descriptor, STDOUT_FILENO);
        dup2(descriptor, STDERR_FILENO);
        setenv("ARBUTUSSHUNT_NODE_FILE", path.c_str(), 1);
        setenv("ARBUTUS_CLUSTER_KEY", "one-deployment-one-secret", 1);
        execl("target/bin/arbutus-platform", "target/bin/arbutus-platform", role_.c_str(), nullptr);
        _exit(127);
    }
    void end(int signal)
    {
        if (!isAlive())
            return;
        record_.write("platform: sends signal " + std::to_string(signal) + " to " + name_);
        kill(pid_, signal);
        for (int i = 0; i < 1000 && isAlive(); ++i)
            pause(Milliseconds(10));
    }
    void signal(int number)
    {
        record_.write("platform: sends signal " + std::to_string(number) + " to " + name_);
        kill(pid_, number);
    }
    // The machine loses its disk; only while the process is down.
    void loseDisk()
    {
        std::error_code ignored;
        std::filesystem::remove_all(site_.folder + "/data-" + name_, ignored);
        record_.write("platform: the disk of " + name_ + " is lost");
    }
    // Tells the process that the settings file has changed.
    void reload(const std::vector<int>& seeds)
    {
        std::ofstream(site_.folder + "/" + name_ + ".json") << settings(seeds, false);
        record_.write("platform: changes the seeds of " + name_ + " and sends SIGHUP");
        kill(pid_, SIGHUP);
    }
    bool isAlive()
    {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
            pid_ = -1;
        return pid_ > 0;
    }

private:
    std::string settings(const std::vector<int>& seeds, bool isBootstrap) const
    {
        std::string list;
        for (int seed : seeds)
            list += (list.empty() ? "\"" : ",\"") + site_.control(seed).text() + "\"";
        auto ip = site_.ip(host_);
        bool isFront = role_ == "entry";
        auto listen = isFront ? "\"front\":\"" + ip + ":8227\",\"readiness\":\"" + ip + ":8220\"" : "\"control\":\"" + ip + ":8229\"";
        std::string limits = isFront ? "{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0}" : "{\"cpu_share\":0.15,\"cores\":1,\"memory_mb\":256,\"max_fds\":4096,\"link_mbps\":1000.0,\"disk_mb\":128}";
        auto data = isFront ? std::string("null") : "\"" + site_.folder + "/data-" + name_ + "\"";
        return "{\"node_name\":\"" + name_ + "\",\"role\":\"" + role_ + "\",\"machine_class\":\"" + (isFront ? "front" : "core") + "\",\"serves\":[\"" + (isFront ? "front" : "control") + "\"],\"ip\":\"" + ip + "\",\"zone\":\"caxias\",\"region\":\"sul\",\"zones\":{\"caxias\":\"sul\"},\"listen\":{" + listen + "},\"internal_ports\":[7340,7355],\"seeds\":[" + list + "],\"bootstrap\":" + (isBootstrap ? "true" : "false") + ",\"in_tolerance\":" + (isFront ? "false" : "true") + ",\"limits\":" + limits + ",\"data_dir\":" + data + ",\"discovery\":\"registration\",\"entry\":\"vip\",\"heartbeat_ms\":1200,\"fault_tolerance\":{\"machines\":1,\"zones\":0,\"regions\":0},\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_timeout_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"outer_ms\":5000,\"revoke_strict\":false,\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"budget_slack\":202,\"recovery_s\":12,\"pass_ms\":120,\"retry_after_s\":0,\"stall_ms\":2000,\"require_fencing\":false},\"config_mode\":\"highest\"}";
    }

    const Site& site_;
    Record& record_;
    const std::string name_;
    const std::string role_;
    const int host_;
    pid_t pid_ = -1;
};

// The operator: sends a configuration to one node after the other until it is acknowledged.
inline bool sendConfiguration(Record& record, const std::vector<Address>& controls, const std::string& document, Milliseconds patience)
{
    auto end = Clock::now() + patience;
    std::string last;
    while (Clock::now() < end) {
        for (const auto& control : controls) {
            auto answer = call(control, "POST", "/arbutusshunt/Config.Replace", document, "Content-Type: application/json\r\n", Milliseconds(1000));
            auto line = "operator: Config.Replace at " + control.text() + ": " + describe(answer);
            if (line != last)
                record.write(line);
            last = line;
            if (answer.status() == 200)
                return true;
        }
        pause(Milliseconds(100));
    }
    return false;
}

// What a configuration holds beside the service "orders" on its first routes, /order/ (unsafe)
// and /look/ (safe).
struct Additions {
    // A plain service "stock" on the route /stock/ (safe).
    bool hasStock = false;
    // The engine of a service "model" on the route /draft/ (streaming); empty for none.
    std::string engine;
    // The service of the route /look/; "stock" needs hasStock.
    std::string lookService = "orders";
    std::string key = "n2ctnfzs989anu6wsjnb";
};

inline std::string configuration(int version, const Additions& additions = {})
{
    std::string routes = R"({"name":"r-order","host":"ficu95.example","path_prefix":"/order/","route_type":"unsafe","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"orders","max_attempts":1,"public":false},{"name":"r-look","host":"ficu95.example","path_prefix":"/look/","route_type":"safe","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":")" + additions.lookService + R"(","max_attempts":2,"public":false})";
    std::string services = R"({"name":"orders","health_check":"/healthz","max_connections":110,"protocol":"h1","tls":false})";
    if (additions.hasStock) {
        routes += R"(,{"name":"r-stock","host":"ficu95.example","path_prefix":"/stock/","route_type":"safe","timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"stock","max_attempts":2,"public":false})";
        services += R"(,{"name":"stock","health_check":"/healthz","max_connections":110,"protocol":"h1","tls":false})";
    }
    if (!additions.engine.empty()) {
        routes += R"(,{"name":"r-draft","host":"ficu95.example","path_prefix":"/draft/","route_type":"streaming","timeout_ms":20000,"target_latency_ms":500,"priority":1,"service":"model","max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,"target_gap_ms":200})";
        services += R"(,{"name":"model","health_check":"/healthz","max_connections":1078,"protocol":"h1","tls":false,"engine":)" + additions.engine + "}";
    }
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes + "],\"services\":[" + services + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":[")" + additions.key + R"("],"priority":1}]})";
}

// A client's request on a new connection.
inline Message request(const Address& front, const std::string& method, const std::string& target, const std::string& id, const std::string& key = "n2ctnfzs989anu6wsjnb")
{
    bool isStream = target.rfind("/draft/", 0) == 0;
    const std::string body = method == "POST" ? "coil=2" : "";
    auto fields = "Host: ficu95.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + (isStream ? "20000" : "1000") + "\r\nAuthorization: Bearer " + key + "\r\n" + (isStream ? "X-Model: daka510000\r\nX-Token-Count: 760,60\r\n" : "");
    return call(front, method, target, body, fields, Milliseconds(isStream ? 5000 : 1500));
}

// A runner: sends heartbeats to one control VM after the other and answers requests.
class Runner {
public:
    struct Options {
        std::string id;
        std::string service = "orders";
        Address address;
        int slots = 6;
        // The kind of accelerator; empty for a plain service.
        std::string accelerator;
        // Its memory, and that of one layer.
        int megabytes = 0;
        int layerMegabytes = 0;
        // Whether it keeps its connections to control VMs between calls.
        bool keepsConnections = false;
    };

    Runner(Record& record, std::vector<Address> controls, Options options)
        : record_(record)
        , controls_(std::move(controls))
        , options_(std::move(options))
        , listener_(listenAt(options_.address))
    {
        record_.write("runner " + options_.id + " (" + options_.service + (options_.accelerator.empty() ? "" : ", " + options_.accelerator + ", " + std::to_string(options_.megabytes) + " MB") + ") starts at " + options_.address.text());
        threads_.emplace_back([this] { accept(); });
        threads_.emplace_back([this] { beat(); });
    }
    ~Runner() { end(); }
    Runner(const Runner&) = delete;
    Runner& operator=(const Runner&) = delete;

    bool isUsable() const { return listener_ >= 0; }
    // Ends without a word, as a crash does.
    void end()
    {
        if (isEnded_.exchange(true))
            return;
        record_.write("runner " + options_.id + " ends");
        shutdown(listener_, SHUT_RDWR);
        {
            std::lock_guard<std::mutex> lock(mutex_);
            for (int descriptor : open_)
                shutdown(descriptor, SHUT_RDWR);
        }
        for (auto& thread : threads_)
            thread.join();
        for (auto& thread : connections_)
            thread.join();
        for (auto& [control, descriptor] : kept_) {
            if (descriptor)
                close(descriptor);
        }
        close(listener_);
    }
    // Reports `draining` from now on. Returns whether that was acknowledged in time.
    bool drain(Milliseconds patience)
    {
        record_.write("runner " + options_.id + ": drains");
        isDraining_ = true;
        auto end = Clock::now() + patience;
        while (!isDrainAcknowledged_ && Clock::now() < end)
            pause(Milliseconds(20));
        return isDrainAcknowledged_;
    }
    // Sends no more heartbeats, and its departure to one control VM after the other until one
    // of them acknowledges it. Returns whether one did.
    bool deregister()
    {
        isDeparting_ = true;
        std::lock_guard<std::mutex> lock(controlMutex_);
        for (const auto& control : controls_) {
            auto answer = callControl(control, "/arbutusshunt/Instances.Deregister/" + options_.id, "");
            record_.write("runner " + options_.id + ": Instances.Deregister at " + control.text() + ": " + describe(answer));
            if (answer.status() / 100 == 2)
                return true;
        }
        return false;
    }
    // The heartbeats that a control VM has acknowledged.
    int acknowledged() const { return acknowledged_; }
    // Whether a request with this id has run here.
    bool hasRun(const std::string& id)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return ids_.count(id) > 0;
    }
    // The orders to hold more layers than the memory holds.
    int excessiveOrders() const { return excessiveOrders_; }
    std::pair<int, int> layers()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return layers_;
    }

private:
    std::string heartbeat()
    {
        auto [from, target] = layers();
        std::string engine;
        if (!options_.accelerator.empty())
            engine = ",\"stage\":\"unified\",\"models\":[],\"route_type\":\"" + options_.accelerator + "\",\"layers\":" + layersText(from, target);
        return "{\"service\":\"" + options_.service + "\",\"address\":\"" + options_.address.text() + "\",\"zone\":\"caxias\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) + ",\"state\":\"" + (isDraining_ ? "draining" : "ready") + "\",\"cold_remaining_ms\":0,\"seq\":" + std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_) + engine + "}";
    }
    static std::string layersText(int from, int target) { return "{\"from\":" + std::to_string(from) + ",\"target\":" + std::to_string(target) + ",\"version\":1}"; }
    void beat()
    {
        for (std::size_t turn = 0; !isEnded_ && !isDeparting_; ++turn) {
            {
                std::lock_guard<std::mutex> lock(controlMutex_);
                beatOnce(turn);
            }
            for (int i = 0; i < 24 && !isEnded_ && !isDeparting_; ++i)
                pause(Milliseconds(50));
        }
    }
    void beatOnce(std::size_t turn)
    {
        for (std::size_t i = 0; i < controls_.size() && !isEnded_ && !isDeparting_; ++i) {
            const auto& control = controls_[(turn + i) % controls_.size()];
            bool isDraining = isDraining_;
            auto answer = callControl(control, "/arbutusshunt/Instances.Heartbeat/" + options_.id, heartbeat());
            if (answer.status() / 100 != 2)
                continue;
            if (!acknowledged_++)
                record_.write("runner " + options_.id + ": its first heartbeat is acknowledged");
            if (isDraining && !isDrainAcknowledged_.exchange(true))
                record_.write("runner " + options_.id + ": draining is acknowledged");
            return;
        }
    }
    // The call has failed if there is no answer within a second.
    Message callControl(const Address& control, const std::string& target, const std::string& body)
    {
        static constexpr Milliseconds limit(1000);
        const std::string type = body.empty() ? "" : "Content-Type: application/json\r\n";
        if (!options_.keepsConnections)
            return call(control, "POST", target, body, type, limit);
        auto& descriptor = kept_[control.text()];
        if (!descriptor) {
            descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            setTimeout(descriptor, limit);
            auto raw = socketAddress(control);
            if (connect(descriptor, reinterpret_cast<sockaddr*>(&raw), sizeof raw)) {
                close(std::exchange(descriptor, 0));
                return Message();
            }
        }
        Message response;
        bool isAnswered = sendAll(descriptor, "POST " + target + " HTTP/1.1\r\n" + type + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body) && Reader(descriptor).read(response);
        if (isAnswered)
            return response;
        // An orderly close: what was sent is still delivered.
        close(std::exchange(descriptor, 0));
        return Message();
    }
    void accept()
    {
        while (!isEnded_) {
            int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            std::lock_guard<std::mutex> lock(mutex_);
            open_.push_back(descriptor);
            connections_.emplace_back([this, descriptor] { serve(descriptor); });
        }
    }
    void serve(int descriptor)
    {
        Reader reader(descriptor);
        Message message;
        while (!isEnded_ && reader.read(message) && sendAll(descriptor, answer(message))) { }
        std::lock_guard<std::mutex> lock(mutex_);
        open_.erase(std::remove(open_.begin(), open_.end(), descriptor), open_.end());
        close(descriptor);
    }
    static std::string response(const std::string& status, const std::string& fields, const std::string& body)
    {
        return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::string answer(const Message& message)
    {
        if (message.start.find(" /healthz ") != std::string::npos)
            return response("200 OK", "X-Instance-Id: " + options_.id + "\r\n", "");
        if (message.field("x-expect-instance", options_.id) != options_.id)
            return response("421 Misdirected Request", "X-Not-Executed: 1\r\nX-Request-Id: " + message.field("x-request-id") + "\r\n", "");
        if (message.start.find(" /arbutusshunt/report ") != std::string::npos)
            return response("200 OK", "Content-Type: application/json\r\n", report());
        if (message.start.find(" /arbutusshunt/order ") != std::string::npos)
            return takeOrder(message.body);
        {
            std::lock_guard<std::mutex> lock(mutex_);
            ids_.insert(message.field("x-request-id"));
        }
        record_.write("runner " + options_.id + " (" + options_.service + "): runs " + message.field("x-request-id"));
        if (!options_.accelerator.empty())
            return response("200 OK", "Content-Type: text/event-stream\r\nX-Request-Id: " + message.field("x-request-id") + "\r\nX-Response-Signature: 3e1b.07\r\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        pause(Milliseconds(15));
        return response("200 OK", "X-Request-Id: " + message.field("x-request-id") + "\r\nX-Response-Signature: 3e1b.07\r\n", "done " + message.field("x-request-id"));
    }
    std::string report()
    {
        auto [from, target] = layers();
        return "{\"stage\":\"unified\",\"models\":[],\"busy\":false,\"seq\":" + std::to_string(orders_) + ",\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":1000000,\"handles\":0,\"pace\":1.0,\"route_type\":\"" + options_.accelerator + "\",\"layers\":" + layersText(from, target) + "}";
    }
    static int number(const std::string& body, const std::string& name)
    {
        auto at = body.find("\"" + name + "\":");
        return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + name.size() + 3);
    }
    std::string takeOrder(const std::string& body)
    {
        ++orders_;
        int from = number(body, "from");
        int target = number(body, "target");
        int needed = (target - from) * options_.layerMegabytes;
        bool fits = needed <= options_.megabytes;
        record_.write("runner " + options_.id + " (" + options_.accelerator + "): is ordered " + body + ", which takes " + std::to_string(needed) + " MB of " + std::to_string(options_.megabytes) + " MB" + (fits ? "" : ": more than it holds"));
        if (fits) {
            std::lock_guard<std::mutex> lock(mutex_);
            layers_ = { from, target };
        } else {
            ++excessiveOrders_;
        }
        return response("202 Accepted", "", "");
    }

    Record& record_;
    const std::vector<Address> controls_;
    const Options options_;
    const int listener_;
    const std::int64_t born_ = unixMilliseconds();
    std::uint64_t sequence_ = 0;
    std::atomic<bool> isEnded_ { false };
    std::atomic<bool> isDraining_ { false };
    std::atomic<bool> isDrainAcknowledged_ { false };
    std::atomic<bool> isDeparting_ { false };
    std::mutex controlMutex_;
    // The kept connections to control VMs; 0 if there is none.
    std::map<std::string, int> kept_;
    std::atomic<int> acknowledged_ { 0 };
    std::atomic<int> orders_ { 0 };
    std::atomic<int> excessiveOrders_ { 0 };
    std::mutex mutex_;
    std::pair<int, int> layers_ { 0, 0 };
    std::vector<int> open_;
    std::set<std::string> ids_;
    std::vector<std::thread> threads_;
    std::vector<std::thread> connections_;
};

// Counts what clients got for requests that are sent one after the other.
struct Tally {
    int served = 0;
    int refused = 0;
    int failed = 0;

    int total() const { return served + refused + failed; }
    std::string text() const { return std::to_string(served) + " served, " + std::to_string(refused) + " refused with 503, " + std::to_string(failed) + " with another answer or none"; }
};

inline Tally sendRequests(Record& record, const std::vector<Address>& fronts, const std::string& method, const std::string& target, const std::string& label, int count, Milliseconds gap)
{
    Tally tally;
    for (int i = 0; i < count; ++i) {
        auto id = label + "-" + std::to_string(i);
        auto answer = request(fronts[static_cast<std::size_t>(i) % fronts.size()], method, target, id);
        record.write("client: " + id + " " + method + " " + target + ": " + describe(answer));
        ++(answer.status() == 200 ? tally.served : answer.status() == 503 ? tally.refused
                                                                          : tally.failed);
        pause(gap);
    }
    record.write("client: " + label + ": " + tally.text());
    return tally;
}

// CONFIG: 20 or more requests on routes that were added later, which are served less than a
// quarter as often as those on the first routes.
inline bool areAddedRoutesNeglected(const Tally& first, const Tally& added)
{
    return added.total() >= 20 && 4 * added.served * first.total() < first.served * added.total();
}

// Whether the case plays its disruption.
inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

inline int finish(Record& record, Verdict verdict, const std::string& reason)
{
    static const char* names[] = { "the rule held", "the rule was broken", "the case could not run" };
    record.write(std::string(names[verdict]) + ": " + reason);
    std::printf("%s: %s\n", names[verdict], reason.c_str());
    return verdict;
}

} // namespace rig
