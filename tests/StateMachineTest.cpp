#include "tests/StateFixture.h"

using namespace arbutus;
using namespace arbutus::state;

static std::string applyAndName(StateFixture& state, CommandBody body) { return std::string(resultName(state.apply(std::move(body)))); }

// Guards against two runs of one order when two entry VMs race with one key.
BOOST_AUTO_TEST_CASE(OneOfTwoRacingClaimsIsGranted)
{
    StateFixture state;
    BOOST_TEST(applyAndName(state, claim("k", 1, "entry-1")) == "granted");
    BOOST_TEST(applyAndName(state, claim("k", 2, "entry-2")) == "running");
    // The same claim proposed again, because the response was lost.
    BOOST_TEST(applyAndName(state, claim("k", 1, "entry-1")) == "granted");
    // The loser cannot record an outcome for the winner.
    BOOST_TEST(applyAndName(state, answered("k", 2)) == "order-outcome-unknown");
    BOOST_TEST(applyAndName(state, answered("k", 1, "first")) == "accepted");
    auto reply = outcomeAs<ClaimReply>(state.apply(claim("k", 3, "entry-2")));
    BOOST_TEST((reply.status == ClaimStatus::Answered));
    BOOST_TEST(reply.recorded->answer.body == "first");
    // A repeated outcome is accepted, another one for the same claim is not.
    BOOST_TEST(applyAndName(state, answered("k", 1, "first")) == "accepted");
    BOOST_TEST(applyAndName(state, answered("k", 1, "second")) == "order-outcome-unknown");
    // A key that was used with one body never answers for another.
    BOOST_TEST(applyAndName(state, claim("k", 4, "entry-1", bodyB)) == "key-conflict");
}

// Guards against a claim that takes effect after its holder reported "not run".
BOOST_AUTO_TEST_CASE(ClosedClaimIsNeverGranted)
{
    StateFixture state;
    // The close is committed before the claim it closes.
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("k"), 1 }) == "accepted");
    BOOST_TEST(applyAndName(state, claim("k", 1)) == "claim-closed");
    BOOST_TEST(applyAndName(state, claim("k", 2)) == "granted");
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("k"), 2 }) == "accepted");
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("k"), 2 }) == "accepted");
    BOOST_TEST(applyAndName(state, answered("k", 2)) == "order-outcome-unknown");
    BOOST_TEST(applyAndName(state, claim("k", 2)) == "claim-closed");
    BOOST_TEST(applyAndName(state, claim("k", 3)) == "granted");
    // Closing a claim that is not the current one leaves the current one open.
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("k"), 9 }) == "accepted");
    BOOST_TEST(applyAndName(state, claim("k", 4)) == "running");
    BOOST_TEST(applyAndName(state, answered("k", 3)) == "accepted");
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("k"), 3 }) == "order-outcome-unknown");

    // A claim as old as the tombstones are kept is refused, so it cannot outlive its tombstone.
    std::string late = encodeCommand({ state.now, claim("late", 7) });
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("late"), 7 }) == "accepted");
    state.advanceClock(std::chrono::hours(24));
    BOOST_TEST(applyAndName(state, claim("other", 8)) == "granted");
    BOOST_TEST(!state.machine->orders().find(orderKey("late")));
    BOOST_TEST(resultName(state.applyBytes(late)) == "claim-unconfirmed");
}

// Guards against a grant to a claim whose tombstone did not fit the bound.
BOOST_AUTO_TEST_CASE(TooManyClosedClaimsSuspendGrants)
{
    Limits limits;
    limits.maxClosedClaimsPerOrder = 2;
    StateFixture state(limits);
    state.apply(CloseClaim { orderKey("k"), 1 });
    state.apply(CloseClaim { orderKey("k"), 2 });
    state.advanceClock(std::chrono::hours(23));
    std::string late = encodeCommand({ state.now, claim("k", 3) });
    state.apply(CloseClaim { orderKey("k"), 3 });
    BOOST_TEST(resultName(state.applyBytes(late)) == "overloaded");
    // The first two tombstones expire; the third number was not kept.
    state.advanceClock(std::chrono::hours(2));
    state.apply(IssueFencingToken { "x", "y" });
    state.restartFromSnapshot();
    BOOST_TEST(resultName(state.applyBytes(late)) == "overloaded");
    state.advanceClock(std::chrono::hours(22));
    BOOST_TEST(applyAndName(state, claim("k", 4)) == "granted");
    BOOST_TEST(resultName(state.applyBytes(late)) == "running");
}

