#pragma once

#include "include/base/Error.h"
#include "include/state/WallTimeMsgpack.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arbutus::state {

// Leaves room for the frame header below the frame limit of 4 MiB.
constexpr std::size_t maxCommandBytes = (std::size_t { 4 } << 20) - 4096;
constexpr std::size_t maxOutcomeBodyBytes = std::size_t { 256 } << 10;
constexpr std::size_t maxOrderKeyBytes = 255;
constexpr std::size_t maxRefusalCounts = 16'384;

// Identifies an order.
struct OrderKey {
    std::string team;
    std::string service;
    // The Idempotency-Key that the caller chose.
    std::string key;

    MSGPACK_DEFINE(team, service, key)
};

std::string toString(const OrderKey&);

// The answer of an order's service.
struct OrderAnswer {
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;

    MSGPACK_DEFINE(httpStatus, contentType, body)
};

struct ApplySheet {
    std::string operatorName;
    // Chosen by the operator; two operators may use the same number.
    std::uint64_t operatorNumber = 0;
    std::uint64_t baseRevision = 0;
    std::string csv;

    MSGPACK_DEFINE(operatorName, operatorNumber, baseRevision, csv)
};

struct ClaimOrder {
    OrderKey order;
    // SHA-256 of method, path, content type and body, 64 hexadecimal digits.
    std::string bodyDigest;
    // Random; never used again by any entry process.
    std::uint64_t claimNumber = 0;
    std::string entryVm;
    std::uint64_t entryIncarnation = 0;

    MSGPACK_DEFINE(order, bodyDigest, claimNumber, entryVm, entryIncarnation)
};

struct RecordOutcome {
    OrderKey order;
    std::uint64_t claimNumber = 0;
    // True when the entry process cannot know whether the service ran the
    // order; `answer` is empty then.
    bool isUnknown = false;
    OrderAnswer answer;

    MSGPACK_DEFINE(order, claimNumber, isUnknown, answer)
};

struct CloseClaim {
    OrderKey order;
    std::uint64_t claimNumber = 0;

    MSGPACK_DEFINE(order, claimNumber)
};

struct ResolveOrder {
    std::string operatorName;
    OrderKey order;
    // False states that the order did not run; `answer` is empty then.
    bool didRun = false;
    OrderAnswer answer;

    MSGPACK_DEFINE(operatorName, order, didRun, answer)
};

// Declares that an entry process has ended, so its open claims are unknown.
struct DeclareEntryGone {
    std::string entryVm;
    // This incarnation and all earlier ones are gone.
    std::uint64_t entryIncarnation = 0;

    MSGPACK_DEFINE(entryVm, entryIncarnation)
};

struct RecordOrderRefusal {
    OrderKey order;
    std::string entryVm;
    std::uint32_t errorKind = 0;
    std::string detail;

    MSGPACK_DEFINE(order, entryVm, errorKind, detail)
};

struct RefusalCount {
    std::string team;
    std::uint32_t errorKind = 0;
    std::uint64_t count = 0;

    MSGPACK_DEFINE(team, errorKind, count)
};

struct RecordRefusals {
    std::string entryVm;
    base::WallTime from;
    base::WallTime to;
    std::vector<RefusalCount> counts;

    MSGPACK_DEFINE(entryVm, from, to, counts)
};

struct SetDrain {
    std::string operatorName;
    std::string upstream;
    bool isDraining = false;

    MSGPACK_DEFINE(operatorName, upstream, isDraining)
};

// Reports that an upstream died while it ran the request.
struct RecordCrash {
    // SHA-256 of team, model and body, 64 hexadecimal digits.
    std::string fingerprint;
    std::string upstream;
    // One process dies once: reports of the same death by several entry VMs
    // carry the same incarnation and count once.
    std::uint64_t upstreamIncarnation = 0;
    // Whether the request was the only suspect on that upstream.
    bool wasSoleSuspect = false;

    MSGPACK_DEFINE(fingerprint, upstream, upstreamIncarnation, wasSoleSuspect)
};

// Withdraws a death, after the request has produced enough tokens elsewhere.
struct ClearCrash {
    std::string fingerprint;
    std::string upstream;
    std::uint64_t upstreamIncarnation = 0;

    MSGPACK_DEFINE(fingerprint, upstream, upstreamIncarnation)
};

struct IssueFencingToken {
    // What the number protects, for instance an upstream.
    std::string scope;
    std::string holder;

    MSGPACK_DEFINE(scope, holder)
};

// Drops audit records that have been exported.
struct TrimAudit {
    std::string operatorName;
    // The last record to drop, and its digest as proof that it was exported.
    std::uint64_t throughSequence = 0;
    std::string digest;

    MSGPACK_DEFINE(operatorName, throughSequence, digest)
};

// Carried by the consensus entry that changes the replicas, so that the change
// is audited; it changes nothing else here.
struct ChangeReplicas {
    std::string operatorName;
    std::string change;

    MSGPACK_DEFINE(operatorName, change)
};

// A whole route configuration under its sender's version. A version that is not
// higher than the stored one changes nothing.
struct ReplaceRoutes {
    std::uint64_t version = 0;
    // In the sender's own form; validated before it is proposed.
    std::string document;

    MSGPACK_DEFINE(version, document)
};

// The layers that each engine is to hold, in the form of the placement module.
struct SetLayerPlan {
    std::uint64_t revision = 0;
    std::string plan;

    MSGPACK_DEFINE(revision, plan)
};

// The position of a type in this list is its number in the log: append only.
using CommandBody = std::variant<ApplySheet, ClaimOrder, RecordOutcome, CloseClaim, ResolveOrder, DeclareEntryGone, RecordOrderRefusal, RecordRefusals, SetDrain, RecordCrash, ClearCrash, IssueFencingToken, TrimAudit, ChangeReplicas, ReplaceRoutes, SetLayerPlan>;

struct Command {
    // The wall clock of the proposer.
    base::WallTime time;
    CommandBody body;
};

// The stable name of the command's type, for instance "ClaimOrder".
std::string_view commandName(const CommandBody&);

// Returns the one byte form of `command`.
std::string encodeCommand(const Command& command);

// Decodes and checks the fields. Fails with MalformedFrame for bytes that
// encodeCommand() would not write, and with InvalidRequest for a field out of
// its range. Safe on arbitrary bytes.
base::Result<Command> decodeCommand(std::string_view bytes);

} // namespace arbutus::state
