#include "review/standins/Deployment.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

static constexpr std::chrono::milliseconds graceTime(8000);
static constexpr std::chrono::milliseconds callTimeout(1000);
static constexpr std::chrono::milliseconds heartbeatInterval(1200);
static constexpr std::chrono::milliseconds retryDelay(100);
static constexpr std::chrono::seconds startLimit(25);
static constexpr std::size_t maxSeeds = 3;
static constexpr const char* program = "target/bin/arbutus-platform";

static void pause(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

Process::Process(std::string role, std::string settingsPath, std::string logPath)
    : role_(std::move(role))
    , settingsPath_(std::move(settingsPath))
    , logPath_(std::move(logPath))
{
}

Process::~Process()
{
    signal(SIGKILL);
    waitForEnd(graceTime);
}

void Process::start()
{
    std::string settings = "ARBUTUSSHUNT_NODE_FILE=" + settingsPath_;
    std::string key = "ARBUTUS_CLUSTER_KEY=one-deployment-one-secret";
    std::string path = "PATH=/usr/bin:/bin";
    std::string command = program;
    std::string role = role_;
    pid_ = ::fork();
    if (pid_)
        return;
    // The case ends its processes, also if it is killed itself.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int log = ::open(logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    char* arguments[] = { command.data(), role.data(), nullptr };
    char* environment[] = { settings.data(), key.data(), path.data(), nullptr };
    ::execve(program, arguments, environment);
    ::_exit(127);
}

void Process::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

bool Process::isRunning()
{
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_)
        pid_ = -1;
    return pid_ > 0;
}

bool Process::waitForEnd(std::chrono::milliseconds timeout)
{
    for (auto end = steadyNow() + timeout; isRunning(); pause(std::chrono::milliseconds(5))) {
        if (steadyNow() >= end)
            return false;
    }
    return true;
}

Deployment::Deployment(Record& record, std::string folder, int controlCount, int entryCount)
    : record_(record)
    , folder_(std::move(folder))
{
    std::list<std::string> ips;
    for (int i = 1; i <= controlCount; ++i)
        controls_.push_back({ "core-" + std::to_string(i), "127.77.1." + std::to_string(i), nullptr });
    for (int i = 1; i <= entryCount; ++i)
        entries_.push_back({ "front-" + std::to_string(i), "127.77.2." + std::to_string(i), nullptr });
    for (const auto* nodes : { &controls_, &entries_ }) {
        for (const auto& node : *nodes)
            ips.push_back(node.ip);
    }
    controlPort_ = findFreePort(ips);
    internalPort_ = findFreePort(ips);
    frontPort_ = findFreePort(ips);
    readinessPort_ = findFreePort(ips);
}

void Deployment::writeSettings(const Node& node, bool isEntry, bool isBootstrap) const
{
    // The operator's list has the processes that run, and those that start with this one.
    std::string seeds;
    std::size_t seedCount = 0;
    for (std::size_t i = 0; i < controls_.size() && seedCount < maxSeeds; ++i) {
        if (isBootstrap || controls_[i].process->isRunning() || controls_[i].name == node.name)
            seeds += (seedCount++ ? ",\"" : "\"") + controlAddress(i).text() + "\"";
    }
    std::string listen = isEntry ? R"("front":")" + node.ip + ":" + std::to_string(frontPort_) + R"(","readiness":")" + node.ip + ":" + std::to_string(readinessPort_) + "\""
                                 : R"("control":")" + node.ip + ":" + std::to_string(controlPort_) + "\"";
    std::string data = isEntry ? "null" : "\"" + dataFolder(node) + "\"";
    std::ofstream file(settingsPath(node));
    file << R"({"node_name":")" << node.name << R"(","role":")" << (isEntry ? "entry" : "control") << R"(","machine_class":")" << (isEntry ? "front" : "core")
         << R"(","serves":[")" << (isEntry ? "front" : "control") << R"("],"ip":")" << node.ip << R"(","zone":"catania","region":"sicilia","zones":{"catania":"sicilia"},"listen":{)" << listen
         << R"(},"internal_ports":[)" << internalPort_ << "," << internalPort_ + 15 << R"(],"seeds":[)" << seeds << R"(],"bootstrap":)" << (isBootstrap ? "true" : "false")
         << R"(,"in_tolerance":)" << (isEntry ? "false" : "true") << R"(,"limits":{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":)" << (isEntry ? 0 : 128)
         << R"(},"data_dir":)" << data << R"(,"discovery":"registration","entry":"vip","heartbeat_ms":1200,)"
         << R"("contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","layers"],"fault_tolerance":{"machines":1,"zones":0,"regions":0},)"
         << R"("bounds":{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_timeout_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,)"
         << R"("rollback_slack_ms":250,"outer_ms":5000,"revoke_strict":false,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":198,"recovery_s":12,"pass_ms":120,)"
         << R"("retry_after_s":0,"stall_ms":2000,"require_fencing":false},"config_mode":"highest"})" << std::endl;
}

