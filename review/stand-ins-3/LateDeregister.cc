// review/13: a model runner restarts under its id while a link is cut; the departure of its
// earlier process arrives after the cut, when the new process works.

#include "Rig.hh"

using namespace rig;

// The links between one runner and the control VMs. While they are cut, the bytes of open
// connections are held up, and new connections come to nothing. A held part is delivered when
// its sender's kernel sends it again: 0.2 s after the first time, then after twice the time.
class Links {
public:
    Links(const Site& site, Record& record, const std::vector<Address>& controls)
        : record_(record)
    {
        int host = 70;
        for (const auto& control : controls) {
            Address address { site.ip(host++), control.port };
            int listener = listenAt(address);
            isUsable_ = isUsable_ && listener >= 0;
            addresses_.push_back(address);
            std::thread([this, listener, control] { accept(listener, control); }).detach();
        }
    }
    const std::vector<Address>& addresses() const { return addresses_; }
    bool isUsable() const { return isUsable_; }
    void setCut(bool isCut) { isCut_ = isCut; }

private:
    void accept(int listener, const Address& control)
    {
        for (;;) {
            int near = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (near < 0)
                continue;
            if (isCut_) {
                // The first packet is lost; the caller gives up after a second.
                std::thread([near] {
                    pause(Milliseconds(1500));
                    close(near);
                }).detach();
                continue;
            }
            int far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            auto raw = socketAddress(control);
            if (connect(far, reinterpret_cast<sockaddr*>(&raw), sizeof raw)) {
                close(far);
                close(near);
                continue;
            }
            std::thread([this, near, far] { pass(near, far); }).detach();
            std::thread([this, near, far] { pass(far, near); }).detach();
        }
    }
    void pass(int from, int to)
    {
        char part[16384];
        for (;;) {
            auto count = recv(from, part, sizeof part, 0);
            auto sentAt = Clock::now();
            bool isHeld = isCut_ && count > 0;
            for (Milliseconds wait(200); isCut_; wait *= 2)
                std::this_thread::sleep_until(sentAt += wait);
            if (isHeld)
                record_.write("network: delivers what was held up: " + std::string(part, std::min<std::size_t>(static_cast<std::size_t>(count), 60)).substr(0, std::string(part, static_cast<std::size_t>(count)).find("\r\n")));
            if (count <= 0 || !sendAll(to, std::string(part, static_cast<std::size_t>(count))))
                break;
        }
        shutdown(to, SHUT_WR);
    }

    Record& record_;
    std::atomic<bool> isCut_ { false };
    bool isUsable_ = true;
    std::vector<Address> addresses_;
};

static constexpr int layerMegabytes = 1750;

int main(int, char** argv)
{
    Record record(argv[1]);
    Site site;
    if (!site.isUsable())
        return finish(record, unusable, "no free addresses, no folder or no program");
    const std::vector<int> seeds { 1, 2, 3 };
    const std::vector<Address> controls { site.control(1), site.control(2), site.control(3) };
    std::vector<std::unique_ptr<Process>> processes;
    for (int host : seeds) {
        processes.push_back(std::make_unique<Process>(site, record, "core-" + std::to_string(host), "control", host));
        processes.back()->start(seeds, true);
    }
    processes.push_back(std::make_unique<Process>(site, record, "front-20", "entry", 20));
    processes.back()->start(seeds, true);
    // Lives as long as the process: its threads are not joined.
    auto& links = *new Links(site, record, controls);
    if (!links.isUsable())
        return finish(record, unusable, "no free addresses");

    const std::string engine = R"({"slots":192,"kv_capacity_tokens":100000,"kv_token_bytes":918000,"link_mbps":400000.0,"stride":3,"models":[{"name":"daka510000","pace":1.0,"load_s":14.0,"warmup_s":1.0}],"step_ms":1.02,"per_seq_ms":0.00714,"context_per_k":0.00956,"read_per_s":105000.0,"pairs_per_m":0.309,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":5,"delays":[],"usual":{"prompt":774,"answer":203},"layers":80,"layer_mb":1750.0,"activation_bytes":45900,"pipe_mbps":18000.0,"kinds":[{"name":"a100","mb":72000.0,"pace":2.4,"read_x":3.2},{"name":"l40s","mb":43200.0,"pace":5.6,"read_x":2.7},{"name":"l4","mb":21600.0,"pace":16.0,"read_x":8.2}]})";
    Runner order(record, controls, { "i-4", "orders", site.runner(64) });
    if (!sendConfiguration(record, controls, configuration(7), Milliseconds(10000)))
        return finish(record, unusable, "the configuration was not acknowledged");
    pause(Milliseconds(2000));
    // The model takes all three runners.
    Runner first(record, controls, { "i-1", "model", site.runner(60), 192, "a100", 72000, layerMegabytes });
    Runner third(record, controls, { "i-3", "model", site.runner(62), 192, "l40s", 43200, layerMegabytes });
    Runner::Options restarting { "i-2", "model", site.runner(61), 192, "a100", 72000, layerMegabytes, true };
    auto second = std::make_unique<Runner>(record, links.addresses(), restarting);
    // The next version adds a route to it.
    if (!sendConfiguration(record, controls, configuration(9, { false, engine }), Milliseconds(10000)))
        return finish(record, unusable, "the change of the configuration was not acknowledged");
    for (int i = 0; i < 200 && !(first.layers().second && second->layers().second && third.layers().second); ++i)
        pause(Milliseconds(100));
    pause(Milliseconds(3000));
    if (sendRequests(record, { site.front(20) }, "POST", "/draft/2f", "before", 20, Milliseconds(50)).served < 18)
        return finish(record, unusable, "streams were not served before the disruption");

    // Planned work: i-2 drains, leaves and starts again under its id, at its address.
    if (!second->drain(Milliseconds(5000)))
        return finish(record, unusable, "draining was not acknowledged");
    pause(Milliseconds(2000));
    auto cutAt = Clock::now();
    if (hasTrouble()) {
        record.write("network: cuts i-2 from the control VMs");
        links.setCut(true);
    }
    pause(Milliseconds(300));
    second->deregister();
    second.reset();
    pause(Milliseconds(500));
    second = std::make_unique<Runner>(record, links.addresses(), restarting);
    if (!second->isUsable())
        return finish(record, unusable, "the address could not be used again");
    // The default length of a cut.
    std::this_thread::sleep_until(cutAt + std::chrono::seconds(5));
    if (hasTrouble()) {
        record.write("network: the cut has healed");
        links.setCut(false);
    }
    // A load of all layers takes 14 s; recovery_s is 12 s.
    pause(Milliseconds(20000));
    int acknowledgedBefore = second->acknowledged();
    Tally looks;
    std::thread clients([&] { looks = sendRequests(record, { site.front(20) }, "GET", "/look/2f", "first", 100, Milliseconds(180)); });
    auto added = sendRequests(record, { site.front(20) }, "POST", "/draft/2f", "added", 100, Milliseconds(180));
    clients.join();
    record.write("runner i-2: works; " + std::to_string(second->acknowledged() - acknowledgedBefore) + " of its heartbeats were acknowledged meanwhile");
    return finish(record, areAddedRoutesNeglected(looks, added) ? broken : held, "from 20 s after the cut: first routes: " + looks.text() + "; added route: " + added.text());
}
