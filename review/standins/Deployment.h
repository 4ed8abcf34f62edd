#pragma once

#include "review/standins/Http.h"
#include "review/standins/Record.h"

#include <deque>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

// One process of the project, started with the command of the deploy file.
class Process {
public:
    Process(std::string role, std::string settingsPath, std::string logPath);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start();
    void signal(int number) const;
    // Waits until the process has ended. Returns false after the timeout.
    bool waitForEnd(std::chrono::milliseconds timeout);
    bool isRunning();
    // The status of waitpid() once the process has ended.
    int status() const { return status_; }

private:
    const std::string role_;
    const std::string settingsPath_;
    const std::string logPath_;
    pid_t pid_ = -1;
    int status_ = 0;
};

// A small deployment of the project on loopback addresses: control and entry processes in
// one data centre, as the deploy file's template renders their settings.
class Deployment {
public:
    struct Node {
        std::string name;
        std::string ip;
        std::unique_ptr<Process> process;
    };

    // Processes keep their files in `folder`.
    Deployment(Record&, std::string folder, int controlCount, int entryCount);

    // Starts all processes and waits until the first configuration, built by the caller, is
    // acknowledged and all entry processes report that they are ready.
    bool start(const std::string& configuration);
    // Starts a process again, with `bootstrap` false.
    void restart(Node&);
    // Adds a control process at a new address with an empty disk, and starts it.
    Node& addControl();
    // Kills a control process and starts it again after `downTime` with an empty disk.
    void loseDisk(Node&, std::chrono::milliseconds downTime);
    // Returns the configuration that the operator reads at this control process or, after a
    // redirection, at another one; nullopt if there is none.
    std::optional<std::string> readConfiguration(std::size_t control);
    // Stops with SIGTERM, and with SIGKILL after grace_s.
    void terminate(Node&);
    void stopAll();

    // Sends a configuration to the control processes in turn until one acknowledges it.
    bool replaceConfiguration(const std::string& configuration);
    bool isReady(const Node& entry) const;

    Address controlAddress(std::size_t index) const { return { controls_[index % controls_.size()].ip, controlPort_ }; }
    Address frontAddress(std::size_t index) const { return { entries_[index].ip, frontPort_ }; }
    std::deque<Node>& controls() { return controls_; }
    std::deque<Node>& entries() { return entries_; }

private:
    std::string settingsPath(const Node& node) const { return folder_ + "/" + node.name + ".json"; }
    void writeSettings(const Node& node, bool isEntry, bool isBootstrap) const;
    std::string dataFolder(const Node& node) const { return folder_ + "/" + node.name + "-data"; }

    Record& record_;
    const std::string folder_;
    std::deque<Node> controls_;
    std::deque<Node> entries_;
    int controlPort_ = 0;
    int internalPort_ = 0;
    int frontPort_ = 0;
    int readinessPort_ = 0;
};

// A plain service's server by the pages: it reports to control, answers with its signature,
// and refuses requests for another instance.
class Runner {
public:
    struct Options {
        std::string id;
        std::string service;
        Address address;
        int slots = 6;
        // The control process that it reports to while that one answers.
        std::size_t control = 0;
    };
    // Runs a request. Returns whether the connection stays open.
    using Run = std::function<bool(const Runner&, const Request&, Connection&)>;

    Runner(Record&, const Deployment&, Options, Run);
    ~Runner();
    Runner(const Runner&) = delete;
    Runner& operator=(const Runner&) = delete;

    const std::string& id() const { return options_.id; }
    // Stops the heartbeats and deregisters at a control process. Returns whether it was
    // acknowledged.
    bool deregister(std::size_t control);
    // Ends the runner.
    void stop();
    // Answers a request with a signature.
    bool answer(const Request&, Connection&, int status, const std::string& body) const;

private:
    bool handle(const Request&, Connection&);
    void sendHeartbeats();
    bool post(std::size_t control, const std::string& operation, const std::string& body) const;

    Record& record_;
    const Deployment& deployment_;
    const Options options_;
    const Run run_;
    const std::int64_t startedAtMilliseconds_;
    std::atomic<bool> isReporting_ { true };
    Server server_;
    std::thread thread_;
};

// Entry point of a case. The arguments are the path of the record, a folder for the processes'
// files, and 0 to leave out the disruption. `run` returns whether the rule was broken, or
// nullopt if the case could not run. Exits with 1, 0 or 2.
int runCase(int argc, char** argv, const std::function<std::optional<bool>(Record&, const std::string& folder, bool hasTrouble)>& run);

// A configuration with one plain service "orders" and the routes /safe/ and /unsafe/ of
// the host shop.example.
std::string plainConfiguration(int version);

// A request of a client for that configuration.
std::string clientRequest(const std::string& method, const std::string& target, const std::string& id, int deadlineMilliseconds, const std::string& body = {});

} // namespace review