bool Deployment::start(const std::string& configuration)
{
    for (auto* nodes : { &controls_, &entries_ }) {
        bool isEntry = nodes == &entries_;
        for (auto& node : *nodes) {
            writeSettings(node, isEntry, true);
            node.process = std::make_unique<Process>(isEntry ? "entry" : "control", settingsPath(node), folder_ + "/" + node.name + ".log");
            node.process->start();
        }
    }
    record_.line("started " + std::to_string(controls_.size()) + " control and " + std::to_string(entries_.size()) + " entry processes");
    auto end = steadyNow() + startLimit;
    while (!replaceConfiguration(configuration)) {
        if (steadyNow() >= end)
            return false;
        pause(retryDelay);
    }
    for (const auto& entry : entries_) {
        for (; !isReady(entry); pause(retryDelay)) {
            if (steadyNow() >= end)
                return false;
        }
    }
    record_.line("the first configuration is acknowledged and all entry processes are ready");
    return true;
}

void Deployment::restart(Node& node)
{
    writeSettings(node, node.name.rfind("front", 0) == 0, false);
    node.process->start();
    record_.line(node.name + " is started again");
}

Deployment::Node& Deployment::addControl()
{
    auto number = std::to_string(controls_.size() + 1);
    auto& node = controls_.emplace_back(Node { "core-" + number, "127.77.1." + number, nullptr });
    node.process = std::make_unique<Process>("control", settingsPath(node), folder_ + "/" + node.name + ".log");
    restart(node);
    return node;
}

void Deployment::loseDisk(Node& node, std::chrono::milliseconds downTime)
{
    node.process->signal(SIGKILL);
    node.process->waitForEnd(graceTime);
    std::filesystem::remove_all(dataFolder(node));
    record_.line(node.name + " is down and has lost its disk");
    pause(downTime);
    restart(node);
}

void Deployment::terminate(Node& node)
{
    record_.line("SIGTERM to " + node.name);
    node.process->signal(SIGTERM);
    if (!node.process->waitForEnd(graceTime)) {
        record_.line("SIGKILL to " + node.name + " after grace_s");
        node.process->signal(SIGKILL);
        node.process->waitForEnd(graceTime);
    }
    record_.line(node.name + " has ended");
}

void Deployment::stopAll()
{
    for (auto* nodes : { &controls_, &entries_ }) {
        for (auto& node : *nodes)
            node.process.reset();
    }
}

// Follows one redirection, as the operator does.
static std::optional<Response> callFollowing(const Address& address, const std::string& method, const std::string& target, const std::string& body)
{
    auto text = [&](const Address& to) { return requestText(method, target, { { "Host", to.text() }, { "Content-Type", "application/json" }, { "Connection", "close" } }, body); };
    auto response = call(address, text(address), callTimeout);
    if (!response || response->status != 307)
        return response;
    auto location = response->fields["location"];
    auto start = location.find("//") + 2;
    auto colon = location.find(':', start);
    Address leader { location.substr(start, colon - start), std::atoi(location.substr(colon + 1).c_str()) };
    return call(leader, text(leader), callTimeout);
}

bool Deployment::replaceConfiguration(const std::string& configuration)
{
    for (std::size_t i = 0; i < controls_.size(); ++i) {
        auto response = callFollowing(controlAddress(i), "POST", "/arbutusshunt/Config.Replace", configuration);
        if (response && response->status == 200)
            return true;
    }
    return false;
}

std::optional<std::string> Deployment::readConfiguration(std::size_t control)
{
    auto response = callFollowing(controlAddress(control), "GET", "/arbutusshunt/Config.Get", {});
    record_.line("operator reads at " + controls_[control].name + ": " + (response ? "status " + std::to_string(response->status) : "no answer"));
    if (!response || response->status != 200 || !response->isComplete)
        return std::nullopt;
    return response->body;
}

bool Deployment::isReady(const Node& entry) const
{
    Address address { entry.ip, readinessPort_ };
    auto response = call(address, requestText("GET", "/arbutusshunt/readyz", { { "Host", address.text() }, { "Connection", "close" } }, {}), callTimeout);
    return response && response->status == 200;
}

static std::int64_t unixMilliseconds() { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }

