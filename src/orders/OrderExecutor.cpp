#include "include/orders/OrderExecutor.h"

#include "include/base/Digest.h"

#include <algorithm>
#include <array>

namespace arbutus::orders {

using base::Error;
using base::ErrorKind;
using base::makeError;
using base::Result;
using base::TimePoint;

// Bounds how long one write to the store may delay the answer to the caller.
static constexpr std::chrono::milliseconds storeWriteTimeout(1000);

std::string OrderRequest::digest() const
{
    // The length prefixes distinguish ("ab", "c") from ("a", "bc").
    std::string text;
    for (const auto* part : { &method, &path, &contentType, &body })
        text += std::to_string(part->size()) + ':' + *part;
    return base::sha256Hex(text);
}

OrderExecutor::OrderExecutor(const base::Clock& clock, OrderStore& store, OrderUpstreams& upstreams, std::function<std::uint64_t()> nextClaimNumber, EnqueueWrite enqueueWrite)
    : clock_(clock)
    , store_(store)
    , upstreams_(upstreams)
    , nextClaimNumber_(std::move(nextClaimNumber))
    , enqueueWrite_(std::move(enqueueWrite))
{
}

struct ClaimStateError {
    ClaimState state;
    ErrorKind kind;
    const char* detail;
};

static constexpr std::array claimStateErrors {
    ClaimStateError { ClaimState::InProgress, ErrorKind::OrderInProgress, "an order with this key is running" },
    ClaimStateError { ClaimState::OutcomeUnknown, ErrorKind::OrderOutcomeUnknown, "the outcome of the order with this key is unknown" },
    ClaimStateError { ClaimState::KeyConflict, ErrorKind::KeyConflict, "the key belongs to an order with another method, path or body" },
};

static Error claimError(ClaimState state)
{
    for (const auto& answer : claimStateErrors) {
        if (answer.state == state)
            return makeError(answer.kind, answer.detail);
    }
    return makeError(ErrorKind::Internal, "the order store returned an unexpected claim state");
}

Result<OrderAnswer> OrderExecutor::execute(const OrderRequest& request)
{
    if (request.key.empty())
        return makeError(ErrorKind::KeyRequired, "the header Idempotency-Key is missing");
    Claim claim { request.team, request.service, request.key, request.digest(), nextClaimNumber_() };

    auto reply = store_.claim(claim, request.deadline);
    if (!reply) {
        // Nothing was sent, but the claim may still be committed. Closing it lets a
        // resend claim the order again.
        if (reply.error().kind == ErrorKind::ClaimUnconfirmed)
            enqueueWrite_({ claim, true, std::nullopt });
        return reply.error();
    }
    if (reply.value().state == ClaimState::Granted)
        return sendClaimed(claim, request);
    if (reply.value().state == ClaimState::Completed && reply.value().outcome)
        return *reply.value().outcome;
    return claimError(reply.value().state);
}

Result<OrderAnswer> OrderExecutor::sendClaimed(const Claim& claim, const OrderRequest& request)
{
    if (clock_.now() >= request.deadline) {
        writeOrEnqueue({ claim, true, std::nullopt });
        return makeError(ErrorKind::DeadlineUnreachable, "the deadline passed before the order was sent");
    }
    SendResult result = upstreams_.send(request);
    if (const auto* answer = std::get_if<OrderAnswer>(&result)) {
        writeOrEnqueue({ claim, false, *answer });
        return *answer;
    }
    if (std::holds_alternative<NotSent>(result)) {
        writeOrEnqueue({ claim, true, std::nullopt });
        return makeError(ErrorKind::NoUpstream, "no upstream of the service accepted a connection");
    }
    writeOrEnqueue({ claim, false, std::nullopt });
    return makeError(ErrorKind::UpstreamFailed, "the upstream did not answer after the order was sent");
}

bool OrderExecutor::tryWrite(const PendingWrite& write, TimePoint deadline)
{
    auto result = write.isClose ? store_.close(write.claim, deadline) : store_.recordOutcome(write.claim, write.answer, deadline);
    if (result)
        return true;
    // These errors are final, for example because an operator has resolved the order
    // in the meantime. A retry would fail again.
    static constexpr std::array finalKinds { ErrorKind::KeyConflict, ErrorKind::NotFound, ErrorKind::OrderOutcomeUnknown, ErrorKind::InvalidRequest };
    return std::find(finalKinds.begin(), finalKinds.end(), result.error().kind) != finalKinds.end();
}

void OrderExecutor::writeOrEnqueue(PendingWrite write)
{
    // The answer to the caller is correct even if the write is not committed yet.
    if (!tryWrite(write, clock_.now() + storeWriteTimeout))
        enqueueWrite_(std::move(write));
}

} // namespace arbutus::orders
