#include "include/orders/OrderExecutor.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace arbutus;
using namespace arbutus::orders;
using base::ErrorKind;

namespace {

// An in-memory order store that can lose each kind of write or its confirmation.
class FakeStore final : public OrderStore {
public:
    enum class Loss {
        None,
        // The write fails before it is proposed.
        NotProposed,
        // The write is committed but its confirmation is lost.
        ConfirmationLost,
    };

    Loss claimLoss = Loss::None;
    Loss recordLoss = Loss::None;
    Loss closeLoss = Loss::None;

    struct Entry {
        Claim claim;
        bool isClosed = false;
        bool isUnknown = false;
        std::optional<OrderAnswer> answer;
    };
    std::map<std::string, Entry> entries;

private:
    base::Result<ClaimReply> onClaim(const Claim& claim, base::TimePoint) override
    {
        if (claimLoss == Loss::NotProposed)
            return base::makeError(ErrorKind::NoQuorum, "no quorum");
        auto [it, inserted] = entries.emplace(claim.key, Entry { claim, false, false, std::nullopt });
        if (!inserted && it->second.isClosed) {
            it->second = Entry { claim, false, false, std::nullopt };
            inserted = true;
        }
        if (claimLoss == Loss::ConfirmationLost)
            return base::makeError(ErrorKind::ClaimUnconfirmed, "no confirmation");
        if (inserted)
            return ClaimReply { ClaimState::Granted, std::nullopt };
        if (it->second.claim.digest != claim.digest)
            return ClaimReply { ClaimState::KeyConflict, std::nullopt };
        if (it->second.answer)
            return ClaimReply { ClaimState::Completed, it->second.answer };
        return ClaimReply { it->second.isUnknown ? ClaimState::OutcomeUnknown : ClaimState::InProgress, std::nullopt };
    }

    base::Result<void> onRecordOutcome(const Claim& claim, const std::optional<OrderAnswer>& answer, base::TimePoint) override
    {
        if (recordLoss == Loss::NotProposed)
            return base::makeError(ErrorKind::NoQuorum, "no quorum");
        entries.at(claim.key).answer = answer;
        entries.at(claim.key).isUnknown = !answer;
        if (recordLoss == Loss::ConfirmationLost)
            return base::makeError(ErrorKind::ClaimUnconfirmed, "no confirmation");
        return base::outcome::success();
    }

    base::Result<void> onClose(const Claim& claim, base::TimePoint) override
    {
        if (closeLoss == Loss::NotProposed)
            return base::makeError(ErrorKind::NoQuorum, "no quorum");
        entries.at(claim.key).isClosed = true;
        return base::outcome::success();
    }
};

class FakeUpstreams final : public OrderUpstreams {
public:
    SendResult result = OrderAnswer { 201, "application/json", "{\"reel\":1}" };
    int executions = 0;

private:
    SendResult onSend(const OrderRequest&) override
    {
        if (!std::holds_alternative<NotSent>(result))
            ++executions;
        return result;
    }
};

struct Fixture {
    base::VirtualClock clock;
    FakeStore store;
    FakeUpstreams upstreams;
    std::vector<PendingWrite> pendingWrites;
    std::uint64_t claimCount = 0;
    OrderExecutor executor { clock, store, upstreams, [this] { return ++claimCount; }, [this](PendingWrite write) { pendingWrites.push_back(write); } };

    OrderRequest request(const std::string& body = "one reel") const
    {
        return { "catania-desk", "magazzino", "k1", "POST", "/reorders", "text/plain", body, clock.now() + std::chrono::seconds(5) };
    }
};

} // namespace

// Guards against orders without a key, since a resend could not be recognised.
BOOST_FIXTURE_TEST_CASE(RejectsMissingKeyBeforeClaim, Fixture)
{
    auto bare = request();
    bare.key.clear();
    BOOST_TEST((executor.execute(bare).error().kind == ErrorKind::KeyRequired));
    BOOST_TEST(store.entries.empty());
    BOOST_TEST(upstreams.executions == 0);
}

