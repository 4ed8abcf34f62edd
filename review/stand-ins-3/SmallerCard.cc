// Not among the five cases (review/REPORT-3.md): the address of a lost model runner is used by a
// runner of another service, and then by a smaller model runner.

#include "Rig.hh"

using namespace rig;

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
    // The engine of the examples of the pages, for the kinds of the site.
    const std::string engine = R"({"slots":192,"kv_capacity_tokens":100000,"kv_token_bytes":918000,"link_mbps":400000.0,"stride":3,"models":[{"name":"daka510000","pace":1.0,"load_s":14.0,"warmup_s":1.0}],"step_ms":1.02,"per_seq_ms":0.00714,"context_per_k":0.00956,"read_per_s":105000.0,"pairs_per_m":0.309,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":5,"delays":[],"usual":{"prompt":774,"answer":203},"layers":80,"layer_mb":1750.0,"activation_bytes":45900,"pipe_mbps":18000.0,"kinds":[{"name":"a100","mb":72000.0,"pace":2.4,"read_x":3.2},{"name":"l40s","mb":43200.0,"pace":5.6,"read_x":2.7},{"name":"l4","mb":21600.0,"pace":16.0,"read_x":8.2}]})";
    auto model = [&](const std::string& id, int host, const std::string& kind, int megabytes) {
        return std::make_unique<Runner>(record, controls, Runner::Options { id, "model", site.runner(host), 192, kind, megabytes, layerMegabytes });
    };
    auto lost = model("i-1", 60, "a100", 72000);
    auto other = model("i-2", 61, "a100", 72000);
    auto third = model("i-3", 62, "l40s", 43200);
    if (!sendConfiguration(record, controls, configuration(7, { false, engine }), Milliseconds(10000)))
        return finish(record, unusable, "the configuration was not acknowledged");
    for (int i = 0; i < 200 && !(lost->layers().second && other->layers().second && third->layers().second); ++i)
        pause(Milliseconds(100));
    if (!lost->layers().second)
        return finish(record, unusable, "the first model runner got no layers");
    pause(Milliseconds(2000));

    std::unique_ptr<Runner> order;
    std::unique_ptr<Runner> smaller;
    if (hasTrouble()) {
        lost->end();
        // reuse_after_s is 2 s.
        pause(Milliseconds(3000));
        order = std::make_unique<Runner>(record, controls, Runner::Options { "i-4", "orders", site.runner(60) });
        pause(Milliseconds(4000));
        order->end();
        pause(Milliseconds(3000));
        smaller = model("i-5", 60, "l4", 21600);
        if (!smaller->isUsable())
            return finish(record, unusable, "the address could not be used again");
    } else {
        // The same runners come and go, each at an address of its own.
        lost->end();
        pause(Milliseconds(3000));
        order = std::make_unique<Runner>(record, controls, Runner::Options { "i-4", "orders", site.runner(63) });
        pause(Milliseconds(4000));
        order->end();
        pause(Milliseconds(3000));
        smaller = model("i-5", 64, "l4", 21600);
    }
    pause(Milliseconds(15000));
    int excessive = smaller->excessiveOrders() + other->excessiveOrders() + third->excessiveOrders();
    return finish(record, excessive ? broken : held, std::to_string(excessive) + " orders to hold more layers than the runner's memory holds");
}
