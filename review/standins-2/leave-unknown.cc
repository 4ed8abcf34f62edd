// A server leaves while the control machines, which have all been restarted, do not know it.
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

    if (hasTrouble) {
        // The server's path to the control machines is cut: its heartbeats do not arrive.
        ofLeaving.reset();
        record.write("TROUBLE  i-leaving is cut off from the control machines");
        sleepFor(0.2);
        for (const auto& ip : controlIps)
            machines[ip]->kill();
        record.write("TROUBLE  all processes of the core are killed");
        sleepFor(0.5);
        for (const auto& ip : controlIps)
            start(ip, false);
    }
    // contact_ms, so that the core is stable and its machines are in touch.
    sleepFor(3.4);
    ofLeaving.reset();
    if (hasTrouble)
        record.write("TROUBLE  the cut heals; i-leaving leaves");
    double acknowledgedAt = 0;
    std::string acknowledgedBy;
    for (auto end = record.seconds() + 4; !acknowledgedAt && record.seconds() < end;) {
        for (const auto& ip : controlIps) {
            auto answer = call(ip, network.controlPort, "POST", "/arbutusshunt/Instances.Deregister/" + leaving.id, "Host: control\r\nConnection: close\r\n", "", 1);
            record.write(format("SERVER   i-leaving sends Deregister to %s -> %d", settings[ip].name.c_str(), answer.isWhole ? answer.status : 0));
            if (answer.isWhole && answer.status / 100 == 2) {
                acknowledgedAt = record.seconds();
                acknowledgedBy = ip;
                break;
            }
            sleepFor(0.1);
        }
    }
    if (!acknowledgedAt)
        cannotRun(record, "no control machine acknowledged");
    // It continues to serve for drain_ms (2,000) and a little longer.
    int late = 0, asked = 0;
    for (; record.seconds() < acknowledgedAt + 4.0; sleepFor(0.02)) {
        bool isLate = record.seconds() > acknowledgedAt + 2.0;
        ++asked;
        if (ask(entryIps[static_cast<std::size_t>(asked) % 2]) && isLate) {
            ++late;
            record.write(format("BROKEN   the request reached i-leaving %.0f ms after the acknowledgement", (record.seconds() - acknowledgedAt) * 1000));
        }
    }
    record.write(format("RESULT   %d requests, of which %d reached the server later than drain_ms after %s had acknowledged that it is gone", asked, late, settings[acknowledgedBy].name.c_str()));
    return late ? 1 : 0;
}