// Guards against an order that runs again after a crash between claim and outcome.
BOOST_AUTO_TEST_CASE(UnknownOrderStaysUnknownUntilResolved)
{
    StateFixture state;
    state.apply(claim("crash", 1));
    state.apply(claim("stated", 2, "entry-2"));
    BOOST_TEST(applyAndName(state, ResolveOrder { "ada", orderKey("crash"), false, {} }) == "order-in-progress");
    state.apply(DeclareEntryGone { "entry-1", 1 });
    BOOST_TEST(applyAndName(state, RecordOutcome { orderKey("stated"), 2, true, {} }) == "accepted");
    state.advanceClock(std::chrono::hours(24 * 400));
    state.restartFromSnapshot();
    for (const char* key : { "crash", "stated" })
        BOOST_TEST(applyAndName(state, claim(key, 10, "entry-3")) == "unknown");
    BOOST_TEST(state.machine->orders().findByStatus(OrderStatus::Unknown, 10).size() == 2U);
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("stated"), 2 }) == "order-outcome-unknown");

    // Resolved as not run: a new claim is granted, the old holder is out.
    BOOST_TEST(applyAndName(state, ResolveOrder { "ada", orderKey("crash"), false, {} }) == "accepted");
    BOOST_TEST(applyAndName(state, ResolveOrder { "ada", orderKey("crash"), false, {} }) == "accepted");
    BOOST_TEST(applyAndName(state, ResolveOrder { "bea", orderKey("crash"), true, { 200, "", "" } }) == "order-outcome-unknown");
    BOOST_TEST(applyAndName(state, answered("crash", 1)) == "order-outcome-unknown");
    BOOST_TEST(applyAndName(state, claim("crash", 1, "entry-2")) == "claim-closed");
    BOOST_TEST(applyAndName(state, claim("crash", 11, "entry-3")) == "granted");

    // Resolved as run: the stated answer is replayed, and names the operator.
    BOOST_TEST(applyAndName(state, ResolveOrder { "ada", orderKey("stated"), true, { 201, "text/plain", "booked" } }) == "accepted");
    BOOST_TEST(applyAndName(state, answered("stated", 2)) == "order-outcome-unknown");
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("stated"), 2 }) == "order-outcome-unknown");
    auto reply = outcomeAs<ClaimReply>(state.apply(claim("stated", 12)));
    BOOST_TEST(reply.recorded->answer.body == "booked");
    BOOST_TEST(reply.recorded->resolvedBy == "ada");
}

// Guards against a claim by a process that no one waits for any more, and
// against the loss of an answer that its holder still delivers.
BOOST_AUTO_TEST_CASE(RejectsClaimsOfGoneIncarnations)
{
    StateFixture state;
    state.apply(claim("a", 1));
    state.apply(claim("b", 2));
    state.apply(DeclareEntryGone { "entry-1", 1 });
    BOOST_TEST(applyAndName(state, claim("c", 3)) == "peer-rejected");
    BOOST_TEST(applyAndName(state, ClaimOrder { orderKey("c"), bodyA, 4, "entry-1", 2 }) == "granted");
    // The declaration does not concern later incarnations, also when it is repeated.
    state.apply(DeclareEntryGone { "entry-1", 1 });
    BOOST_TEST(applyAndName(state, claim("c", 5, "entry-2")) == "running");
    BOOST_TEST(applyAndName(state, answered("a", 1)) == "accepted");
    BOOST_TEST(applyAndName(state, CloseClaim { orderKey("b"), 2 }) == "accepted");
    BOOST_TEST(applyAndName(state, claim("b", 5, "entry-2")) == "granted");
}

