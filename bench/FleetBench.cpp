#include "bench/Bench.h"

#include "include/fleet/CrashReportRegistry.h"
#include "include/fleet/FleetMessages.h"
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
    fmt::print("crash reports,{},us to look for the crashes of an upstream that answers,{:.2f}\n", count, microsecondsEach([&](int) { registry.refuteCrash(1, now, now); }));
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
}

} // namespace arbutus::bench