// Guards against executing a resend again, and against accepting another body for the same key.
BOOST_FIXTURE_TEST_CASE(ResendReturnsRecordedAnswer, Fixture)
{
    auto first = executor.execute(request()).value();
    auto second = executor.execute(request()).value();
    BOOST_TEST(first.body == second.body);
    BOOST_TEST((executor.execute(request("two reels")).error().kind == ErrorKind::KeyConflict));
    BOOST_TEST(upstreams.executions == 1);
}

// Guards against reporting an order that ran as not run, and against sending an order
// without a confirmed claim: the claim is lost before it is proposed, or its confirmation
// is lost after the commit.
BOOST_FIXTURE_TEST_CASE(SendsNothingWithoutConfirmedClaim, Fixture)
{
    store.claimLoss = FakeStore::Loss::NotProposed;
    BOOST_TEST((executor.execute(request()).error().kind == ErrorKind::NoQuorum));
    BOOST_TEST(pendingWrites.empty());

    store.claimLoss = FakeStore::Loss::ConfirmationLost;
    BOOST_TEST((executor.execute(request()).error().kind == ErrorKind::ClaimUnconfirmed));
    BOOST_TEST(upstreams.executions == 0);
    BOOST_REQUIRE(pendingWrites.size() == 1U);
    BOOST_TEST(pendingWrites[0].isClose);

    store.claimLoss = FakeStore::Loss::None;
    BOOST_TEST((executor.execute(request()).error().kind == ErrorKind::OrderInProgress));
    BOOST_TEST(executor.tryWrite(pendingWrites[0], clock.now()));
    BOOST_TEST(executor.execute(request()).has_value());
    BOOST_TEST(upstreams.executions == 1);
}

// Guards against sending an order again when the upstream's answer was lost.
BOOST_FIXTURE_TEST_CASE(NeverResendsAfterUnknownOutcome, Fixture)
{
    upstreams.result = OutcomeUnknown {};
    BOOST_TEST((executor.execute(request()).error().kind == ErrorKind::UpstreamFailed));
    upstreams.result = OrderAnswer { 201, "", "" };
    BOOST_TEST((executor.execute(request()).error().kind == ErrorKind::OrderOutcomeUnknown));
    BOOST_TEST(upstreams.executions == 1);
}

// Guards against an order that stays claimed forever although nothing was sent.
BOOST_FIXTURE_TEST_CASE(ClosesUnsentOrderSoItCanBeResent, Fixture)
{
    upstreams.result = NotSent {};
    BOOST_TEST((executor.execute(request()).error().kind == ErrorKind::NoUpstream));
    upstreams.result = OrderAnswer { 201, "", "" };
    BOOST_TEST(executor.execute(request()).has_value());
    BOOST_TEST(upstreams.executions == 1);
}

// Guards against a lost answer or an outcome that is never recorded when the quorum is
// lost between send and record.
BOOST_FIXTURE_TEST_CASE(ReturnsAnswerWithoutQuorumAndRecordsItLater, Fixture)
{
    store.recordLoss = FakeStore::Loss::NotProposed;
    BOOST_TEST(executor.execute(request()).has_value());
    BOOST_REQUIRE(pendingWrites.size() == 1U);
    BOOST_TEST((executor.execute(request()).error().kind == ErrorKind::OrderInProgress));
    store.recordLoss = FakeStore::Loss::None;
    BOOST_TEST(executor.tryWrite(pendingWrites[0], clock.now()));
    BOOST_TEST(executor.execute(request()).value().body == "{\"reel\":1}");
    BOOST_TEST(upstreams.executions == 1);
}

// Guards against sending an order after its deadline, for example because the claim was slow.
BOOST_FIXTURE_TEST_CASE(DoesNotSendAfterDeadline, Fixture)
{
    auto late = request();
    late.deadline = clock.now();
    BOOST_TEST((executor.execute(late).error().kind == ErrorKind::DeadlineUnreachable));
    BOOST_TEST(upstreams.executions == 0);
    BOOST_TEST(store.entries.at("k1").isClosed);
}
