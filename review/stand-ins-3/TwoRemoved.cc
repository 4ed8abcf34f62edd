// review/11: a core machine whose successor has caught up is removed for good, and another one
// half a second later.

#include "Rig.hh"

using namespace rig;

// Reads the configuration at one node, without following it to the leader.
static Message readAt(const Address& control, int redirections)
{
    return call(control, "GET", "/arbutusshunt/Config.Get", "", "", Milliseconds(1000), redirections);
}

int main(int, char** argv)
{
    Record record(argv[1]);
    Site site;
    if (!site.isUsable())
        return finish(record, unusable, "no free addresses, no folder or no program");
    std::map<int, std::unique_ptr<Process>> cores;
    auto start = [&](int host, const std::vector<int>& seeds, bool isBootstrap) {
        cores[host] = std::make_unique<Process>(site, record, "core-" + std::to_string(host), "control", host);
        cores[host]->start(seeds, isBootstrap);
    };
    for (int host : { 1, 2, 3 })
        start(host, { 1, 2, 3 }, true);
    auto addresses = [&] {
        std::vector<Address> result;
        for (const auto& [host, core] : cores)
            result.push_back(site.control(host));
        return result;
    };
    if (!sendConfiguration(record, addresses(), configuration(7), Milliseconds(10000)))
        return finish(record, unusable, "the first configuration was not acknowledged");
    // The new machine comes first, and runs for longer than catch_up_s (4).
    start(4, { 1, 2, 3 }, false);
    pause(Milliseconds(6000));
    if (!sendConfiguration(record, addresses(), configuration(9), Milliseconds(10000)))
        return finish(record, unusable, "the change of the configuration was not acknowledged");
    pause(Milliseconds(500));

    int leader = 0;
    for (int host : { 1, 2, 3 }) {
        if (readAt(site.control(host), 0).status() == 200)
            leader = host;
    }
    if (!leader)
        return finish(record, unusable, "none of the first three machines answers as the leader");
    int other = leader == 1 ? 2 : 1;
    if (hasTrouble()) {
        record.write("platform: core-" + std::to_string(leader) + " is removed without SIGTERM; its successor core-4 has run for more than 6 s");
        cores[leader]->end(SIGKILL);
        cores.erase(leader);
        pause(Milliseconds(500));
        record.write("platform: core-" + std::to_string(other) + " is gone for good; an empty machine comes 1 s later at another address");
        cores[other]->end(SIGKILL);
        cores.erase(other);
        pause(Milliseconds(1000));
        std::vector<int> seeds;
        for (const auto& [host, core] : cores)
            seeds.push_back(host);
        start(5, seeds, false);
        for (int host : seeds)
            cores[host]->reload(seeds);
    }
    // recovery_s is 12 s; twice that.
    pause(Milliseconds(24000));
    bool isRead = false;
    // The end of the day: the operator reads for longer than contact_ms (3,000).
    for (int i = 0; i < 20 && !isRead; ++i) {
        for (const auto& address : addresses()) {
            auto answer = readAt(address, 2);
            record.write("operator: Config.Get at " + address.text() + ": " + describe(answer));
            isRead = isRead || (answer.status() == 200 && answer.body.find("\"version\":9") != std::string::npos);
        }
        pause(Milliseconds(400));
    }
    bool isChanged = sendConfiguration(record, addresses(), configuration(11), Milliseconds(8000));
    return finish(record, isRead ? held : broken, std::string("version 9, acknowledged before, ") + (isRead ? "is read back" : "is not read back from 24 s to 32 s after the losses") + "; a further change is " + (isChanged ? "acknowledged" : "not acknowledged in 8 s"));
}
