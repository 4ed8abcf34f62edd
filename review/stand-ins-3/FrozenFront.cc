// review/15: a front machine and a core machine stand still during a change; then another core
// machine loses its disk, and the third one is dark.

#include "Rig.hh"

using namespace rig;

int main(int, char** argv)
{
    Record record(argv[1]);
    Site site;
    if (!site.isUsable())
        return finish(record, unusable, "no free addresses, no folder or no program");
    const std::vector<int> seeds { 1, 2, 3 };
    std::map<int, std::unique_ptr<Process>> machines;
    for (int host : { 1, 2, 3, 20, 21 }) {
        bool isFront = host >= 20;
        machines[host] = std::make_unique<Process>(site, record, (isFront ? "front-" : "core-") + std::to_string(host), isFront ? "entry" : "control", host);
        machines[host]->start(seeds, true);
    }
    const std::vector<Address> controls { site.control(1), site.control(2), site.control(3) };
    std::vector<std::unique_ptr<Runner>> orders;
    std::vector<std::unique_ptr<Runner>> stock;
    for (int host : { 50, 51 })
        orders.push_back(std::make_unique<Runner>(record, controls, Runner::Options { "i-" + std::to_string(host), "orders", site.runner(host) }));
    for (int host : { 52, 53 })
        stock.push_back(std::make_unique<Runner>(record, controls, Runner::Options { "i-" + std::to_string(host), "stock", site.runner(host) }));
    const std::string oldKey = "n2ctnfzs989anu6wsjnb";
    const std::string newKey = "anfqasnmgkcuyj8pjbvk";
    if (!sendConfiguration(record, controls, configuration(5, { true, "", "orders", oldKey }), Milliseconds(10000)))
        return finish(record, unusable, "the first configuration was not acknowledged");
    pause(Milliseconds(4000));
    if (request(site.front(20), "GET", "/look/2f", "before", oldKey).status() != 200)
        return finish(record, unusable, "the front machine does not serve");

    if (hasTrouble()) {
        record.write("platform: core-1 and front-20 stand still");
        machines[1]->signal(SIGSTOP);
        machines[20]->signal(SIGSTOP);
    }
    auto frozenAt = Clock::now();
    // Moves the route /look/ to the other service and replaces the key. If core-1 led, one of
    // the others is elected first.
    if (!sendConfiguration(record, { site.control(2), site.control(3) }, configuration(9, { true, "", "stock", newKey }), Milliseconds(3000)))
        return finish(record, unusable, "the change was not acknowledged");
    auto acknowledgedAt = Clock::now();
    record.write("operator: version 9 is acknowledged");
    pause(Milliseconds(1000));
    if (hasTrouble()) {
        machines[2]->end(SIGKILL);
        machines[3]->end(SIGKILL);
        machines[2]->loseDisk();
        record.write("platform: core-3 is dark; core-1 and front-20 go on after " + std::to_string(std::chrono::duration_cast<Milliseconds>(Clock::now() - frozenAt).count()) + " ms");
        machines[1]->signal(SIGCONT);
        machines[20]->signal(SIGCONT);
        pause(Milliseconds(300));
        machines[2]->start(seeds, false);
    }
    auto calmSince = Clock::now();
    // From contact_ms (3,000) on, front-20 is in touch: two of three core machines run and are
    // connected. config_apply_ms is 2,000.
    std::this_thread::sleep_until(std::max(calmSince + Milliseconds(3100), acknowledgedAt + Milliseconds(2100)));
    int count = 0;
    int brokenCount = 0;
    for (; Clock::now() < calmSince + Milliseconds(4900); pause(Milliseconds(80))) {
        for (const auto& key : { oldKey, newKey }) {
            auto id = "in-touch-" + std::to_string(count++);
            int status = request(site.front(20), "GET", "/look/2f", id, key).status();
            auto ran = [&id](const std::vector<std::unique_ptr<Runner>>& runners) {
                return std::any_of(runners.begin(), runners.end(), [&id](const auto& runner) { return runner->hasRun(id); });
            };
            bool isOldService = ran(orders);
            bool isDroppedKey = key == oldKey && (isOldService || ran(stock));
            bool isRefused = key == newKey && (status == 401 || status == 403 || status == 404);
            record.write("client: " + id + " with the " + (key == oldKey ? "dropped" : "new") + " key: " + std::to_string(status) + (isOldService ? ", run by the old service" : "") + (isDroppedKey ? ", run with a dropped key" : "") + (isRefused ? ", refused though its key is there" : ""));
            brokenCount += isOldService || isDroppedKey || isRefused;
        }
    }
    if (hasTrouble())
        machines[3]->start(seeds, false);
    pause(Milliseconds(5000));
    bool isBack = request(site.front(20), "GET", "/look/2f", "after", newKey).status() == 200;
    return finish(record, brokenCount ? broken : held, std::to_string(brokenCount) + " of " + std::to_string(count) + " requests at a front machine in touch are handled as only version 5 allows; 5 s after the dark machine is back, version 9 " + (isBack ? "is" : "is not") + " in force");
}
