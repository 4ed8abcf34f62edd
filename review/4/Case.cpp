// The entry processes are stopped and started in turn; later a runner deregisters. No
// request may reach it later than drain_ms after the acknowledgement.
#include "review/standins/Deployment.h"

#include <atomic>

using namespace review;

static constexpr std::chrono::milliseconds drainTime(2000);
// The runner goes on serving for drain_ms after the acknowledgement "and a little longer",
// and then exits.
static constexpr std::chrono::milliseconds servingTime(3000);
static constexpr std::chrono::milliseconds observationTime(3000);
static constexpr std::chrono::milliseconds workTime(60);
static constexpr std::chrono::milliseconds requestInterval(20);
static constexpr std::size_t clientsPerEntry = 4;

static std::optional<bool> run(Record& record, const std::string& folder, bool hasTrouble)
{
    Deployment deployment(record, folder, 3, 2);
    if (!deployment.start(plainConfiguration(1)))
        return std::nullopt;
    std::atomic<std::int64_t> acknowledgedAt { 0 };
    std::atomic<int> lateCount { 0 };
    std::atomic<int> runCount { 0 };
    std::vector<std::unique_ptr<Runner>> runners;
    runners.reserve(3);
    int port = findFreePort({ "127.77.3.1", "127.77.3.2", "127.77.3.3" });
    for (int i = 0; i < 3; ++i) {
        auto number = std::to_string(i + 1);
        Runner::Options options { "i-" + number, "orders", { "127.77.3." + number, port }, 6, 0 };
        runners.push_back(std::make_unique<Runner>(record, deployment, options, [&, i](const Runner& runner, const Request& request, Connection& connection) {
            ++runCount;
            auto id = request.field("x-request-id");
            if (i == 0 && acknowledgedAt) {
                auto since = std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow().time_since_epoch()).count() - acknowledgedAt;
                record.line("i-1 runs " + id + ", " + std::to_string(since) + " ms after it was acknowledged as gone");
                lateCount += since > drainTime.count() ? 1 : 0;
            }
            std::this_thread::sleep_for(workTime);
            return runner.answer(request, connection, 200, "done " + id);
        }));
    }
    std::this_thread::sleep_for(std::chrono::seconds(14));
    if (hasTrouble) {
        for (auto& entry : deployment.entries()) {
            deployment.terminate(entry);
            deployment.restart(entry);
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }
    }
    // Three times contact_ms, so that all processes are in touch.
    std::this_thread::sleep_for(std::chrono::seconds(9));

    std::atomic<bool> isEnding { false };
    std::list<std::thread> clients;
    for (std::size_t c = 0; c < clientsPerEntry * deployment.entries().size(); ++c) {
        clients.emplace_back([&, c] {
            std::unique_ptr<Connection> connection;
            for (int i = 0; !isEnding; ++i) {
                std::this_thread::sleep_for(requestInterval);
                if (!connection)
                    connection = Connection::Make(deployment.frontAddress(c / clientsPerEntry), std::chrono::seconds(3));
                auto id = "e" + std::to_string(c / clientsPerEntry + 1) + "-" + std::to_string(c % clientsPerEntry) + "-" + std::to_string(i);
                if (!connection || !connection->write(clientRequest("POST", "/unsafe/order", id, 1500, "reels=5"))) {
                    record.line(id + ": no connection");
                    connection.reset();
                    continue;
                }
                auto response = connection->readResponse();
                if (!response || response->status != 200)
                    record.line(id + ": " + (response ? "status " + std::to_string(response->status) : "no answer"));
                if (!response || !response->isKeepAlive)
                    connection.reset();
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    record.line("i-1 deregisters at control 2");
    bool isAcknowledged = runners[0]->deregister(1);
    acknowledgedAt = std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow().time_since_epoch()).count();
    record.line(isAcknowledged ? "control 2 has acknowledged that i-1 is gone" : "the call was not acknowledged");
    std::this_thread::sleep_for(servingTime);
    runners[0]->stop();
    record.line("i-1 has exited");
    std::this_thread::sleep_for(observationTime);
    isEnding = true;
    for (auto& client : clients)
        client.join();
    record.line(std::to_string(runCount) + " runs; " + std::to_string(lateCount) + " requests reached i-1 later than drain_ms after the acknowledgement");
    for (auto& runner : runners)
        runner->stop();
    deployment.stopAll();
    if (!isAcknowledged)
        return std::nullopt;
    return lateCount > 0;
}

int main(int argc, char** argv) { return runCase(argc, argv, run); }
