#include "tests/StateFixture.h"

using namespace arbutus;
using namespace arbutus::state;

// Returns a random command. It uses few distinct names so that commands interact.
static CommandBody randomCommand(base::Random& random, const StateMachine& machine)
{
    std::string key = fmt::format("k{}", random.below(12));
    std::uint64_t number = 1 + random.below(20);
    std::string entryVm = fmt::format("entry-{}", random.below(3));
    std::string upstream = fmt::format("engine-{}", random.below(4));
    std::string fingerprint = base::sha256Hex(std::to_string(random.below(5)));
    switch (random.below(12)) {
    case 0:
        return ApplySheet { random.below(2) ? "ada" : "bea", random.below(200), machine.configuration().sheetRevision - random.below(2) % (machine.configuration().sheetRevision + 1), sheetText(1 + static_cast<int>(random.below(6)), static_cast<int>(random.below(9))) };
    case 1:
        return answerCommand(key, number, std::string(random.below(40), 'x'));
    case 2:
        return CloseClaim { orderKey(key), number };
    case 3:
        return random.below(2) ? ResolveOrder { "ada", orderKey(key), true, { 200, "", "by hand" } } : ResolveOrder { "ada", orderKey(key), false, {} };
    case 4:
        return DeclareEntryGone { entryVm, random.below(2) };
    case 5:
        return SetDrain { "ada", upstream, random.below(2) != 0 };
    case 6:
        return RecordCrash { fingerprint, upstream, random.below(3), random.below(2) != 0 };
    case 7:
        return ClearCrash { fingerprint, upstream, random.below(3) };
    case 8:
        return IssueFencingToken { upstream, entryVm };
    case 9:
        return RecordOutcome { orderKey(key), number, true, {} };
    default:
        return ClaimOrder { orderKey(key), random.below(8) ? digestA : digestB, number, entryVm, 1 + random.below(2) };
    }
}

