#pragma once

#include "include/base/Error.h"
#include "include/state/WallTimeMsgpack.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace arbutus::state {

// Leaves 4 KiB of the 4 MiB frame limit for the frame header.
constexpr std::size_t maxCommandBytes = (std::size_t { 4 } << 20) - 4096;
constexpr std::size_t maxOutcomeBodyBytes = std::size_t { 256 } << 10;
constexpr std::size_t maxOrderKeyBytes = 255;
constexpr std::size_t maxRefusalCounts = 16'384;

// Identifies an order.
struct OrderKey {
    std::string team;
    std::string service;
    // The caller's Idempotency-Key.
    std::string key;

    MSGPACK_DEFINE(team, service, key)
};

std::string toString(const OrderKey&);

// The HTTP response of the service that ran an order.
struct OrderAnswer {
    std::uint32_t httpStatus = 0;
    std::string contentType;
    std::string body;

    MSGPACK_DEFINE(httpStatus, contentType, body)
};

// Replaces the sheet that has revision `baseRevision`.
struct ApplySheet {
    std::string operatorName;
    // Idempotency number chosen by the operator. Operators may use equal numbers.
    std::uint64_t operatorNumber = 0;
    std::uint64_t baseRevision = 0;
    std::string csv;

    MSGPACK_DEFINE(operatorName, operatorNumber, baseRevision, csv)
};

// Requests the exclusive right to send an order to its service.
struct ClaimOrder {
    OrderKey order;
    // SHA-256 of method, path, content type and body as 64 hexadecimal digits.
    std::string bodyDigest;
    // Random; never reused by any entry process.
    std::uint64_t claimNumber = 0;
    std::string entryVm;
    std::uint64_t entryIncarnation = 0;

    MSGPACK_DEFINE(order, bodyDigest, claimNumber, entryVm, entryIncarnation)
};

// Records the outcome of a claimed order.
struct RecordOutcome {
    OrderKey order;
    std::uint64_t claimNumber = 0;
    // True if the entry process cannot determine whether the service ran the
    // order. `answer` is empty in that case.
    bool isUnknown = false;
    OrderAnswer answer;

    MSGPACK_DEFINE(order, claimNumber, isUnknown, answer)
};

// Closes a claim whose order was not sent and will not be sent.
struct CloseClaim {
    OrderKey order;
    std::uint64_t claimNumber = 0;

    MSGPACK_DEFINE(order, claimNumber)
};

// States the outcome of an order whose outcome is unknown.
struct ResolveOrder {
    std::string operatorName;
    OrderKey order;
    // False if the order did not run. `answer` is empty in that case.
    bool didRun = false;
    OrderAnswer answer;

    MSGPACK_DEFINE(operatorName, order, didRun, answer)
};

// Declares an entry process terminated. Its running orders become unknown.
struct DeclareEntryGone {
    std::string entryVm;
    // Applies to this incarnation and all earlier ones.
    std::uint64_t entryIncarnation = 0;

    MSGPACK_DEFINE(entryVm, entryIncarnation)
};

// Audits the refusal of one order.
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

// Audits the number of requests that an entry VM refused in a period.
struct RecordRefusals {
    std::string entryVm;
    base::WallTime from;
    base::WallTime to;
    std::vector<RefusalCount> counts;

    MSGPACK_DEFINE(entryVm, from, to, counts)
};

// Starts or ends the draining of an upstream.
struct SetDrain {
    std::string operatorName;
    std::string upstream;
    bool isDraining = false;

    MSGPACK_DEFINE(operatorName, upstream, isDraining)
};

// Reports that an upstream crashed while it processed the request.
struct RecordCrash {
    // SHA-256 of team, model and body, 64 hexadecimal digits.
    std::string fingerprint;
    std::string upstream;
    // A process crashes only once, so reports of the same crash from several
    // entry VMs have equal incarnations and count once.
    std::uint64_t upstreamIncarnation = 0;
    // Whether the request was the only suspect on the upstream.
    bool wasSoleSuspect = false;

    MSGPACK_DEFINE(fingerprint, upstream, upstreamIncarnation, wasSoleSuspect)
};

// Withdraws a crash report after the request has produced enough tokens on
// another upstream.
struct ClearCrash {
    std::string fingerprint;
    std::string upstream;
    std::uint64_t upstreamIncarnation = 0;

    MSGPACK_DEFINE(fingerprint, upstream, upstreamIncarnation)
};

// Requests a fencing token that is higher than all earlier ones.
struct IssueFencingToken {
    // The resource that the token protects, such as an upstream.
    std::string scope;
    std::string holder;

    MSGPACK_DEFINE(scope, holder)
};

// Removes audit records that have been exported.
struct TrimAudit {
    std::string operatorName;
    // The last record to remove. Its digest proves that it was exported.
    std::uint64_t throughSequence = 0;
    std::string digest;

    MSGPACK_DEFINE(operatorName, throughSequence, digest)
};

// Audits a change of the replica set. Carried by the consensus entry that makes
// the change; the state machine itself only writes the audit record.
struct ChangeReplicas {
    std::string operatorName;
    std::string change;

    MSGPACK_DEFINE(operatorName, change)
};

// Replaces the whole route configuration. Has no effect unless `version`, which
// the sender assigns, is higher than the stored one.
struct ReplaceRoutes {
    std::uint64_t version = 0;
    // In the sender's format, validated and packed (see PackedDocument.h) before it is
    // proposed.
    std::string document;

    MSGPACK_DEFINE(version, document)
};

// Replaces the plan of which layers each engine holds. Has no effect unless
// `revision` is higher than the stored one.
struct SetLayerPlan {
    std::uint64_t revision = 0;
    // In the format of the placement module.
    std::string plan;

    MSGPACK_DEFINE(revision, plan)
};

// The index of a type in this list identifies it in the replicated log, so new
// types go at the end.
using CommandBody = std::variant<ApplySheet, ClaimOrder, RecordOutcome, CloseClaim, ResolveOrder, DeclareEntryGone, RecordOrderRefusal, RecordRefusals, SetDrain, RecordCrash, ClearCrash, IssueFencingToken, TrimAudit, ChangeReplicas, ReplaceRoutes, SetLayerPlan>;

struct Command {
    // Wall-clock time of the proposer.
    base::WallTime time;
    CommandBody body;
};

// Returns the stable name of the command's type as stored in audit records, such
// as "ClaimOrder".
std::string_view commandName(const CommandBody&);

// Returns the canonical encoding of `command`.
std::string encodeCommand(const Command& command);

// Decodes a command and validates its fields. Fails with MalformedFrame if `bytes`
// is not the canonical encoding of a command, and with InvalidRequest if a field is
// out of range. Safe on untrusted input.
base::Result<Command> decodeCommand(std::string_view bytes);

// Returns the version that an encoded ReplaceRoutes command brings, without reading its
// document; nullopt for other commands and for bytes that are none.
std::optional<std::uint64_t> routesVersionIn(std::string_view bytes);

} // namespace arbutus::state