// Guards against a key that is free again too early, and against unbounded memory.
BOOST_AUTO_TEST_CASE(DropsAnswerBodyThenDigestAfterRetention)
{
    StateFixture state;
    state.apply(claim("k", 1));
    state.apply(answered("k", 1, std::string(maxOutcomeBodyBytes, 'x')));
    BOOST_TEST(state.machine->orders().answerBytes() == maxOutcomeBodyBytes);
    state.advanceClock(std::chrono::hours(24) - std::chrono::microseconds(1));
    BOOST_TEST(applyAndName(state, claim("k", 2)) == "answered");
    state.advanceClock(std::chrono::microseconds(1));
    BOOST_TEST(applyAndName(state, claim("k", 2)) == "answer-dropped");
    BOOST_TEST(state.machine->orders().answerBytes() == 0U);
    BOOST_TEST(applyAndName(state, answered("k", 1, std::string(maxOutcomeBodyBytes, 'x'))) == "accepted");
    BOOST_TEST(applyAndName(state, claim("k", 2, "entry-1", bodyB)) == "key-conflict");
    state.restartFromSnapshot();
    state.advanceClock(std::chrono::hours(30 * 24) - std::chrono::microseconds(1));
    BOOST_TEST(applyAndName(state, claim("k", 2)) == "answer-dropped");
    state.advanceClock(std::chrono::microseconds(1));
    BOOST_TEST(applyAndName(state, claim("k", 2)) == "granted");
    // The times do not depend on how often commands arrive.
    state.apply(answered("k", 2));
    state.advanceClock(std::chrono::hours(31 * 24));
    BOOST_TEST(applyAndName(state, claim("k", 3)) == "granted");
    state.apply(claim("big", 3));
    BOOST_TEST(applyAndName(state, answered("big", 3, std::string(maxOutcomeBodyBytes + 1, 'x'))) == "invalid-request");
}

// Guards against a bound that drops an order instead of refusing a new one.
BOOST_AUTO_TEST_CASE(FullLedgerRefusesNewClaimsOnly)
{
    Limits limits;
    limits.maxOrders = 2;
    limits.maxAuditRecords = 8;
    StateFixture state(limits);
    state.apply(claim("a", 1));
    state.apply(claim("b", 2));
    BOOST_TEST(applyAndName(state, claim("c", 3)) == "storage-full");
    BOOST_TEST(applyAndName(state, answered("a", 1)) == "accepted");
    BOOST_TEST(applyAndName(state, claim("a", 4)) == "answered");

    state.apply(CloseClaim { orderKey("b"), 2 });
    state.apply(IssueFencingToken { "engine-1", "entry-1" });
    state.apply(SetDrain { "ada", "engine-1", true });
    BOOST_TEST(state.machine->audit().isFull());
    BOOST_TEST(applyAndName(state, claim("b", 5)) == "storage-full");
    BOOST_TEST(applyAndName(state, ApplySheet { "ada", 1, 0, sheetText(1, 1) }) == "storage-full");
    BOOST_TEST(applyAndName(state, IssueFencingToken { "engine-1", "entry-1" }) == "storage-full");
    BOOST_TEST(applyAndName(state, claim("a", 6)) == "answered");
    const AuditChain& audit = state.machine->audit();
    AuditExport exported = audit.exportAfter(0, 100);
    BOOST_TEST(applyAndName(state, TrimAudit { "ada", exported.lastSequence, toHex(exported.lastDigest) }) == "accepted");
    BOOST_TEST(applyAndName(state, claim("b", 7)) == "granted");
}

