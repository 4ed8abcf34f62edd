// review/12: heartbeats of another writer, for a service that no configuration names, at the
// addresses of three runners that work.

#include "Rig.hh"

using namespace rig;

int main(int, char** argv)
{
    Record record(argv[1]);
    Site site;
    if (!site.isUsable())
        return finish(record, unusable, "no free addresses, no folder or no program");
    const std::vector<int> seeds { 1, 2, 3 };
    const std::vector<Address> controls { site.control(1), site.control(2), site.control(3) };
    const std::vector<Address> fronts { site.front(20), site.front(21) };
    std::vector<std::unique_ptr<Process>> processes;
    for (int host : seeds) {
        processes.push_back(std::make_unique<Process>(site, record, "core-" + std::to_string(host), "control", host));
        processes.back()->start(seeds, true);
    }
    for (int host : { 20, 21 }) {
        processes.push_back(std::make_unique<Process>(site, record, "front-" + std::to_string(host), "entry", host));
        processes.back()->start(seeds, true);
    }
    std::vector<std::unique_ptr<Runner>> runners;
    for (int host : { 50, 51, 52 })
        runners.push_back(std::make_unique<Runner>(record, controls, Runner::Options { "i-7f3a91c" + std::to_string(host), "orders", site.runner(host) }));
    for (int host : { 53, 54, 55 })
        runners.push_back(std::make_unique<Runner>(record, controls, Runner::Options { "i-7f3a91c" + std::to_string(host), "stock", site.runner(host) }));
    if (!sendConfiguration(record, controls, configuration(7), Milliseconds(10000)))
        return finish(record, unusable, "the configuration was not acknowledged");
    pause(Milliseconds(3000));
    // The next version adds a route.
    if (!sendConfiguration(record, controls, configuration(9, { true, "" }), Milliseconds(10000)))
        return finish(record, unusable, "the change of the configuration was not acknowledged");
    pause(Milliseconds(3000));
    if (sendRequests(record, fronts, "GET", "/stock/2f", "before", 40, Milliseconds(25)).served < 36)
        return finish(record, unusable, "requests were not served before the disruption");

    if (hasTrouble()) {
        for (int host : { 53, 54, 55 }) {
            auto body = "{\"service\":\"trial77\",\"address\":\"" + site.runner(host).text() + "\",\"zone\":\"caxias\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":4,\"born\":" + std::to_string(unixMilliseconds()) + "}";
            auto answer = call(controls[0], "POST", "/arbutusshunt/Instances.Heartbeat/w-" + std::to_string(host), body, "Content-Type: application/json\r\n", Milliseconds(1000));
            record.write("another writer: Instances.Heartbeat/w-" + std::to_string(host) + " " + body + ": " + describe(answer));
        }
    }
    pause(Milliseconds(5000));
    auto acknowledged = [&runners] {
        int sum = 0;
        for (std::size_t i = 3; i < runners.size(); ++i)
            sum += runners[i]->acknowledged();
        return sum;
    };
    int acknowledgedBefore = acknowledged();
    // 20 s: far longer than the time between two heartbeats.
    Tally first;
    std::thread clients([&] { first = sendRequests(record, fronts, "GET", "/look/2f", "first", 200, Milliseconds(80)); });
    auto added = sendRequests(record, fronts, "GET", "/stock/2f", "added", 200, Milliseconds(80));
    clients.join();
    record.write("runners of stock: all three work; " + std::to_string(acknowledged() - acknowledgedBefore) + " of their heartbeats were acknowledged meanwhile");
    return finish(record, areAddedRoutesNeglected(first, added) ? broken : held, "first routes: " + first.text() + "; added route: " + added.text());
}
