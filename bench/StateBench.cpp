#include "bench/StateBench.h"

#include "include/base/Digest.h"
#include "include/base/Random.h"
#include "include/state/StateMachine.h"

#include <fmt/format.h>
#include <malloc.h>

#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

using namespace arbutus::state;

namespace arbutus::bench {

static constexpr std::uint64_t seed = 20261204;
static constexpr std::size_t answerBytes = 200;
// Number of timed commands of each kind that does not populate the state.
static constexpr std::size_t timedCommands = 500;

static double processorMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// Includes large allocations, which are mapped outside the heap.
static std::size_t heapBytes()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void print(std::string_view metric, std::size_t size, double value, std::string_view unit) { fmt::print("state,{},{},{:.3f},{}\n", metric, size, value, unit); }

static void require(bool isExpected)
{
    if (!isExpected) {
        fmt::print(stderr, "bench: a command had an unexpected outcome\n");
        std::abort();
    }
}

static OrderKey orderKey(std::size_t i) { return { fmt::format("team-{}", i % 10), "magazzino", fmt::format("order-{:08}", i) }; }

namespace {
// Applies encoded commands and prints the mean CPU time per command.
class Driver {
public:
    template <typename MakeBody>
    void run(std::string_view metric, std::size_t size, std::size_t count, std::string_view result, MakeBody makeBody)
    {
        std::vector<std::string> commands;
        commands.reserve(count);
        for (std::size_t i = 0; i < count; ++i) {
            now_ += std::chrono::microseconds(100);
            commands.push_back(encodeCommand({ now_, makeBody(i) }));
        }
        std::size_t unexpected = 0;
        double start = processorMicroseconds();
        for (const auto& command : commands)
            unexpected += resultName(machine_.apply(machine_.appliedIndex() + 1, command)) != result;
        print(metric, size, (processorMicroseconds() - start) / static_cast<double>(count), "us/command");
        require(!unexpected);
    }

