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

    // Digest of method, path, content type and body; two requests with one key must agree on it.
    std::string digest() const;
};

struct OrderAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

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
    // Present when the state is Completed.
    std::optional<OrderAnswer> outcome;
};

// The orders' part of the durable state, as the entry process sees it.
class OrderStore {
public:
    virtual ~OrderStore() = default;

    // Claims an order for this process. NoQuorum, StorageFull or NotLeader: the
    // claim was certainly not proposed. ClaimUnconfirmed: it may be committed later.
    base::Result<ClaimReply> claim(const Claim& claim, base::TimePoint deadline) { return onClaim(claim, deadline); }
    // Records the answer, or that the outcome is unknown when there is none.
    base::Result<void> recordOutcome(const Claim& claim, const std::optional<OrderAnswer>& answer, base::TimePoint deadline) { return onRecordOutcome(claim, answer, deadline); }
    // Closes a claim for which no byte has left this process.
    base::Result<void> close(const Claim& claim, base::TimePoint deadline) { return onClose(claim, deadline); }

private:
    virtual base::Result<ClaimReply> onClaim(const Claim&, base::TimePoint deadline) = 0;
    virtual base::Result<void> onRecordOutcome(const Claim&, const std::optional<OrderAnswer>&, base::TimePoint deadline) = 0;
    virtual base::Result<void> onClose(const Claim&, base::TimePoint deadline) = 0;
};

// No byte of the request left this process.
struct NotSent {
};
// Some of the request may have reached the upstream.
struct OutcomeUnknown {
};
using SendResult = std::variant<OrderAnswer, NotSent, OutcomeUnknown>;

// The upstreams of one service. A call is sent to one of them, once.
class OrderUpstreams {
public:
    virtual ~OrderUpstreams() = default;

    SendResult send(const OrderRequest& request) { return onSend(request); }

private:
    virtual SendResult onSend(const OrderRequest&) = 0;
};

// A write to the ledger that has to be repeated until it is committed.
struct PendingWrite {
    Claim claim;
    // A close when there is no outcome to record.
    bool isClose = false;
    std::optional<OrderAnswer> answer;
};

// Runs calls that may not be repeated: claim, send, record, in this order, each
// at most once. Safe to use from several threads if its collaborators are.
class OrderExecutor {
public:
    using EnqueueWrite = std::function<void(PendingWrite)>;

    // `keepPending` takes writes that could not be committed within the request;
    // they have to be retried with `retry`. `nextClaimNumber` gives numbers that
    // no process has used before.
    OrderExecutor(const base::Clock&, OrderStore&, OrderUpstreams&, std::function<std::uint64_t()> nextClaimNumber, EnqueueWrite enqueueWrite);

    // Returns the answer of the upstream, now or as recorded before, or an error
    // whose kind states whether the order ran.
    base::Result<OrderAnswer> execute(const OrderRequest&);

    // Tries a kept write once more. Returns whether it is done.
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
