#include "include/state/PackedDocument.h"
#include "tests/StateFixture.h"

using namespace arbutus;
using namespace arbutus::state;

static std::string applyAndName(StateFixture& state, CommandBody body) { return std::string(resultName(state.apply(std::move(body)))); }

// Guards against an order that runs twice because two entry VMs claim the same key
// concurrently.
BOOST_AUTO_TEST_CASE(OneOfTwoRacingClaimsIsGranted)
{
    StateFixture state;
    BOOST_TEST(applyAndName(state, claimCommand("k", 1, "entry-1")) == "granted");
    BOOST_TEST(applyAndName(state, claimCommand("k", 2, "entry-2")) == "running");
    // A retry of the same claim, whose response was lost.
    BOOST_TEST(applyAndName(state, claimCommand("k", 1, "entry-1")) == "granted");
    // A claim that was not granted cannot record an outcome.
    BOOST_TEST(applyAndName(state, answerCommand("k", 2)) == "order-outcome-unknown");
    BOOST_TEST(applyAndName(state, answerCommand("k", 1, "first")) == "accepted");
    auto reply = outcomeAs<ClaimReply>(state.apply(claimCommand("k", 3, "entry-2")));
    BOOST_TEST((reply.status == ClaimStatus::Answered));
    BOOST_TEST(reply.recorded->answer.body == "first");
    // A repeated outcome is accepted; a different one for the same claim is refused.
    BOOST_TEST(applyAndName(state, answerCommand("k", 1, "first")) == "accepted");
    BOOST_TEST(applyAndName(state, answerCommand("k", 1, "second")) == "order-outcome-unknown");
    // A key that was used with one body is refused with another.
    BOOST_TEST(applyAndName(state, claimCommand("k", 4, "entry-1", digestB)) == "key-conflict");
}

// Guards against a claim that is granted after its holder reported the order as not run.
BOOST_AUTO_TEST_CASE(ClosedClaimIsNeverGranted)
{
    StateFixture state;
    // The close is committed before its claim.
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("k"), 1 }) == "accepted");
    BOOST_TEST(applyAndName(state, claimCommand("k", 1)) == "claim-closed");
    BOOST_TEST(applyAndName(state, claimCommand("k", 2)) == "granted");
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("k"), 2 }) == "accepted");
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("k"), 2 }) == "accepted");
    BOOST_TEST(applyAndName(state, answerCommand("k", 2)) == "order-outcome-unknown");
    BOOST_TEST(applyAndName(state, claimCommand("k", 2)) == "claim-closed");
    BOOST_TEST(applyAndName(state, claimCommand("k", 3)) == "granted");
    // Closing a claim that is not current leaves the current claim open.
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("k"), 9 }) == "accepted");
    BOOST_TEST(applyAndName(state, claimCommand("k", 4)) == "running");
    BOOST_TEST(applyAndName(state, answerCommand("k", 3)) == "accepted");
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("k"), 3 }) == "order-outcome-unknown");

    // A claim as old as the tombstone retention is refused, so it cannot outlive its tombstone.
    std::string late = encodeCommand({ state.now, claimCommand("late", 7) });
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("late"), 7 }) == "accepted");
    state.advanceClock(std::chrono::hours(24));
    BOOST_TEST(applyAndName(state, claimCommand("other", 8)) == "granted");
    BOOST_TEST(!state.machine->orders().find(orderKey("late")));
    BOOST_TEST(resultName(state.applyBytes(late)) == "claim-unconfirmed");
}

