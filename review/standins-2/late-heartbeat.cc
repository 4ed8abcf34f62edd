// A server leaves, and all machines lose power right after the acknowledgement. A heartbeat that the
// server had sent before arrives seconds late.
#include "Stand.hh"

using namespace stand;

static const char* const configuration = R"({"version":5,"routes":[{"name":"r1","host":"shop.example","path_prefix":"/a/","route_type":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":1,"service":"alpha","max_attempts":2,"public":true}],)"
                                         R"("services":[{"name":"alpha","health_check":"/healthz","max_connections":100,"protocol":"h1","tls":false}],)"
                                         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":1}]})";

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

    Server leaving(record, "i-leaving", "alpha", network.ip(31), network.serverPort);
    Server staying(record, "i-staying", "alpha", network.ip(32), network.serverPort);
    // As long as an order takes on lacci-router.
    auto work = [](Server& server, int descriptor, const Seen& seen) {
        sleepFor(0.06);
        return server.answerSoundly(descriptor, seen);
    };
    leaving.behave = work;
    staying.behave = work;
    leaving.start();
    staying.start();
    auto ofLeaving = std::make_unique<Heartbeats>(record, controlIps, network.controlPort, 1.2);
    Heartbeats ofStaying(record, controlIps, network.controlPort, 1.2);
    ofLeaving->add(leaving);
    ofStaying.add(staying);

    int number = 0;
    auto ask = [&](const std::string& front) {
        auto id = format("q%04d", ++number);
        auto answer = call(front, network.frontPort, "GET", "/a/x", "Host: shop.example\r\nConnection: close\r\nX-Deadline-Ms: 2000\r\nX-Request-Id: " + id + "\r\n", "", 2.5);
        record.write(format("CLIENT   %s to %s -> %d", id.c_str(), settings[front].name.c_str(), answer.isWhole ? answer.status : 0));
        return leaving.runsOf(id) > 0;
    };
    // Both servers must serve at both front machines.
    auto serveAll = [&](double timeout) {
        for (const auto& front : entryIps) {
            bool isSeen = false;
            for (auto end = record.seconds() + timeout; !isSeen && record.seconds() < end; sleepFor(0.02))
                isSeen = ask(front);
            if (!isSeen)
                return false;
        }
        return true;
    };
    if (!postConfiguration(record, controlIps, network.controlPort, configuration, 20))
        cannotRun(record, "the configuration was not acknowledged");
    sleepFor(1.5);
    if (!serveAll(10))
        cannotRun(record, "the servers do not serve");

    // A heartbeat of the server is on its way, and will arrive late; then it leaves.
    ofLeaving.reset();
    double acknowledgedAt = 0;
    std::string acknowledgedBy;
    for (const auto& ip : controlIps) {
        auto answer = call(ip, network.controlPort, "POST", "/arbutusshunt/Instances.Deregister/" + leaving.id, "Host: control\r\nContent-Type: application/json\r\nConnection: close\r\n", format("{\"born\":%lld}", leaving.born), 1);
        if (answer.isWhole && answer.status / 100 == 2) {
            acknowledgedAt = record.seconds();
            acknowledgedBy = ip;
            record.write("SERVER   i-leaving sends Deregister to " + settings[ip].name + " -> 200");
            break;
        }
    }
    if (!acknowledgedAt)
        cannotRun(record, "no control machine acknowledged");
    if (hasTrouble) {
        for (const auto& [ip, machine] : settings)
            machines[ip]->kill();
        record.write("TROUBLE  all machines have lost power");
        sleepFor(0.5);
        for (const auto& [ip, machine] : settings)
            start(ip, false);
    }
    for (auto end = acknowledgedAt + 4.0; record.seconds() < end;)
        sleepFor(0.02);
    Heartbeats late1(record, controlIps, network.controlPort, 1.2);
    bool isTaken = false;
    for (const auto& ip : controlIps)
        isTaken = isTaken || late1.send(leaving, ip, 100);
    record.write(format("SERVER   a heartbeat from before arrives %.1f s late -> %s", record.seconds() - acknowledgedAt, isTaken ? "200" : "not taken"));
    // contact_ms after the start, the machines are in touch. The server still serves.
    int late = 0, asked = 0;
    for (; record.seconds() < acknowledgedAt + 8.0; sleepFor(0.02)) {
        bool isLate = record.seconds() > acknowledgedAt + 4.0;
        ++asked;
        if (ask(entryIps[static_cast<std::size_t>(asked) % 2]) && isLate) {
            ++late;
            record.write(format("BROKEN   the request reached i-leaving %.0f ms after the acknowledgement", (record.seconds() - acknowledgedAt) * 1000));
        }
    }
    record.write(format("RESULT   %d requests, of which %d reached the server later than drain_ms after %s had acknowledged that it is gone", asked, late, settings[acknowledgedBy].name.c_str()));
    return late ? 1 : 0;
}
