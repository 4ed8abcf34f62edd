#include "tests/StateFixture.h"

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

using namespace arbutus;
using namespace arbutus::state;

static AuditExport sampleExport(StateFixture& state)
{
    for (std::uint64_t i = 1; i <= 10; ++i) {
        state.advanceClock(std::chrono::seconds(1));
        state.apply(claimCommand(fmt::format("k{}", i), i));
    }
    return state.machine->audit().exportAfter(0, 100);
}

// Guards against undetected tampering: a removed, changed, reordered or added record
// must be detected, and the reason must name the record.
BOOST_AUTO_TEST_CASE(VerifyReportsTamperedRecord)
{
    StateFixture state;
    AuditExport original = sampleExport(state);
    BOOST_TEST(!AuditChain::verify(original));
    BOOST_TEST((original.lastDigest == state.machine->audit().head()));

    struct Tampering {
        std::string reason;
        std::function<void(AuditExport&)> change;
    };
    const Tampering cases[] = {
        { "record 5 is missing or out of order; record 6", [](AuditExport& e) { e.records.erase(e.records.begin() + 4); } },
        { "record 1 is missing or out of order; record 2", [](AuditExport& e) { e.records.erase(e.records.begin()); } },
        { "record 10 is missing at the end", [](AuditExport& e) { e.records.pop_back(); } },
        { "record 3 is missing or out of order; record 4", [](AuditExport& e) { std::swap(e.records[2], e.records[3]); } },
        { "record 3 was changed", [](AuditExport& e) { std::swap(e.records[2], e.records[3]); std::swap(e.records[2].sequence, e.records[3].sequence); } },
        { "record 6 was changed", [](AuditExport& e) { e.records[5].result = "refused"; } },
        { "record 6 was changed", [](AuditExport& e) { e.records[5].time += std::chrono::microseconds(1); } },
        { "record 6 was changed", [](AuditExport& e) { e.records[5].commandDigest[31] ^= 1; } },
        // Moves text from one field to the next, so the concatenated fields are unchanged.
        { "record 2 was changed", [](AuditExport& e) { e.records[1].actor += e.records[1].subject; e.records[1].subject.clear(); } },
        { "record 5 is missing or out of order; record 4", [](AuditExport& e) { e.records.insert(e.records.begin() + 4, e.records[3]); } },
        { "record 10 was replaced", [](AuditExport& e) { e.lastDigest[0] ^= 1; } },
    };
    for (const auto& [reason, change] : cases) {
        AuditExport tampered = original;
        change(tampered);
        auto fault = AuditChain::verify(tampered);
        BOOST_REQUIRE(fault);
        BOOST_TEST(fault->reason.find(reason) == 0U, "expected '" << reason << "', got '" << fault->reason << "'");
    }
}

// Guards against an undetected replacement whose own digest was recomputed. The next
// record no longer matches its predecessor, and the reason names both.
BOOST_AUTO_TEST_CASE(VerifyReportsReplacedRecordAtItsSuccessor)
{
    StateFixture state;
    AuditExport original = sampleExport(state);
    StateFixture other;
    for (std::uint64_t i = 1; i <= 5; ++i) {
        other.advanceClock(std::chrono::seconds(1));
        other.apply(claimCommand(fmt::format("k{}", i), i == 5 ? 99 : i));
    }
    original.records[4] = other.machine->audit().exportAfter(4, 1).records[0];
    auto fault = AuditChain::verify(original);
    BOOST_REQUIRE(fault);
    BOOST_TEST(fault->reason == "record 6 was changed, or record 5 was replaced");
}

// Guards against wrong bounds of an exported period, and against a trim that removes
// records that were not exported or breaks the chain.
BOOST_AUTO_TEST_CASE(ExportsPeriodsAndTrimsOnlyWithMatchingDigest)
{
    StateFixture state;
    base::WallTime start = state.now;
    sampleExport(state);
    const AuditChain* audit = &state.machine->audit();
    AuditExport period = audit->exportPeriod(start + std::chrono::seconds(3), start + std::chrono::seconds(6));
    BOOST_REQUIRE_EQUAL(period.records.size(), 3U);
    BOOST_TEST(period.records[0].sequence == 3U);
    BOOST_TEST(!AuditChain::verify(period));
    BOOST_TEST(audit->exportPeriod(start + std::chrono::hours(1), start).records.empty());

    std::string digest = toHex(period.lastDigest);
    BOOST_TEST(resultName(state.apply(TrimAudit { "ada", 6, digest })) == "forbidden");
    BOOST_TEST(resultName(state.apply(TrimAudit { "ada", 99, digest })) == "not-found");
    BOOST_TEST(resultName(state.apply(TrimAudit { "ada", 5, digest })) == "accepted");
    BOOST_TEST(resultName(state.apply(TrimAudit { "ada", 5, digest })) == "not-found");
    state.restartFromSnapshot();
    AuditBacklog backlog = state.machine->audit().backlog();
    BOOST_TEST(backlog.firstSequence == 6U);
    BOOST_TEST(backlog.lastSequence == 14U);
    BOOST_TEST((backlog.oldestTime == start + std::chrono::seconds(6)));
    // The remaining records are chained to the trimmed export, and the trim itself is audited.
    AuditExport rest = state.machine->audit().exportAfter(0, 100);
    BOOST_TEST((rest.previousDigest == period.lastDigest));
    BOOST_TEST(!AuditChain::verify(rest));
    BOOST_TEST(rest.records[7].command == "TrimAudit");
}