// Guards against replicas that diverge after restarts: one replica restarts from a
// snapshot every 50 commands, another only applies the log. A view receives updates
// with gaps, and a child view receives updates from that view. Seed 2026.
BOOST_AUTO_TEST_CASE(RestartedAndFollowingReplicasConverge)
{
    base::Random random(2026);
    StateFixture restarted;
    StateMachine follower;
    ConfigurationView view;
    ConfigurationView child;
    std::uint64_t lastRevision = 0;
    std::size_t fullCopies = 0;
    std::size_t deltas = 0;
    for (int i = 1; i <= 3000; ++i) {
        restarted.advanceClock(std::chrono::seconds(random.below(30) ? random.below(60) : random.below(400'000)));
        std::string bytes = random.below(40) ? encodeCommand({ restarted.now, randomCommand(random, *restarted.machine) }) : std::string(random.below(2), 'x');
        auto outcome = restarted.applyBytes(bytes);
        BOOST_TEST(resultName(outcome) == resultName(follower.apply(static_cast<std::uint64_t>(i), bytes)));
        std::uint64_t revision = follower.configuration().revision;
        BOOST_TEST(revision >= lastRevision);
        lastRevision = revision;
        if (i % 50 == 0)
            restarted.restartFromSnapshot();
        if (!random.below(i % 1000 < 500 ? 5 : 400)) {
            auto update = decodeUpdate(encodeUpdate(follower.changesSince(view.revision())));
            BOOST_REQUIRE(update.has_value());
            (update.value().isFull ? fullCopies : deltas) += 1;
            BOOST_REQUIRE(view.apply(update.value()).has_value());
            BOOST_TEST(view.current().digest() == follower.configuration().digest());
            if (random.below(2)) {
                BOOST_REQUIRE(child.apply(view.changesSince(child.revision())).has_value());
                BOOST_TEST(child.current().digest() == view.current().digest());
            }
        }
    }
    BOOST_TEST((restarted.machine->encodeSnapshot() == follower.encodeSnapshot()));
    BOOST_TEST(!AuditChain::verify(follower.audit().exportAfter(0, 10'000)));
    BOOST_TEST(fullCopies > 0U);
    BOOST_TEST(deltas > 100U);
}

// Guards against a view that returns to an older revision, skips changes or accepts
// content that does not match the digest.
BOOST_AUTO_TEST_CASE(ViewRejectsStaleAndInconsistentUpdates)
{
    Limits limits;
    limits.maxFeedRevisions = 4;
    StateFixture state(limits);
    ConfigurationView view;
    BOOST_TEST(!view.hasConfiguration());
    state.apply(ApplySheet { "ada", 1, 0, sheetText(20, 1) });
    auto first = state.machine->changesSince(0);
    BOOST_REQUIRE(view.apply(first).has_value());
    BOOST_TEST(view.hasConfiguration());
    state.apply(ApplySheet { "ada", 2, 1, sheetText(20, 2) });
    auto delta = state.machine->changesSince(1);
    BOOST_TEST(!delta.isFull);
    BOOST_TEST(encodeUpdate(delta).size() < encodeUpdate(state.machine->fullCopy()).size() / 3);

    auto wrong = delta;
    wrong.rows.replace(wrong.rows.find("4.2"), 3, "4.3");
    BOOST_TEST((view.apply(wrong).error().kind == base::ErrorKind::MalformedFrame));
    wrong = delta;
    wrong.rows += "model,broken\n";
    BOOST_TEST((view.apply(wrong).error().kind == base::ErrorKind::MalformedFrame));
    BOOST_TEST(view.revision() == 1U);
    BOOST_REQUIRE(view.apply(delta).has_value());
    BOOST_REQUIRE(view.apply(delta).has_value());
    BOOST_TEST((view.apply(first).error().kind == base::ErrorKind::StaleConfiguration));
    BOOST_TEST(view.current().sheet->findModel("team-0", "scriba")->version == "4.2");

    for (int i = 0; i < 6; ++i)
        state.apply(SetDrain { "ada", "engine-1", i % 2 == 0 });
    auto tail = state.machine->changesSince(6);
    BOOST_TEST(!tail.isFull);
    BOOST_TEST((view.apply(tail).error().kind == base::ErrorKind::StaleConfiguration));
    auto full = state.machine->changesSince(view.revision());
    BOOST_TEST(full.isFull);
    BOOST_REQUIRE(view.apply(full).has_value());
    // An update from a parent that lags behind has no content and a lower revision.
    BOOST_TEST((view.apply(ConfigurationFeed(4, 4).changesSince(view.revision())).error().kind == base::ErrorKind::StaleConfiguration));
    BOOST_TEST(view.current().digest() == state.machine->configuration().digest());
}

// Guards against decoders of commands, updates and snapshots that crash, hang or accept
// invalid input. Seed 31.
BOOST_AUTO_TEST_CASE(DecodersAreSafeOnArbitraryBytes)
{
    base::Random random(31);
    StateFixture state;
    for (int i = 0; i < 200; ++i)
        state.apply(randomCommand(random, *state.machine));
    const std::string snapshot = state.machine->encodeSnapshot();
    const std::string update = encodeUpdate(state.machine->fullCopy());
    auto damage = [&random](std::string bytes) {
        for (std::uint64_t edits = 1 + random.below(4); edits && !bytes.empty(); --edits) {
            std::size_t at = random.below(bytes.size());
            switch (random.below(3)) {
            case 0:
                bytes[at] = static_cast<char>(random.below(256));
                break;
            case 1:
                bytes.resize(at);
                break;
            default:
                bytes.insert(at, 1, static_cast<char>(random.below(256)));
            }
        }
        return bytes;
    };
    std::size_t accepted = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string valid = encodeCommand({ state.now, randomCommand(random, *state.machine) });
        BOOST_REQUIRE(decodeCommand(valid).has_value());
        std::string bytes = damage(valid);
        if (auto command = decodeCommand(bytes); command.has_value()) {
            ++accepted;
            BOOST_REQUIRE(encodeCommand(command.value()) == bytes);
        }
        if (auto decoded = decodeUpdate(damage(update)); decoded.has_value()) {
            ConfigurationView view;
            (void)view.apply(decoded.value());
        }
    }
    // Some mutations only change a text field. Most must be rejected.
    BOOST_TEST(accepted < 15'000U);
    for (int i = 0; i < 300; ++i) {
        std::string bytes = damage(snapshot);
        BOOST_TEST((bytes == snapshot || StateMachine::MakeFromSnapshot(bytes).has_error()));
        // Damaged data with a valid checksum must not cause a crash either.
        bytes = damage(snapshot.substr(0, snapshot.size() - 64));
        (void)StateMachine::MakeFromSnapshot(bytes + base::sha256Hex(bytes));
    }
    // A longer encoding of the same number would give the same command a different digest.
    std::string longer = encodeCommand({ state.now, IssueFencingToken { "a", "b" } });
    longer.insert(1, 1, '\xcc');
    BOOST_TEST(decodeCommand(longer).has_error());
    // A declared count far beyond the input size must not allocate memory for it.
    BOOST_TEST(decodeCommand(std::string("\xdd\xff\xff\xff\xff", 5)).has_error());
    BOOST_TEST(decodeCommand(std::string(1 << 20, '\x91')).has_error());
    BOOST_TEST(decodeCommand("").has_error());
}

// Guards against out-of-range fields that reach the state.
BOOST_AUTO_TEST_CASE(FieldsOutOfRangeAreRefusedAndAudited)
{
    StateFixture state;
    const CommandBody bodies[] = {
        claimCommand("", 1),
        claimCommand(std::string(maxOrderKeyBytes + 1, 'k'), 1),
        claimCommand("line\nbreak", 1),
        claimCommand("k", 0),
        claimCommand("k", 1, "entry-1", "not a digest"),
        claimCommand("k", 1, ""),
        RecordOutcome { orderKey("k"), 1, true, { 200, "", "" } },
        RecordOutcome { orderKey("k"), 1, false, { 99, "", "" } },
        RecordOrderRefusal { orderKey("k"), "entry-1", 1000, "" },
        RecordRefusals { "entry-1", state.now, state.now - std::chrono::seconds(1), {} },
        SetDrain { "", "engine", true },
        ApplySheet { "ada", 1, 0, std::string(sheet::maxTextBytes + 1, 'x') },
    };
    for (const auto& body : bodies)
        BOOST_TEST(resultName(state.apply(body)) == "invalid-request");
    BOOST_TEST(state.machine->audit().lastSequence() == std::size(bodies));
    BOOST_TEST(state.machine->orders().size() == 0U);
    BOOST_TEST(decodeCommand(encodeCommand({ base::WallTime(std::chrono::hours(24 * 365 * 300)), claimCommand("k", 1) })).has_error());
}
