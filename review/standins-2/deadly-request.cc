// A request crashes each server that begins to run it. The servers are back after two seconds under
// their former ids, serve at once, and send their first heartbeat within its interval.
#include "Stand.hh"

using namespace stand;

static const char* const configuration = R"({"version":5,"routes":[{"name":"r1","host":"shop.example","path_prefix":"/a/","route_type":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":1,"service":"alpha","max_attempts":1,"public":false}],)"
                                         R"("services":[{"name":"alpha","health_check":"/healthz","max_connections":100,"protocol":"h1","tls":false}],)"
                                         R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k1"],"priority":1},{"name":"t2","api_keys":["k2"],"priority":1}]})";
static const double contactSeconds = 3;

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
    for (std::size_t i = 0; i < controlIps.size(); ++i)
        settings[controlIps[i]] = { format("core-%zu", i + 1), "control", controlIps[i], "z1", true, folder + format("/data-%zu", i + 1) };
    for (std::size_t i = 0; i < entryIps.size(); ++i)
        settings[entryIps[i]] = { format("front-%zu", i + 1), "entry", entryIps[i], "z1", true, {} };
    for (const auto& [ip, machine] : settings) {
        auto path = folder + "/" + machine.name + ".json";
        writeSettings(path, machine, network, controlIps);
        machines[ip] = std::make_unique<Process>(program, machine.role, path, folder + "/" + machine.name + ".log");
        machines[ip]->start();
        record.write("START    " + machine.name + " (" + ip + ")");
    }

    std::mutex mutex;
    std::vector<double> deadlyRuns;
    std::atomic<bool> isRunning { true };
    std::atomic<bool> isThirdLost { false };
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<std::atomic<bool>>> isCrashing;
    std::vector<std::thread> lives;
    Heartbeats sender(record, controlIps, network.controlPort, 1.2);
    for (int i = 0; i < 3; ++i) {
        servers.push_back(std::make_unique<Server>(record, format("i-%d", i + 1), "alpha", network.ip(31 + i), network.serverPort));
        isCrashing.push_back(std::make_unique<std::atomic<bool>>(false));
        auto* crashing = isCrashing.back().get();
        servers.back()->behave = [&, crashing](Server& server, int descriptor, const Seen& seen) {
            auto expected = seen.field("X-Expect-Instance");
            if (seen.path != "/a/deadly" || expected != server.id) {
                sleepFor(0.06);
                return server.answerSoundly(descriptor, seen);
            }
            {
                std::lock_guard<std::mutex> lock(mutex);
                deadlyRuns.push_back(record.seconds());
                record.write(format("CRASH    %s begins to run the deadly request %s (%zu. time)", server.id.c_str(), seen.field("X-Request-Id").c_str(), deadlyRuns.size()));
            }
            *crashing = true;
            return false;
        };
        lives.emplace_back([&, crashing, i] {
            auto& server = *servers[static_cast<std::size_t>(i)];
            server.start();
            long long sequence = 0;
            std::size_t next = static_cast<std::size_t>(i);
            for (double sinceBeat = 1.2; isRunning; sleepFor(0.01), sinceBeat += 0.01) {
                if (i == 2 && isThirdLost) {
                    server.stop();
                    record.write("SERVER   " + server.id + " is lost for good");
                    return;
                }
                if (*crashing) {
                    server.stop();
                    sleepFor(2);
                    server.born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
                    *crashing = false;
                    server.start();
                    record.write("SERVER   " + server.id + " is back under its id");
                    sequence = 0;
                    sinceBeat = 0; // the first heartbeat follows within its interval
                }
                if (sinceBeat < 1.2)
                    continue;
                sinceBeat = 0;
                for (std::size_t tries = 0; tries < 3 && !sender.send(server, controlIps[next % 3], ++sequence); ++tries)
                    ++next;
            }
            server.stop();
        });
    }
    if (!postConfiguration(record, controlIps, network.controlPort, configuration, 20))
        cannotRun(record, "the configuration was not acknowledged");
    sleepFor(2);
    // A longer time than after which a silent server is given up.
    isThirdLost = hasTrouble;
    sleepFor(6);

    std::atomic<int> number { 0 };
    std::atomic<int> served { 0 };
    std::vector<std::thread> clients;
    for (int c = 0; c < 4; ++c) {
        clients.emplace_back([&, c] {
            for (int n = c; isRunning; ++n, sleepFor(0.02)) {
                auto answer = call(entryIps[static_cast<std::size_t>(n) % 2], network.frontPort, "POST", format("/a/order-%d-%d", c, n), format("Host: shop.example\r\nConnection: close\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer k1\r\nX-Request-Id: q%05d\r\n", ++number), "order", 2);
                served += answer.status == 200;
            }
        });
    }
    sleepFor(1);
    // Such a request comes again, with the same path, caller and body, at any machine.
    for (int n = 0; n < 30; ++n, sleepFor(1)) {
        if (!hasTrouble)
            continue;
        auto id = format("d%05d", n);
        auto front = entryIps[static_cast<std::size_t>(n) % 2];
        auto answer = call(front, network.frontPort, "POST", "/a/deadly", "Host: shop.example\r\nConnection: close\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer k2\r\nX-Request-Id: " + id + "\r\n", "deadly", 2);
        record.write(format("CLIENT   sends the deadly request again, as %s, to %s -> %d", id.c_str(), settings[front].name.c_str(), answer.isWhole ? answer.status : 0));
    }
    isRunning = false;
    for (auto& client : clients)
        client.join();
    for (auto& life : lives)
        life.join();
    int late = 0;
    for (double at : deadlyRuns)
        late += deadlyRuns.size() > 3 && at > deadlyRuns[2] + contactSeconds;
    record.write(format("RESULT   %d sound requests served; the deadly one crashed %zu servers, %d of them later than contact_ms after the third (three retries are allowed)", served.load(), deadlyRuns.size(), late));
    if (served < 20)
        cannotRun(record, "the sound requests were not served");
    return late > 3 ? 1 : 0;
}
