// A control machine is replaced: the new one first, then the old one, which leads, ends without
// SIGTERM. Half a second later another one loses its disk.
#include "Stand.hh"

using namespace stand;

static std::string configuration(int version)
{
    return format(R"({"version":%d,"routes":[{"name":"r1","host":"shop.example","path_prefix":"/a/","route_type":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":1,"service":"alpha","max_attempts":2,"public":true}],)"
                  R"("services":[{"name":"alpha","health_check":"/healthz","max_connections":100,"protocol":"h1","tls":false}],)"
                  R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]})",
        version);
}

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    const std::string program = argv[1], folder = argv[2];
    const bool hasTrouble = !getenv("TROUBLE") || strcmp(getenv("TROUBLE"), "0");
    Record record(argv[3]);
    auto network = findNetwork(record);
    std::vector<std::string> seeds { network.ip(11), network.ip(12), network.ip(13) };
    const std::string successor = network.ip(14);
    std::map<std::string, std::unique_ptr<Process>> machines;
    std::map<std::string, Machine> settings;
    auto start = [&](const std::string& ip, bool isBootstrap) {
        auto& machine = settings[ip];
        machine.isBootstrap = isBootstrap;
        auto path = folder + "/" + machine.name + ".json";
        writeSettings(path, machine, network, seeds);
        machines[ip] = std::make_unique<Process>(program, machine.role, path, folder + "/" + machine.name + ".log");
        machines[ip]->start();
        record.write("START    " + machine.name + " (" + ip + ")");
    };
    for (int i = 0; i < 4; ++i)
        settings[network.ip(11 + i)] = { format("core-%d", i + 1), "control", network.ip(11 + i), "z1", true, folder + format("/data-%d", i + 1) };
    for (const auto& ip : seeds)
        start(ip, true);
    if (!postConfiguration(record, seeds, network.controlPort, configuration(5), 20))
        cannotRun(record, "the first configuration was not acknowledged");
    auto leader = findLeader(seeds, network.controlPort);
    if (!leader)
        cannotRun(record, "no leader");
    record.write("leader is " + settings[*leader].name);

    // The new machine runs for longer than catch_up_s before the old one goes.
    start(successor, false);
    sleepFor(6);
    std::vector<std::string> callable(seeds);
    callable.push_back(successor);
    if (!postConfiguration(record, callable, network.controlPort, configuration(9), 8))
        cannotRun(record, "the change was not acknowledged");
    auto old = findLeader(callable, network.controlPort);
    if (!old || *old == successor)
        cannotRun(record, "the old machine does not lead");
    record.write("OPERATOR has the acknowledgement of version 9; leader is " + settings[*old].name);
    std::string wiped;
    for (const auto& ip : seeds) {
        if (ip != *old)
            wiped = ip;
    }
    std::vector<std::string> left;
    for (const auto& ip : callable) {
        if (ip != *old || !hasTrouble)
            left.push_back(ip);
    }
    if (hasTrouble) {
        machines[*old]->kill();
        record.write("TROUBLE  " + settings[*old].name + " is gone for good, without SIGTERM");
        sleepFor(0.5);
        machines[wiped]->kill();
        record.write("TROUBLE  " + settings[wiped].name + " loses its disk");
        removeFolder(settings[wiped].dataFolder);
        sleepFor(1);
        start(wiped, false);
    }
    // recovery_s after all are back; then the operator reads for longer than contact_ms.
    sleepFor(12);
    int reads = 0;
    std::string version;
    for (auto end = record.seconds() + 10; version.empty() && record.seconds() < end; sleepFor(0.2)) {
        for (const auto& ip : left) {
            auto answer = call(ip, network.controlPort, "GET", "/arbutusshunt/Config.Get", "Host: control\r\nConnection: close\r\n", "", 1);
            ++reads;
            record.write(format("OPERATOR reads at %s -> %d", settings[ip].name.c_str(), answer.isWhole ? answer.status : 0));
            if (answer.isWhole && answer.status == 200) {
                version = answer.body.substr(0, answer.body.find(','));
                break;
            }
        }
    }
    bool isHeld = version == "{\"version\":9";
    bool isChangeable = postConfiguration(record, left, network.controlPort, configuration(12), 6).has_value();
    record.write(format("RESULT   %d reads; read back: %s; a further change is %s", reads, version.empty() ? "nothing" : version.c_str(), isChangeable ? "acknowledged" : "not acknowledged within 6 s"));
    return isHeld ? 0 : 1;
}