static std::string describeUpdate(const ConfigurationUpdate& update)
{
    return fmt::format("feed revision={} full={} sheet={} drained={} undrained={} blamed={} digest={}\n", update.revision, update.isFull, update.sheetRevision, update.drained.size(), update.undrained.size(), update.blamed.size(), update.digest);
}

static std::string firstDifference(const std::string& text, const std::string& golden)
{
    std::istringstream actualLines(text);
    std::istringstream expectedLines(golden);
    std::string actual;
    std::string expected;
    do {
        actual.clear();
        expected.clear();
        std::getline(actualLines, actual);
        std::getline(expectedLines, expected);
    } while (actual == expected && actualLines && expectedLines);
    return actual + "\ninstead of " + expected;
}

// Guards against unintended changes to a rule, a digest, or the serialized form of the
// log, the audit chain or the snapshot. ARBUTUS_REWRITE_GOLDEN=1 rewrites the file.
BOOST_AUTO_TEST_CASE(ScriptedSessionMatchesGoldenFile)
{
    StateFixture state;
    const std::pair<int, CommandBody> script[] = {
        { 0, ApplySheet { "ada", 1, 0, sheetText(3, 0) } },
        { 1, ApplySheet { "bea", 1, 0, sheetText(3, 1) } },
        { 1, ApplySheet { "ada", 1, 0, sheetText(3, 0) } },
        { 2, ApplySheet { "bea", 2, 1, sheetText(2, 1) } },
        { 1, claimCommand("k1", 0x11) },
        { 1, claimCommand("k1", 0x12, "entry-2") },
        { 1, answerCommand("k1", 0x11, "{\"booking\":7}") },
        { 1, claimCommand("k1", 0x13) },
        { 1, claimCommand("k1", 0x14, "entry-1", digestB) },
        { 1, CloseClaim { orderKey("k2"), 0x21 } },
        { 1, claimCommand("k2", 0x21) },
        { 1, claimCommand("k3", 0x31) },
        { 5, DeclareEntryGone { "entry-1", 1 } },
        { 1, claimCommand("k3", 0x32, "entry-2") },
        { 1, ResolveOrder { "ada", orderKey("k3"), true, { 200, "text/plain", "found by hand" } } },
        { 1, RecordOrderRefusal { orderKey("k4"), "entry-2", static_cast<std::uint32_t>(base::ErrorKind::KeyRequired), "no key" } },
        { 1, RecordRefusals { "entry-2", state.now, state.now + std::chrono::seconds(10), { { "fiere", static_cast<std::uint32_t>(base::ErrorKind::Overloaded), 12 } } } },
        { 1, SetDrain { "ada", "engine-4", true } },
        { 1, RecordCrash { digestA, "engine-1", 3, true } },
        { 1, RecordCrash { digestA, "engine-2", 1, true } },
        { 1, ClearCrash { digestB, "engine-2", 1 } },
        { 1, IssueFencingToken { "engine-4", "entry-2" } },
        { 1, ChangeReplicas { "ada", "add learner replica-4" } },
        { 7200, SetDrain { "ada", "engine-4", false } },
    };
    for (const auto& [seconds, body] : script) {
        state.advanceClock(std::chrono::seconds(seconds));
        state.apply(body);
    }
    state.applyBytes("");
    state.applyBytes("not a command");
    std::string text;
    for (const auto& record : state.machine->audit().exportAfter(0, 1000).records)
        text += toString(record) + "\n";
    text += describeUpdate(state.machine->changesSince(2)) + describeUpdate(state.machine->fullCopy());
    text += "snapshot " + base::sha256Hex(state.machine->encodeSnapshot()) + "\n";

    const std::string path = std::string(ARBUTUS_SOURCE_DIR) + "/tests/golden/state-session.txt";
    if (const char* rewrite = std::getenv("ARBUTUS_REWRITE_GOLDEN"); rewrite && std::string_view(rewrite) == "1")
        std::ofstream(path) << text;
    std::stringstream golden;
    golden << std::ifstream(path).rdbuf();
    BOOST_TEST((text == golden.str()), "first difference: " << firstDifference(text, golden.str()));
}
