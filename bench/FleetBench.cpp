#include "bench/Bench.h"

#include "include/fleet/CrashReportRegistry.h"
#include "include/fleet/FleetMessages.h"
#include "include/fleet/LoadExchange.h"
#include "include/fleet/RequestPermitAllocator.h"
#include "include/routing/CrashGuard.h"

#include <fmt/format.h>

#include <chrono>

namespace arbutus::bench {

using fleet::CrashReportRegistry;
using fleet::RequestPermitAllocator;

static constexpr int rounds = 2000;

template <typename Work>
static double microsecondsEach(const Work& work)
{
    auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
        work(i);
    std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / rounds;
}

static std::string upstreamName(std::size_t i) { return fmt::format("i-{:010x}", i); }

static fleet::FleetPoll pollWithReports(std::size_t count)
{
    fleet::FleetPoll poll;
    for (std::size_t i = 0; i < count; ++i) {
        poll.crashReports.push_back({ ~i, ~i, ~i, false, 20'000 });
        poll.limits.push_back({ upstreamName(i), 12.5, false, 20'000, 2, 0 });
    }
    return poll;
}

static void benchCrashReports(std::size_t count)
{
    base::TimePoint now { std::chrono::hours(1) };
    auto poll = pollWithReports(count);
    poll.limits.clear();
    auto bytes = static_cast<double>(fleet::encode(poll).size() - fleet::encode(fleet::FleetPoll()).size()) / static_cast<double>(count);
    CrashReportRegistry registry;
    for (const auto& report : poll.crashReports)
        registry.apply(report, now);
    fmt::print("crash reports,{},bytes a report,{:.1f}\n", count, bytes);
    fmt::print("crash reports,{},us for the changes of a poll without any,{:.2f}\n", count, microsecondsEach([&](int) { registry.changesSince(registry.revision(), now); }));
    fmt::print("crash reports,{},us to merge a known report,{:.2f}\n", count, microsecondsEach([&](int i) { registry.apply(poll.crashReports[static_cast<std::size_t>(i) % count], now); }));
    fmt::print("crash reports,{},us to look for the crashes of an upstream that answers,{:.2f}\n", count, microsecondsEach([&](int) { registry.refuteCrash(1, now, std::nullopt, now); }));
}

static void benchHoldTime(std::size_t count)
{
    base::TimePoint now { std::chrono::hours(1) };
    routing::CrashGuard guard(1);
    for (std::size_t i = 0; i < count; ++i)
        guard.upstreamCrashed(routing::identifyParts({ upstreamName(i) }), i, now);
    std::vector<std::string> names { "common", "other", "third" };
    std::vector<std::string> suspected { "common", upstreamName(0) };
    fmt::print("held parts,{},us to check a request of three parts,{:.2f}\n", guard.heldPartCount(), microsecondsEach([&](int) { guard.holdTime(routing::identifyParts(names), now); }));
    fmt::print("held parts,{},us to check a request with a suspected part,{:.2f}\n", guard.heldPartCount(), microsecondsEach([&](int) { guard.holdTime(routing::identifyParts(suspected), now); }));
}

static void benchPermits(std::size_t entryVms, std::size_t upstreams)
{
    base::TimePoint now { std::chrono::hours(1) };
    auto poll = pollWithReports(upstreams);
    poll.crashReports.clear();
    auto bytes = static_cast<double>(fleet::encode(poll).size() - fleet::encode(fleet::FleetPoll()).size()) / static_cast<double>(upstreams);
    RequestPermitAllocator allocator;
    for (std::size_t i = 0; i < entryVms; ++i)
        allocator.entryVmPolled(fmt::format("entry-{}", i), true, now);
    allocator.apply(poll.limits, now);
    // Changes are passed on to all VMs for a while; the steady state comes later.
    now += std::chrono::seconds(10);
    fleet::RequestLimitReports wanted { poll.limits.front() };
    fmt::print("limits,{},bytes a report,{:.1f}\n", upstreams, bytes);
    fmt::print("limits,{} of {} entry VMs,us a poll that wants one permit,{:.2f}\n", upstreams, entryVms, microsecondsEach([&](int) {
        allocator.apply(wanted, now);
        allocator.allocate(wanted, now);
    }));
}

// The reports of an entry VM: `upstreams` loads, of which a tenth changes with each.
static fleet::EntryVmLoad reportOf(std::size_t entryVm, std::uint64_t revision, std::size_t upstreams, std::size_t allUpstreams)
{
    fleet::EntryVmLoad report { fmt::format("entry-{}", entryVm), 1, revision, 0, {} };
    for (std::size_t i = 0; i < upstreams; ++i)
        report.load.push_back({ upstreamName((entryVm * 17 + i * 131) % allUpstreams), 1 + static_cast<std::uint32_t>(i % 10 == revision % 10), 20'000, 0 });
    return report;
}

// One control VM of several, whose entry VMs report every second update.
static void benchLoadExchange(std::size_t controlVms, std::size_t entryVms, std::size_t allUpstreams)
{
    constexpr std::size_t upstreamsEach = 30;
    const auto own = entryVms / controlVms;
    base::TimePoint now { std::chrono::hours(1) };
    fleet::PeerLoadTable table;
    fleet::PeerLoadTable peerTable;
    fleet::LoadExchange exchange(table, 1);
    fleet::LoadExchange peer(peerTable, 2);
    exchange.setSelf(1);
    peer.setSelf(2);
    std::vector<std::string> updates;
    std::uint64_t revision = 0;
    auto step = [&] {
        ++revision;
        now += fleet::LoadExchange::interval;
        for (std::size_t i = revision % 2; i < own; i += 2)
            table.record(reportOf(i, revision, upstreamsEach, allUpstreams));
        exchange.tick(
            { 2 }, [&updates](std::uint32_t, const std::string& update) { updates.push_back(update); }, now);
    };
    std::chrono::duration<double, std::micro> spent {};
    std::size_t bytes = 0;
    constexpr std::uint64_t steps = 40;
    for (std::uint64_t i = 0; i < steps; ++i) {
        step();
        auto start = std::chrono::steady_clock::now();
        peer.receive(fleet::decode<fleet::LoadUpdate>(updates.back()).value(), now);
        if (i >= 2) {
            spent += std::chrono::steady_clock::now() - start;
            bytes += updates.back().size();
        }
    }
    auto size = fmt::format("{} control VMs with {} entry VMs and {} upstreams", controlVms, entryVms, allUpstreams);
    fmt::print("load updates,{},bytes an update,{}\n", size, bytes / (steps - 2));
    fmt::print("load updates,{},us to decode and merge an update,{:.1f}\n", size, spent.count() / (steps - 2));
    auto start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < steps; ++i)
        step();
    spent = std::chrono::steady_clock::now() - start;
    fmt::print("load updates,{},us to record the reports of a step and to encode an update,{:.1f}\n", size, spent.count() / steps);
    for (std::size_t i = own; i < entryVms; ++i)
        table.record(reportOf(i, revision, upstreamsEach, allUpstreams));
    fleet::FleetAnswer answer;
    start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < steps; ++i) {
        answer.peerLoad = table.loadExcluding("entry-1");
        bytes = fleet::encode(answer).size();
    }
    spent = std::chrono::steady_clock::now() - start;
    fmt::print("load answer,{},bytes,{}\n", size, bytes);
    fmt::print("load answer,{},us to encode,{:.1f}\n", size, spent.count() / steps);
}

void benchFleet()
{
    fmt::print("state,size,measure,value\n");
    for (std::size_t count : { 8U, 64U, 512U })
        benchCrashReports(count);
    for (std::size_t count : { 8U, 256U })
        benchHoldTime(count);
    for (std::size_t upstreams : { 4U, 64U, 1024U }) {
        benchPermits(61, upstreams);
        benchPermits(1500, upstreams);
    }
    benchLoadExchange(6, 130, 98);
    benchLoadExchange(7, 1500, 6700);
}

} // namespace arbutus::bench
