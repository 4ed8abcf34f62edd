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

// The entry carried no command.
struct NoCommand { };

struct Accepted { };

// The command changed nothing.
struct Refusal {
    base::ErrorKind kind = base::ErrorKind::Internal;
    std::string detail;
};

// Who brought a sheet into force.
struct SheetAcceptance {
    std::uint64_t revision = 0;
    std::string operatorName;
    std::uint64_t operatorNumber = 0;
    // Digest of the sheet's canonical text.
    std::string digest;
    base::WallTime acceptedAt;

    MSGPACK_DEFINE(revision, operatorName, operatorNumber, digest, acceptedAt)
};

struct SheetAccepted {
    SheetAcceptance acceptance;
    // The same sheet with the same operator number had been accepted before.
    bool isResend = false;
};

struct SheetRefused {
    Refusal refusal;
    std::vector<sheet::SheetProblem> problems;
    // The acceptance of the sheet in force, when that is the reason.
    std::optional<SheetAcceptance> conflictingAcceptance;
    // How the refused sheet differs from the one in force, up to a bound.
    std::vector<sheet::RowDelta> differences;
    std::size_t differenceCount = 0;
};

// The recorded end of an order.
struct RecordedAnswer {
    // Body and content type are empty when only the digest is left.
    OrderAnswer answer;
    // SHA-256 of status, content type and body.
    RawDigest digest {};
    bool isBodyKept = true;
    base::WallTime recordedAt;
    // The operator who stated the answer; empty when the service gave it.
    std::string resolvedBy;

    MSGPACK_DEFINE(answer, digest, isBodyKept, recordedAt, resolvedBy)
};

enum class ClaimStatus {
    // The entry process may send the order, once.
    Granted,
    // Another claim of this order is open.
    Running,
    // Whether the order ran is unknown.
    Unknown,
    // `recorded` holds the answer.
    Answered,
    // `recorded` holds the answer without its body, which is no longer kept.
    AnswerDropped,
    // This claim number was closed before; nothing may be sent under it.
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

// What became of a route configuration or a layer plan.
struct VersionReply {
    // The version in force after the command.
    std::uint64_t versionInForce = 0;
    // The command's own content is in force.
    bool isAdopted = false;
};

using Outcome = std::variant<NoCommand, Accepted, Refusal, SheetAccepted, SheetRefused, ClaimReply, CrashReply, FencingToken, VersionReply>;

// The stable name of an outcome, as it stands in audit records.
std::string_view resultName(const Outcome&);

} // namespace arbutus::state