// Guards against granting a closed claim whose tombstone was not stored because the
// order had reached the tombstone limit.
BOOST_AUTO_TEST_CASE(TooManyClosedClaimsSuspendGrants)
{
    Limits limits;
    limits.maxClosedClaimsPerOrder = 2;
    StateFixture state(limits);
    state.apply(CloseClaim { orderKey("k"), 1 });
    state.apply(CloseClaim { orderKey("k"), 2 });
    state.advanceClock(std::chrono::hours(23));
    std::string late = encodeCommand({ state.now, claimCommand("k", 3) });
    state.apply(CloseClaim { orderKey("k"), 3 });
    BOOST_TEST(resultName(state.applyBytes(late)) == "overloaded");
    // The first two tombstones expire. No tombstone was stored for the third claim.
    state.advanceClock(std::chrono::hours(2));
    state.apply(IssueFencingToken { "x", "y" });
    state.restartFromSnapshot();
    BOOST_TEST(resultName(state.applyBytes(late)) == "overloaded");
    state.advanceClock(std::chrono::hours(22));
    BOOST_TEST(applyAndName(state, claimCommand("k", 4)) == "granted");
    BOOST_TEST(resultName(state.applyBytes(late)) == "running");
}

// Guards against an order that runs twice after a crash between claim and outcome.
BOOST_AUTO_TEST_CASE(UnknownOrderStaysUnknownUntilResolved)
{
    StateFixture state;
    state.apply(claimCommand("crash", 1));
    state.apply(claimCommand("stated", 2, "entry-2"));
    BOOST_TEST(applyAndName(state, ResolveOrder { "ada", orderKey("crash"), false, {} }) == "order-in-progress");
    state.apply(DeclareEntryGone { "entry-1", 1 });
    BOOST_TEST(applyAndName(state, RecordOutcome { orderKey("stated"), 2, true, {} }) == "accepted");
    state.advanceClock(std::chrono::hours(24 * 400));
    state.restartFromSnapshot();
    for (const char* key : { "crash", "stated" })
        BOOST_TEST(applyAndName(state, claimCommand(key, 10, "entry-3")) == "unknown");
    BOOST_TEST(state.machine->orders().findByStatus(OrderStatus::Unknown, 10).size() == 2U);
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("stated"), 2 }) == "order-outcome-unknown");

    // Resolved as not run: a new claim is granted, and the old one stays closed.
    BOOST_TEST(applyAndName(state, ResolveOrder { "ada", orderKey("crash"), false, {} }) == "accepted");
    BOOST_TEST(applyAndName(state, ResolveOrder { "ada", orderKey("crash"), false, {} }) == "accepted");
    BOOST_TEST(applyAndName(state, ResolveOrder { "bea", orderKey("crash"), true, { 200, "", "" } }) == "order-outcome-unknown");
    BOOST_TEST(applyAndName(state, answerCommand("crash", 1)) == "order-outcome-unknown");
    BOOST_TEST(applyAndName(state, claimCommand("crash", 1, "entry-2")) == "claim-closed");
    BOOST_TEST(applyAndName(state, claimCommand("crash", 11, "entry-3")) == "granted");

    // Resolved as run: later claims get the stated answer with the name of the operator.
    BOOST_TEST(applyAndName(state, ResolveOrder { "ada", orderKey("stated"), true, { 201, "text/plain", "booked" } }) == "accepted");
    BOOST_TEST(applyAndName(state, answerCommand("stated", 2)) == "order-outcome-unknown");
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("stated"), 2 }) == "order-outcome-unknown");
    auto reply = outcomeAs<ClaimReply>(state.apply(claimCommand("stated", 12)));
    BOOST_TEST(reply.recorded->answer.body == "booked");
    BOOST_TEST(reply.recorded->resolvedBy == "ada");
}

// Guards against granting a claim to a process that was declared gone, and against
// losing an answer that such a process still delivers.
BOOST_AUTO_TEST_CASE(RejectsClaimsOfGoneIncarnations)
{
    StateFixture state;
    state.apply(claimCommand("a", 1));
    state.apply(claimCommand("b", 2));
    state.apply(DeclareEntryGone { "entry-1", 1 });
    BOOST_TEST(applyAndName(state, claimCommand("c", 3)) == "peer-rejected");
    BOOST_TEST(applyAndName(state, ClaimOrder { orderKey("c"), digestA, 4, "entry-1", 2 }) == "granted");
    // The declaration does not apply to later incarnations, even if it is repeated.
    state.apply(DeclareEntryGone { "entry-1", 1 });
    BOOST_TEST(applyAndName(state, claimCommand("c", 5, "entry-2")) == "running");
    BOOST_TEST(applyAndName(state, answerCommand("a", 1)) == "accepted");
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("b"), 2 }) == "accepted");
    BOOST_TEST(applyAndName(state, claimCommand("b", 5, "entry-2")) == "granted");
}