Runner::Runner(Record& record, const Deployment& deployment, Options options, Run run)
    : record_(record)
    , deployment_(deployment)
    , options_(std::move(options))
    , run_(std::move(run))
    , startedAtMilliseconds_(unixMilliseconds())
    , server_(options_.address, [this](const Request& request, Connection& connection) { return handle(request, connection); })
    , thread_([this] { sendHeartbeats(); })
{
}

Runner::~Runner() { stop(); }

void Runner::stop()
{
    isReporting_ = false;
    if (thread_.joinable())
        thread_.join();
    server_.stop();
}

bool Runner::post(std::size_t control, const std::string& operation, const std::string& body) const
{
    auto address = deployment_.controlAddress(control);
    auto response = call(address, requestText("POST", "/arbutusshunt/" + operation + "/" + options_.id, { { "Host", address.text() }, { "Content-Type", "application/json" }, { "Connection", "close" } }, body), callTimeout);
    return response && response->status == 200;
}

void Runner::sendHeartbeats()
{
    auto control = options_.control;
    auto next = steadyNow();
    for (std::uint64_t sequence = 1; isReporting_; ++sequence) {
        auto body = R"({"service":")" + options_.service + R"(","address":")" + options_.address.text() + R"(","zone":"catania","version":"v1","slots":)" + std::to_string(options_.slots)
            + R"(,"state":"ready","cold_remaining_ms":0,"born":)" + std::to_string(startedAtMilliseconds_) + R"(,"seq":)" + std::to_string(sequence) + "}";
        bool isAcknowledged = post(control, "Instances.Heartbeat", body);
        record_.line("heartbeat " + std::to_string(sequence) + " of " + options_.id + " at control " + std::to_string(control + 1) + (isAcknowledged ? "" : ": not acknowledged"));
        if (!isAcknowledged)
            control = (control + 1) % 3;
        next += heartbeatInterval;
        while (isReporting_ && steadyNow() < next)
            pause(std::chrono::milliseconds(5));
    }
}

bool Runner::deregister(std::size_t control)
{
    isReporting_ = false;
    thread_.join();
    return post(control, "Instances.Deregister", R"({"born":)" + std::to_string(startedAtMilliseconds_) + "}");
}

bool Runner::answer(const Request& request, Connection& connection, int status, const std::string& body) const
{
    auto id = request.field("x-request-id");
    return connection.write(responseText(status, { { "X-Request-Id", id }, { "X-Response-Signature", options_.id + "." + id }, { "Keep-Alive", "timeout=10" } }, body));
}

bool Runner::handle(const Request& request, Connection& connection)
{
    if (request.target == "/healthz")
        return connection.write(responseText(200, { { "X-Instance-Id", options_.id } }, {}));
    auto expected = request.field("x-expect-instance");
    if (!expected.empty() && expected != options_.id)
        return connection.write(responseText(421, { { "X-Request-Id", request.field("x-request-id") }, { "X-Instance-Id", options_.id } }, {}));
    return run_(*this, request, connection);
}

int runCase(int argc, char** argv, const std::function<std::optional<bool>(Record&, const std::string& folder, bool hasTrouble)>& run)
{
    static constexpr int cannotRun = 2;
    if (argc != 4)
        return cannotRun;
    std::signal(SIGPIPE, SIG_IGN);
    Record record(argv[1]);
    bool hasTrouble = std::string(argv[3]) != "0";
    record.line(hasTrouble ? "with the disruption" : "without the disruption");
    auto isBroken = run(record, argv[2], hasTrouble);
    record.line(!isBroken ? "RESULT: the case could not run" : *isBroken ? "RESULT: the rule was broken"
                                                                         : "RESULT: the rule held");
    if (!isBroken)
        return cannotRun;
    return *isBroken ? 1 : 0;
}

std::string plainConfiguration(int version)
{
    auto route = [](const std::string& name, const std::string& kind) {
        return R"({"name":"r-)" + name + R"(","host":"shop.example","path_prefix":"/)" + name + R"(/","route_type":")" + kind
            + R"(","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"orders","max_attempts":2,"public":false})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("safe", "safe") + "," + route("unsafe", "unsafe")
        + R"(],"services":[{"name":"orders","health_check":"/healthz","max_connections":100,"protocol":"h1","tls":false}],)"
        + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"counter","api_keys":["key-of-counter"],"priority":1}]})";
}

std::string clientRequest(const std::string& method, const std::string& target, const std::string& id, int deadlineMilliseconds, const std::string& body)
{
    return requestText(method, target, { { "Host", "shop.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", std::to_string(deadlineMilliseconds) }, { "Authorization", "Bearer key-of-counter" } }, body);
}

} // namespace review
