#pragma once

#include "include/base/Error.h"
#include "include/sheet/Sheet.h"
#include "include/state/Commands.h"
#include "include/state/RawDigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace arbutus::state {

// The log entry carried no command.
struct NoCommand { };

// The command was applied, or there was nothing to change.
struct Accepted { };

// The command was refused and had no effect.
struct Refusal {
    base::ErrorKind kind = base::ErrorKind::Internal;
    std::string detail;
};

// Identifies an accepted sheet and the operator who submitted it.
struct SheetAcceptance {
    std::uint64_t revision = 0;
    std::string operatorName;
    std::uint64_t operatorNumber = 0;
    // Digest of the canonical text of the sheet.
    std::string digest;
    base::WallTime acceptedAt;

    MSGPACK_DEFINE(revision, operatorName, operatorNumber, digest, acceptedAt)
};

struct SheetAccepted {
    SheetAcceptance acceptance;
    // The same sheet was accepted before under the same operator number.
    bool isResend = false;
};

struct SheetRefused {
    Refusal refusal;
    std::vector<sheet::SheetProblem> problems;
    // The acceptance of the sheet in force, if the base revision conflicts with it.
    std::optional<SheetAcceptance> conflictingAcceptance;
    // The first Limits::maxReportedDifferences differences between the sheet in force and
    // the refused one.
    std::vector<sheet::RowDelta> differences;
    // Number of all differences, including those not listed.
    std::size_t differenceCount = 0;
};

// The recorded answer of an order.
struct RecordedAnswer {
    // Body and content type are empty if `isBodyKept` is false.
    OrderAnswer answer;
    // SHA-256 of status, content type and body.
    RawDigest digest {};
    bool isBodyKept = true;
    base::WallTime recordedAt;
    // The operator who stated the answer. Empty if it came from the service.
    std::string resolvedBy;

    MSGPACK_DEFINE(answer, digest, isBodyKept, recordedAt, resolvedBy)
};

enum class ClaimStatus {
    // The entry process may send the order once.
    Granted,
    // Another claim of the order is open.
    Running,
    // Whether the order ran is unknown.
    Unknown,
    // `recorded` holds the answer.
    Answered,
    // `recorded` holds the digest of the answer; the body has been dropped.
    AnswerDropped,
    // This claim was closed. The entry process must not send the order under it.
    Closed,
};

struct ClaimReply {
    ClaimStatus status = ClaimStatus::Granted;
    std::optional<RecordedAnswer> recorded;
};

struct CrashReply {
    bool isBlamed = false;
    std::size_t crashCount = 0;
    std::size_t soleSuspectCrashCount = 0;
};

struct FencingToken {
    std::uint64_t number = 0;
};

// The result of replacing the route configuration or the layer plan.
struct VersionReply {
    // The version in force after the command.
    std::uint64_t versionInForce = 0;
    // Whether the content of the command is in force.
    bool isAdopted = false;
};

using Outcome = std::variant<NoCommand, Accepted, Refusal, SheetAccepted, SheetRefused, ClaimReply, CrashReply, FencingToken, VersionReply>;

// Returns the stable name of an outcome as stored in audit records.
std::string_view resultName(const Outcome&);

} // namespace arbutus::state