// Guards against a key that becomes available before its retention ends, and against
// unbounded memory use by answers.
BOOST_AUTO_TEST_CASE(DropsAnswerBodyThenDigestAfterRetention)
{
    StateFixture state;
    state.apply(claimCommand("k", 1));
    state.apply(answerCommand("k", 1, std::string(maxOutcomeBodyBytes, 'x')));
    BOOST_TEST(state.machine->orders().answerBytes() == maxOutcomeBodyBytes);
    state.advanceClock(std::chrono::hours(24) - std::chrono::microseconds(1));
    BOOST_TEST(applyAndName(state, claimCommand("k", 2)) == "answered");
    state.advanceClock(std::chrono::microseconds(1));
    BOOST_TEST(applyAndName(state, claimCommand("k", 2)) == "answer-dropped");
    BOOST_TEST(state.machine->orders().answerBytes() == 0U);
    BOOST_TEST(applyAndName(state, answerCommand("k", 1, std::string(maxOutcomeBodyBytes, 'x'))) == "accepted");
    BOOST_TEST(applyAndName(state, claimCommand("k", 2, "entry-1", digestB)) == "key-conflict");
    state.restartFromSnapshot();
    state.advanceClock(std::chrono::hours(30 * 24) - std::chrono::microseconds(1));
    BOOST_TEST(applyAndName(state, claimCommand("k", 2)) == "answer-dropped");
    state.advanceClock(std::chrono::microseconds(1));
    BOOST_TEST(applyAndName(state, claimCommand("k", 2)) == "granted");
    // The retention does not depend on how often commands arrive.
    state.apply(answerCommand("k", 2));
    state.advanceClock(std::chrono::hours(31 * 24));
    BOOST_TEST(applyAndName(state, claimCommand("k", 3)) == "granted");
    state.apply(claimCommand("big", 3));
    BOOST_TEST(applyAndName(state, answerCommand("big", 3, std::string(maxOutcomeBodyBytes + 1, 'x'))) == "invalid-request");
}

// Guards against a full ledger that drops an order instead of refusing a new claim.
BOOST_AUTO_TEST_CASE(FullLedgerRefusesNewClaimsOnly)
{
    Limits limits;
    limits.maxOrders = 2;
    limits.maxAuditRecords = 8;
    StateFixture state(limits);
    state.apply(claimCommand("a", 1));
    state.apply(claimCommand("b", 2));
    BOOST_TEST(applyAndName(state, claimCommand("c", 3)) == "storage-full");
    BOOST_TEST(applyAndName(state, answerCommand("a", 1)) == "accepted");
    BOOST_TEST(applyAndName(state, claimCommand("a", 4)) == "answered");

    state.apply(CloseClaim { orderKey("b"), 2 });
    state.apply(IssueFencingToken { "engine-1", "entry-1" });
    state.apply(SetDrain { "ada", "engine-1", true });
    BOOST_TEST(state.machine->audit().isFull());
    BOOST_TEST(applyAndName(state, claimCommand("b", 5)) == "storage-full");
    BOOST_TEST(applyAndName(state, ApplySheet { "ada", 1, 0, sheetText(1, 1) }) == "storage-full");
    BOOST_TEST(applyAndName(state, IssueFencingToken { "engine-1", "entry-1" }) == "storage-full");
    BOOST_TEST(applyAndName(state, claimCommand("a", 6)) == "answered");
    const AuditChain& audit = state.machine->audit();
    AuditExport exported = audit.exportAfter(0, 100);
    BOOST_TEST(applyAndName(state, TrimAudit { "ada", exported.lastSequence, toHex(exported.lastDigest) }) == "accepted");
    BOOST_TEST(applyAndName(state, claimCommand("b", 7)) == "granted");
}

