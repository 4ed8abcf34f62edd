#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace arbutus::orders {

struct OrderRequest {
    std::string team;
    std::string service;
    std::string key;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    base::TimePoint deadline;

    // Digest of method, path, content type and body. Requests with the same key must have the same digest.
    std::string digest() const;
};

struct OrderAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

// Permission for one process to send an order. `number` is unique to the claim.
struct Claim {
    std::string team;
    std::string service;
    std::string key;
    std::string digest;
    std::uint64_t number = 0;
};

enum class ClaimState {
    Granted,
    Completed,
    InProgress,
    OutcomeUnknown,
    KeyConflict,
};

struct ClaimReply {
    ClaimState state;
    // Present if the state is Completed.
    std::optional<OrderAnswer> outcome;
};

// Interface to the replicated store of order claims and outcomes.
class OrderStore {
public:
    virtual ~OrderStore() = default;

    // Claims an order for this process. Fails with NoQuorum, StorageFull or NotLeader
    // if the claim was not proposed, and with ClaimUnconfirmed if it may still be committed.
    base::Result<ClaimReply> claim(const Claim& claim, base::TimePoint deadline) { return onClaim(claim, deadline); }
    // Records the answer, or an unknown outcome if `answer` is empty.
    base::Result<void> recordOutcome(const Claim& claim, const std::optional<OrderAnswer>& answer, base::TimePoint deadline) { return onRecordOutcome(claim, answer, deadline); }
    // Closes a claim whose request was not sent, so that the order can be claimed again.
    base::Result<void> close(const Claim& claim, base::TimePoint deadline) { return onClose(claim, deadline); }

private:
    virtual base::Result<ClaimReply> onClaim(const Claim&, base::TimePoint deadline) = 0;
    virtual base::Result<void> onRecordOutcome(const Claim&, const std::optional<OrderAnswer>&, base::TimePoint deadline) = 0;
    virtual base::Result<void> onClose(const Claim&, base::TimePoint deadline) = 0;
};

// No byte of the request was sent.
struct NotSent {
};
// Part of the request may have reached the upstream.
struct OutcomeUnknown {
};
using SendResult = std::variant<OrderAnswer, NotSent, OutcomeUnknown>;

// Sends orders to the upstreams of their service, each to one upstream at most once.
class OrderUpstreams {
public:
    virtual ~OrderUpstreams() = default;

    SendResult send(const OrderRequest& request) { return onSend(request); }

private:
    virtual SendResult onSend(const OrderRequest&) = 0;
};

// A write to the store that must be retried until it is committed.
struct PendingWrite {
    Claim claim;
    // True to close the claim, false to record its outcome.
    bool isClose = false;
    std::optional<OrderAnswer> answer;
};

// Executes non-idempotent orders at most once: claims the order, sends it, then
// records its outcome. Thread-safe if the objects it uses are.
class OrderExecutor {
public:
    using EnqueueWrite = std::function<void(PendingWrite)>;

    // `enqueueWrite` receives writes that were not committed during the request. Its
    // owner must retry them with tryWrite(). `nextClaimNumber` must return numbers
    // that no process has used before.
    OrderExecutor(const base::Clock&, OrderStore&, OrderUpstreams&, std::function<std::uint64_t()> nextClaimNumber, EnqueueWrite enqueueWrite);

    // Returns the upstream's answer, or the recorded one if the order is a resend.
    // The kind of an error states whether the order ran.
    base::Result<OrderAnswer> execute(const OrderRequest&);

    // Attempts the write once. Returns false if it must be retried.
    bool tryWrite(const PendingWrite&, base::TimePoint deadline);

private:
    base::Result<OrderAnswer> sendClaimed(const Claim&, const OrderRequest&);
    void writeOrEnqueue(PendingWrite);

    const base::Clock& clock_;
    OrderStore& store_;
    OrderUpstreams& upstreams_;
    std::function<std::uint64_t()> nextClaimNumber_;
    EnqueueWrite enqueueWrite_;
};

} // namespace arbutus::orders