// Guards against two sheets in force, a resend that is refused or applied twice,
// and an operator who does not learn who won.
BOOST_AUTO_TEST_CASE(AcceptsOneSheetPerBaseRevision)
{
    StateFixture state;
    auto first = outcomeAs<SheetAccepted>(state.apply(ApplySheet { "ada", 7, 0, sheetText(3, 1) }));
    BOOST_TEST(first.acceptance.revision == 1U);
    // Another operator uses the same number and the same base.
    auto lost = outcomeAs<SheetRefused>(state.apply(ApplySheet { "bea", 7, 0, sheetText(4, 2) }));
    BOOST_TEST((lost.refusal.kind == base::ErrorKind::SheetConflict));
    BOOST_TEST(lost.conflictingAcceptance->operatorName == "ada");
    BOOST_TEST(lost.differenceCount == 2U);
    BOOST_TEST((lost.differences[1].change() == sheet::RowChange::Added));

    BOOST_TEST(applyAndName(state, ApplySheet { "bea", 7, 1, sheetText(4, 2) }) == "accepted");
    state.restartFromSnapshot();
    // Ada's response was lost; her resend gets the first acceptance, and
    // revision 2 stays in force.
    auto resent = outcomeAs<SheetAccepted>(state.apply(ApplySheet { "ada", 7, 0, sheetText(3, 1) }));
    BOOST_TEST(resent.isResend);
    BOOST_TEST(resent.acceptance.revision == 1U);
    BOOST_TEST((resent.acceptance.acceptedAt == first.acceptance.acceptedAt));
    BOOST_TEST(state.machine->configuration().sheetRevision == 2U);
    // The same number with another sheet is refused also on the current base.
    auto reused = outcomeAs<SheetRefused>(state.apply(ApplySheet { "ada", 7, 2, sheetText(5, 5) }));
    BOOST_TEST(reused.refusal.detail.find("used number 7 for revision 1") != std::string::npos);
    BOOST_TEST(!reused.conflictingAcceptance);
    // An invalid sheet changes nothing and does not take the number.
    auto invalid = outcomeAs<SheetRefused>(state.apply(ApplySheet { "ada", 8, 2, sheetText(2, 1) + "model\n" }));
    BOOST_TEST(invalid.problems.size() == 1U);
    BOOST_TEST(applyAndName(state, ApplySheet { "ada", 8, 2, sheetText(2, 1) }) == "accepted");
    // A base revision from the future is not current either.
    BOOST_TEST(applyAndName(state, ApplySheet { "ada", 9, 4, sheetText(2, 2) }) == "sheet-conflict");
}

// Guards against a request that keeps crashing engines, against blame from one
// death reported twice, and against a blame that never ends.
BOOST_AUTO_TEST_CASE(BlamesRepeatedCrashesUntilExpiry)
{
    StateFixture state;
    auto isBlamed = [&](const std::string& fingerprint, const std::string& upstream, bool alone) { return outcomeAs<CrashReply>(state.apply(RecordCrash { fingerprint, upstream, 1, alone })).isBlamed; };
    BOOST_TEST(!isBlamed(bodyA, "engine-1", true));
    BOOST_TEST(!isBlamed(bodyA, "engine-1", true));
    BOOST_TEST(isBlamed(bodyA, "engine-2", true));
    BOOST_TEST(!isBlamed(bodyB, "engine-1", false));
    BOOST_TEST(!isBlamed(bodyB, "engine-2", true));
    BOOST_TEST(applyAndName(state, ClearCrash { bodyB, "engine-2", 1 }) == "accepted");
    BOOST_TEST(!isBlamed(bodyB, "engine-3", false));
    BOOST_TEST(applyAndName(state, ClearCrash { bodyA, "engine-2", 1 }) == "crash-suspect");
    state.advanceClock(std::chrono::minutes(30));
    BOOST_TEST(isBlamed(bodyB, "engine-4", false));
    BOOST_TEST(state.machine->configuration().blamedFingerprints.size() == 2U);
    state.advanceClock(std::chrono::minutes(30));
    state.restartFromSnapshot();
    std::uint64_t revision = state.machine->configuration().revision;
    state.apply(IssueFencingToken { "x", "y" });
    BOOST_TEST(state.machine->configuration().blamedFingerprints == std::set<std::string> { bodyB }, boost::test_tools::per_element());
    BOOST_TEST(state.machine->configuration().revision == revision + 1);
    state.advanceClock(std::chrono::minutes(30));
    state.apply(IssueFencingToken { "x", "y" });
    BOOST_TEST(state.machine->crashes().size() == 0U);
}

// Guards against unbounded memory through fingerprints.
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

// Guards against a fencing number that is given twice, also after a restart,
// and against time that runs backwards when the next proposer's clock lags.
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