// Guards against two sheets accepted for one base revision, a resend that is refused or
// applied twice, and a refusal that does not name the conflicting acceptance.
BOOST_AUTO_TEST_CASE(AcceptsOneSheetPerBaseRevision)
{
    StateFixture state;
    auto first = outcomeAs<SheetAccepted>(state.apply(ApplySheet { "ada", 7, 0, sheetText(3, 1) }));
    BOOST_TEST(first.acceptance.revision == 1U);
    // Another operator uses the same number and base revision.
    auto lost = outcomeAs<SheetRefused>(state.apply(ApplySheet { "bea", 7, 0, sheetText(4, 2) }));
    BOOST_TEST((lost.refusal.kind == base::ErrorKind::SheetConflict));
    BOOST_TEST(lost.conflictingAcceptance->operatorName == "ada");
    BOOST_TEST(lost.differenceCount == 2U);
    BOOST_TEST((lost.differences[1].change() == sheet::RowChange::Added));

    BOOST_TEST(applyAndName(state, ApplySheet { "bea", 7, 1, sheetText(4, 2) }) == "accepted");
    state.restartFromSnapshot();
    // Ada's response was lost. Her resend returns the first acceptance, and revision 2
    // stays in force.
    auto resent = outcomeAs<SheetAccepted>(state.apply(ApplySheet { "ada", 7, 0, sheetText(3, 1) }));
    BOOST_TEST(resent.isResend);
    BOOST_TEST(resent.acceptance.revision == 1U);
    BOOST_TEST((resent.acceptance.acceptedAt == first.acceptance.acceptedAt));
    BOOST_TEST(state.machine->configuration().sheetRevision == 2U);
    // The same number with a different sheet is refused even on the current base revision.
    auto reused = outcomeAs<SheetRefused>(state.apply(ApplySheet { "ada", 7, 2, sheetText(5, 5) }));
    BOOST_TEST(reused.refusal.detail.find("used number 7 for revision 1") != std::string::npos);
    BOOST_TEST(!reused.conflictingAcceptance);
    // An invalid sheet changes nothing and does not use up the operator number.
    auto invalid = outcomeAs<SheetRefused>(state.apply(ApplySheet { "ada", 8, 2, sheetText(2, 1) + "model\n" }));
    BOOST_TEST(invalid.problems.size() == 1U);
    BOOST_TEST(applyAndName(state, ApplySheet { "ada", 8, 2, sheetText(2, 1) }) == "accepted");
    // A base revision above the current one is refused as well.
    BOOST_TEST(applyAndName(state, ApplySheet { "ada", 9, 4, sheetText(2, 2) }) == "sheet-conflict");
}

// Guards against a request that crashes engines without limit, against counting one
// crash twice, and against a blame that never expires.
BOOST_AUTO_TEST_CASE(BlamesRepeatedCrashesUntilExpiry)
{
    StateFixture state;
    auto isBlamed = [&](const std::string& fingerprint, const std::string& upstream, bool alone) { return outcomeAs<CrashReply>(state.apply(RecordCrash { fingerprint, upstream, 1, alone })).isBlamed; };
    BOOST_TEST(!isBlamed(digestA, "engine-1", true));
    BOOST_TEST(!isBlamed(digestA, "engine-1", true));
    BOOST_TEST(isBlamed(digestA, "engine-2", true));
    BOOST_TEST(!isBlamed(digestB, "engine-1", false));
    BOOST_TEST(!isBlamed(digestB, "engine-2", true));
    BOOST_TEST(applyAndName(state, ClearCrash { digestB, "engine-2", 1 }) == "accepted");
    BOOST_TEST(!isBlamed(digestB, "engine-3", false));
    BOOST_TEST(applyAndName(state, ClearCrash { digestA, "engine-2", 1 }) == "crash-suspect");
    state.advanceClock(std::chrono::minutes(30));
    BOOST_TEST(isBlamed(digestB, "engine-4", false));
    BOOST_TEST(state.machine->configuration().blamedFingerprints.size() == 2U);
    state.advanceClock(std::chrono::minutes(30));
    state.restartFromSnapshot();
    std::uint64_t revision = state.machine->configuration().revision;
    state.apply(IssueFencingToken { "x", "y" });
    BOOST_TEST(state.machine->configuration().blamedFingerprints == std::set<std::string> { digestB }, boost::test_tools::per_element());
    BOOST_TEST(state.machine->configuration().revision == revision + 1);
    state.advanceClock(std::chrono::minutes(30));
    state.apply(IssueFencingToken { "x", "y" });
    BOOST_TEST(state.machine->crashes().size() == 0U);
}

