// A control machine misses a change, another one loses its disk, the third is dark. A restarted
// front machine then asks the first two, which run and reach each other.
#include "Stand.hh"

using namespace stand;

static std::string configuration(int version, const std::string& service, const std::string& key)
{
    return format(R"({"version":%d,"routes":[{"name":"r1","host":"shop.example","path_prefix":"/a/","route_type":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":1,"service":"%s","max_attempts":2,"public":false}],)"
                  R"("services":[{"name":"alpha","health_check":"/healthz","max_connections":100,"protocol":"h1","tls":false},{"name":"beta","health_check":"/healthz","max_connections":100,"protocol":"h1","tls":false}],)"
                  R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["%s"],"priority":1}]})",
        version, service.c_str(), key.c_str());
}

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    const std::string program = argv[1], folder = argv[2];
    const bool hasTrouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0");
    Record record(argv[3]);
    auto network = findNetwork(record);
    std::vector<std::string> controlIps { network.ip(11), network.ip(12), network.ip(13) };
    std::vector<std::string> entryIps { network.ip(21), network.ip(22) };
    std::map<std::string, std::unique_ptr<Process>> machines;
    std::map<std::string, Machine> settings;
    auto start = [&](const std::string& ip, bool isBootstrap) {
        auto& machine = settings[ip];
        machine.isBootstrap = isBootstrap;
        auto path = folder + "/" + machine.name + ".json";
        writeSettings(path, machine, network, controlIps);
        machines[ip] = std::make_unique<Process>(program, machine.role, path, folder + "/" + machine.name + ".log");
        machines[ip]->start();
        record.write("START    " + machine.name + " (" + ip + ")");
    };
    for (std::size_t i = 0; i < controlIps.size(); ++i)
        settings[controlIps[i]] = { format("core-%zu", i + 1), "control", controlIps[i], "z1", true, folder + format("/data-%zu", i + 1) };
    for (std::size_t i = 0; i < entryIps.size(); ++i)
        settings[entryIps[i]] = { format("front-%zu", i + 1), "entry", entryIps[i], "z1", false, {} };
    for (const auto& [ip, machine] : settings)
        start(ip, true);

    Server alpha(record, "i-alpha", "alpha", network.ip(31), network.serverPort);
    Server beta(record, "i-beta", "beta", network.ip(32), network.serverPort);
    alpha.start();
    beta.start();
    Heartbeats heartbeats(record, controlIps, network.controlPort, 1.2);
    heartbeats.add(alpha);
    heartbeats.add(beta);

    int number = 0;
    auto ask = [&](const std::string& front, const std::string& key) {
        auto id = format("q%04d", ++number);
        record.write(format("CLIENT   sends %s to %s with key %s", id.c_str(), settings[front].name.c_str(), key.c_str()));
        auto answer = call(front, network.frontPort, "GET", "/a/x", "Host: shop.example\r\nConnection: close\r\nX-Deadline-Ms: 2000\r\nX-Request-Id: " + id + "\r\nAuthorization: Bearer " + key + "\r\n", "", 2.5);
        record.write(format("CLIENT   %s -> %d %s", id.c_str(), answer.isWhole ? answer.status : 0, answer.status == 200 ? answer.body.substr(0, answer.body.find('\n')).c_str() : ""));
        return std::make_pair(id, answer);
    };
    auto waitForService = [&](const std::string& front, const std::string& key, const std::string& service, double timeout) {
        for (auto end = record.seconds() + timeout; record.seconds() < end; sleepFor(0.2)) {
            if (ask(front, key).second.body.find("served by " + service) == 0)
                return true;
        }
        return false;
    };

    if (!postConfiguration(record, controlIps, network.controlPort, configuration(5, "alpha", "key-old"), 20))
        cannotRun(record, "the first configuration was not acknowledged");
    for (const auto& ip : entryIps) {
        if (!waitForService(ip, "key-old", "alpha", 10))
            cannotRun(record, "a front machine does not serve");
    }
    auto leader = findLeader(controlIps, network.controlPort);
    if (!leader)
        cannotRun(record, "no leader");
    std::string behind, lost = *leader, dark;
    for (const auto& ip : controlIps) {
        if (ip != lost)
            (behind.empty() ? behind : dark) = ip;
    }
    record.write("leader is " + settings[lost].name);

    // A minority misses a change.
    if (hasTrouble) {
        machines[behind]->signal(SIGSTOP);
        record.write("TROUBLE  " + settings[behind].name + " stands still");
    }
    sleepFor(0.5);
    std::vector<std::string> others { lost, dark };
    if (!postConfiguration(record, others, network.controlPort, configuration(9, "beta", "key-new"), 8))
        cannotRun(record, "the change was not acknowledged");
    auto acknowledgedAt = record.seconds();
    record.write("OPERATOR has the acknowledgement of version 9");
    for (const auto& ip : entryIps) {
        if (!waitForService(ip, "key-new", "beta", 5))
            cannotRun(record, "a front machine does not follow the change");
    }

    // One of the others loses its disk, the rest are dark, and the first one goes on.
    double darkSince = 0;
    if (hasTrouble) {
        machines[lost]->kill();
        machines[dark]->kill();
        darkSince = record.seconds();
        record.write("TROUBLE  " + settings[lost].name + " loses its disk; " + settings[dark].name + " is dark");
        removeFolder(settings[lost].dataFolder);
        // A front machine is killed at the same time.
        machines[entryIps[0]]->kill();
        record.write("TROUBLE  " + settings[entryIps[0]].name + " is killed");
        machines[behind]->signal(SIGCONT);
        record.write("TROUBLE  " + settings[behind].name + " goes on");
        sleepFor(0.3);
        start(lost, false);
        start(entryIps[0], false);
    }
    auto calmSince = record.seconds();

    // From contact_ms after the last of these, the front machine is in touch: two of three core
    // machines run and are connected.
    sleepFor(3.2);
    int broken = 0, asked = 0, served = 0;
    for (; record.seconds() < calmSince + 4.8; sleepFor(0.1)) {
        for (const char* key : { "key-old", "key-new" }) {
            auto sentAt = record.seconds();
            bool isInTouch = sentAt >= calmSince + 3.0 && sentAt >= acknowledgedAt + 2.0;
            auto [id, answer] = ask(entryIps[0], key);
            ++asked;
            served += answer.status == 200;
            bool isOldService = alpha.runsOf(id) > 0;
            bool isDroppedKey = !strcmp(key, "key-old") && (alpha.runsOf(id) + beta.runsOf(id)) > 0;
            bool isRefused = !strcmp(key, "key-new") && (answer.status == 401 || answer.status == 403 || answer.status == 404);
            if (isInTouch && (isOldService || isDroppedKey || isRefused)) {
                ++broken;
                record.write("BROKEN   " + id + " is handled as only version 5 allows" + (isOldService ? ", by the old service" : "") + (isDroppedKey ? ", with a key that is dropped" : "") + (isRefused ? ", refused although its key is there" : ""));
            }
        }
    }
    if (hasTrouble) {
        record.write(format("the dark machine has been dark for %.1f s", record.seconds() - darkSince));
        start(dark, false);
    }
    bool isBack = waitForService(entryIps[0], "key-new", "beta", 20);
    record.write(format("RESULT   %d requests to the restarted front machine, %d served, %d handled as only the older version allows; after the return of the dark machine: %s", asked, served, broken, isBack ? "version 9 in force" : "version 9 not in force within 20 s"));
    return broken ? 1 : 0;
}