    const StateMachine& machine() const { return machine_; }
    base::WallTime now() const { return now_; }

private:
    StateMachine machine_;
    base::WallTime now_ { std::chrono::seconds(1'796'342'400) };
};
} // namespace

static void benchCommands(std::size_t orders)
{
    base::Random random(seed);
    std::string body = base::sha256Hex("body");
    std::string answer(answerBytes, 'x');
    Driver driver;
    driver.run("ClaimOrder", orders, orders, "granted", [&](std::size_t i) { return ClaimOrder { orderKey(i), body, i + 1, "entry-1", 1 }; });
    driver.run("RecordOutcome", orders, orders, "accepted", [&](std::size_t i) { return RecordOutcome { orderKey(i), i + 1, false, { 201, "application/json", answer } }; });
    driver.run("ClaimOrder-replay", orders, timedCommands, "answered", [&](std::size_t) { return ClaimOrder { orderKey(random.below(orders)), body, 1, "entry-2", 1 }; });
    driver.run("RecordOutcome-256KiB", orders, 20, "order-outcome-unknown", [&](std::size_t i) { return RecordOutcome { orderKey(i), i + 2, false, { 201, "", std::string(maxOutcomeBodyBytes, 'x') } }; });
    driver.run("CloseClaim", orders, timedCommands, "accepted", [&](std::size_t i) { return CloseClaim { orderKey(orders + i), 1 }; });
    driver.run("ClaimOrder-crashed", orders, timedCommands, "granted", [&](std::size_t i) { return ClaimOrder { orderKey(2 * orders + timedCommands + i), body, 1, "entry-3", 1 }; });
    driver.run("DeclareEntryGone-500-claims", orders, 1, "accepted", [](std::size_t) { return DeclareEntryGone { "entry-3", 1 }; });
    driver.run("ResolveOrder", orders, timedCommands, "accepted", [&](std::size_t i) { return ResolveOrder { "ada", orderKey(2 * orders + timedCommands + i), false, {} }; });
    driver.run("SetDrain", orders, timedCommands, "accepted", [](std::size_t i) { return SetDrain { "ada", fmt::format("engine-{}", i), true }; });
    driver.run("RecordCrash", orders, timedCommands, "accepted", [](std::size_t i) { return RecordCrash { base::sha256Hex(std::to_string(i)), "engine-1", 1, true }; });
    driver.run("RecordCrash-blamed", orders, timedCommands, "blamed", [](std::size_t i) { return RecordCrash { base::sha256Hex(std::to_string(i)), "engine-2", 1, true }; });
    driver.run("ClearCrash", orders, timedCommands, "accepted", [](std::size_t i) { return ClearCrash { base::sha256Hex("none" + std::to_string(i)), "engine-1", 1 }; });
    driver.run("TakeFencingNumber", orders, timedCommands, "accepted", [](std::size_t) { return IssueFencingToken { "engine-1", "entry-1" }; });
    driver.run("RecordOrderRefusal", orders, timedCommands, "accepted", [](std::size_t i) { return RecordOrderRefusal { orderKey(i), "entry-1", 0, "no key" }; });
    driver.run("RecordRefusals-10-counts", orders, timedCommands, "accepted", [&](std::size_t) { return RecordRefusals { "entry-1", driver.now(), driver.now(), std::vector<RefusalCount>(10, { "fiere", 10, 3 }) }; });

    double start = processorMicroseconds();
    std::string snapshot = driver.machine().encodeSnapshot();
    print("snapshot-encode", orders, (processorMicroseconds() - start) / 1000, "ms");
    print("snapshot", orders, static_cast<double>(snapshot.size()), "bytes");
    start = processorMicroseconds();
    auto restored = StateMachine::MakeFromSnapshot(snapshot);
    print("snapshot-decode", orders, (processorMicroseconds() - start) / 1000, "ms");
    require(restored.has_value() && restored.value()->encodeSnapshot() == snapshot);

    AuditExport exported = driver.machine().audit().exportAfter(0, orders * 3);
    start = processorMicroseconds();
    require(!AuditChain::verify(exported));
    print("audit-verify", orders, (processorMicroseconds() - start) / static_cast<double>(exported.records.size()), "us/record");
    auto head = toHex(exported.lastDigest);
    driver.run("TrimAudit", orders, 1, "accepted", [&](std::size_t) { return TrimAudit { "ada", exported.lastSequence, head }; });
}

static void benchOrderMemory(std::size_t orders)
{
    Limits limits;
    base::WallTime now { std::chrono::seconds(1'796'342'400) };
    std::string body = base::sha256Hex("body");
    std::size_t before = heapBytes();
    {
        OrderLedger ledger(limits);
        for (std::size_t i = 0; i < orders; ++i) {
            ledger.claim({ orderKey(i), body, i + 1, "entry-1", 1 }, now, now, false);
            ledger.recordOutcome({ orderKey(i), i + 1, false, { 201, "application/json", std::string(answerBytes, 'x') } }, now);
        }
        print("memory-order-with-answer", orders, static_cast<double>(heapBytes() - before) / static_cast<double>(orders), "bytes/order");
        ledger.expire(now + std::chrono::hours(25));
        print("memory-order-digest-only", orders, static_cast<double>(heapBytes() - before) / static_cast<double>(orders), "bytes/order");
    }
    before = heapBytes();
    AuditChain audit(limits.maxAuditRecords);
    for (std::size_t i = 0; i < orders; ++i) {
        AuditRecord record;
        record.index = i + 1;
        record.time = now;
        record.command = "ClaimOrder";
        record.actor = "entry-1 incarnation 1";
        record.subject = toString(orderKey(i));
        record.result = "granted";
        record.detail = "claim=0000000000000001 body=" + body;
        audit.append(std::move(record));
    }
    print("memory-audit-record", orders, static_cast<double>(heapBytes() - before) / static_cast<double>(orders), "bytes/record");
}

static std::string sheetText(std::size_t rows, std::size_t version)
{
    static constexpr std::size_t models = 6;
    std::string csv = sheet::Sheet().canonicalText();
    for (std::size_t i = 0; i < rows; ++i)
        csv += fmt::format("model,team-{:04},model-{},4.{},adapter-{},5,1.5,8,10,engines-large,,,48\n", i / models, i % models, i == rows / 2 ? version : 0, i % 7);
    return csv;
}

static void benchSheet(std::size_t rows)
{
    static constexpr std::size_t sheets = 20;
    static constexpr std::size_t lookups = 200'000;
    Driver driver;
    ConfigurationView view;
    driver.run("ApplySheet-first", rows, 1, "accepted", [&](std::size_t) { return ApplySheet { "ada", 0, 0, sheetText(rows, 0) }; });
    auto full = driver.machine().changesSince(0);
    print("feed-full-copy", rows, static_cast<double>(encodeUpdate(full).size()), "bytes");
    double start = processorMicroseconds();
    require(view.apply(full).has_value());
    print("view-apply-full", rows, processorMicroseconds() - start, "us");

    driver.run("ApplySheet-1-row-changed", rows, sheets, "accepted", [&](std::size_t i) { return ApplySheet { "ada", i + 1, i + 1, sheetText(rows, i + 1) }; });
    driver.run("ApplySheet-resend", rows, sheets, "resend", [&](std::size_t i) { return ApplySheet { "ada", i + 1, i + 1, sheetText(rows, i + 1) }; });
    driver.run("ApplySheet-conflict", rows, sheets, "sheet-conflict", [&](std::size_t i) { return ApplySheet { "bea", i + 1, 1, sheetText(rows, 99) }; });
    start = processorMicroseconds();
    auto delta = driver.machine().changesSince(1);
    std::string bytes = encodeUpdate(delta);
    print("feed-delta-make", rows, processorMicroseconds() - start, "us");
    print("feed-delta-1-row", rows, static_cast<double>(bytes.size()), "bytes");
    start = processorMicroseconds();
    require(view.apply(decodeUpdate(bytes).value()).has_value());
    print("view-apply-delta", rows, processorMicroseconds() - start, "us");
    start = processorMicroseconds();
    auto same = driver.machine().changesSince(view.revision());
    print("feed-nothing-new-make", rows, processorMicroseconds() - start, "us");
    print("feed-nothing-new", rows, static_cast<double>(encodeUpdate(same).size()), "bytes");

    const auto& sheet = *view.current().sheet;
    base::Random random(seed);
    std::vector<std::string> teams = sheet.teams();
    std::size_t found = 0;
    start = processorMicroseconds();
    for (std::size_t i = 0; i < lookups; ++i)
        found += sheet.findModel(teams[random.below(teams.size() - 1)], "model-3") ? 1 : 0;
    print("sheet-find-model", rows, (processorMicroseconds() - start) * 1000 / static_cast<double>(lookups), "ns/lookup");
    require(found == lookups);

    std::string csv = sheetText(rows, 1);
    std::size_t before = heapBytes();
    start = processorMicroseconds();
    auto parsed = sheet::Sheet::Make(csv);
    print("sheet-parse", rows, (processorMicroseconds() - start) / static_cast<double>(rows), "us/row");
    print("memory-sheet-row", rows, static_cast<double>(heapBytes() - before) / static_cast<double>(rows), "bytes/row");
    require(parsed.has_value());
}

void benchState()
{
    fmt::print("bench,metric,size,value,unit\n");
    for (std::size_t orders : { 1'000U, 4'000U, 16'000U, 64'000U }) {
        benchCommands(orders);
        benchOrderMemory(orders);
    }
    for (std::size_t rows : { 100U, 400U, 1'600U, 6'400U })
        benchSheet(rows);
}

} // namespace arbutus::bench