// Guards against unbounded memory use by fingerprints.
BOOST_AUTO_TEST_CASE(CrashLedgerIsBounded)
{
    Limits limits;
    limits.maxFingerprints = 10;
    StateFixture state(limits);
    for (int i = 0; i < 50; ++i) {
        state.advanceClock(std::chrono::seconds(1));
        state.apply(RecordCrash { base::sha256Hex(std::to_string(i)), "engine", 1, true });
        state.apply(RecordCrash { base::sha256Hex(std::to_string(i)), "engine", 2, true });
    }
    BOOST_TEST(state.machine->crashes().size() == 10U);
    BOOST_TEST(state.machine->configuration().blamedFingerprints.size() == 10U);
    BOOST_TEST(state.machine->configuration().blamedFingerprints.count(base::sha256Hex("49")) == 1U);
}

// Guards against a fencing token that is issued twice, including after a restart, and
// against time that decreases because the next proposer's clock is behind.
BOOST_AUTO_TEST_CASE(FencingTokensIncreaseAndTimeNeverDecreases)
{
    StateFixture state;
    std::uint64_t last = 0;
    for (int i = 0; i < 10; ++i) {
        auto number = outcomeAs<FencingToken>(state.apply(IssueFencingToken { i % 2 ? "a" : "b", "entry-1" })).number;
        BOOST_TEST(number > last);
        last = number;
        if (i == 5)
            state.restartFromSnapshot();
        state.advanceClock(std::chrono::seconds(-1));
    }
    auto records = state.machine->audit().exportAfter(0, 100).records;
    BOOST_TEST((records.front().time == records.back().time));
    BOOST_TEST(resultName(state.applyBytes("")) == "no-command");
    BOOST_TEST(state.machine->audit().lastSequence() == 10U);
}

BOOST_AUTO_TEST_CASE(DocumentStoredBeforePackingIsStillRead)
{
    auto text = std::make_shared<const std::string>(R"({"version":3})");
    BOOST_TEST(*unpackDocument(text).value() == *text);
    auto packed = std::make_shared<const std::string>(packDocument(*text));
    BOOST_TEST(*unpackDocument(packed).value() == *text);
    auto damaged = std::make_shared<const std::string>(packed->substr(0, packed->size() - 1));
    BOOST_TEST(!unpackDocument(damaged));
}

// Guards against a stored configuration that is overlooked, or read in full for its version.
BOOST_AUTO_TEST_CASE(VersionOfRoutesIsReadFromTheCommand)
{
    const base::WallTime time { std::chrono::seconds(1'700'000'000) };
    const auto bytes = encodeCommand({ time, ReplaceRoutes { 77, std::string(100'000, 'x') } });
    BOOST_TEST(routesVersionIn(bytes).value() == 77U);
    BOOST_TEST(!routesVersionIn(encodeCommand({ time, SetLayerPlan { 77, "plan" } })));
    for (std::size_t length : { std::size_t { 0 }, std::size_t { 1 }, std::size_t { 2 }, std::size_t { 20 }, bytes.size() - 1 })
        BOOST_TEST(!routesVersionIn(std::string_view(bytes).substr(0, length)));
    BOOST_TEST(!routesVersionIn("no command"));
}
