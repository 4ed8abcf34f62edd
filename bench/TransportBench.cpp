#include "bench/TransportBench.h"

#include "include/transport/FrameClient.h"
#include "include/transport/FrameServer.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

using namespace arbutus;
using namespace arbutus::transport;

using SteadyClock = std::chrono::steady_clock;

static constexpr std::size_t callsPerSize = 10000;
static constexpr std::chrono::seconds callTimeout { 30 };

static double processorMicroseconds()
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    auto toMicroseconds = [](const timeval& time) { return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec); };
    return toMicroseconds(usage.ru_utime) + toMicroseconds(usage.ru_stime);
}

void benchTransport()
{
    FrameServerOptions serverOptions;
    serverOptions.address = "127.0.0.1";
    serverOptions.sharedKey = "bench";
    serverOptions.id = "state-1";
    auto server = FrameServer::Make(serverOptions, FrameServer::Handler([](const Frame& frame) { return frame.body; })).value();
    FrameClientOptions clientOptions;
    clientOptions.address = serverOptions.address;
    clientOptions.port = server->port();
    clientOptions.sharedKey = serverOptions.sharedKey;
    clientOptions.id = "entry-1";
    auto client = FrameClient::Make(ClientThread::Make(), clientOptions).value();
    auto call = [&](const std::string& body) {
        if (!client->call(1, body, SteadyClock::now() + callTimeout))
            std::abort();
    };
    call("opens the connection");

    std::printf("transport_call,body_bytes,request_wire_bytes,answer_wire_bytes,cpu_us_both_sides,p50_us,p99_us\n");
    for (std::size_t size : { 16, 64, 256, 1024 }) {
        std::string body(size, 'x');
        std::vector<double> latencies;
        latencies.reserve(callsPerSize);
        auto before = client->totals();
        double processorBefore = processorMicroseconds();
        for (std::size_t i = 0; i < callsPerSize; ++i) {
            auto start = SteadyClock::now();
            call(body);
            latencies.push_back(std::chrono::duration<double, std::micro>(SteadyClock::now() - start).count());
        }
        double processor = (processorMicroseconds() - processorBefore) / static_cast<double>(callsPerSize);
        auto after = client->totals();
        std::sort(latencies.begin(), latencies.end());
        auto perCall = [](std::uint64_t count) { return static_cast<double>(count) / static_cast<double>(callsPerSize); };
        std::printf("transport_call,%zu,%.1f,%.1f,%.1f,%.1f,%.1f\n", size, perCall(after.bytesOut - before.bytesOut), perCall(after.bytesIn - before.bytesIn), processor, latencies[callsPerSize / 2], latencies[callsPerSize * 99 / 100]);
    }
}
