#pragma once

#include "include/base/Time.h"

#include <boost/outcome.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace arbutus::base {

// The closed list of everything that can go wrong. Each kind has one row in the
// rule table, which decides the answer that a caller or an operator sees.
enum class ErrorKind {
    Unauthorized,
    Forbidden,
    InvalidRequest,
    UnknownModel,
    UnknownService,
    NotFound,
    KeyRequired,
    KeyConflict,
    OrderInProgress,
    OrderOutcomeUnknown,
    Overloaded,
    DeadlineUnreachable,
    NoUpstream,
    NoQuorum,
    ClaimUnconfirmed,
    CommandUnconfirmed,
    StaleConfiguration,
    ShuttingDown,
    CrashSuspect,
    StreamFailed,
    RequestTimeout,
    UpstreamFailed,
    SheetInvalid,
    SheetConflict,
    StorageFull,
    StorageCorrupt,
    StorageFailed,
    NotLeader,
    PeerRejected,
    MalformedFrame,
    InvalidSetting,
    Internal,
};

// What an answer states about the execution of the request.
enum class ExecutionStatus {
    NotRun,
    Ran,
    Unknown,
};

struct ErrorRule {
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    bool mayResend;
    ExecutionStatus executionStatus;
    std::string_view title;
};

struct Error {
    ErrorKind kind;
    std::string detail;
    // When a resend is expected to succeed; absent where waiting does not help.
    std::optional<TimePoint> retryAt;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

template <typename T>
using Result = outcome::result<T, Error, outcome::policy::terminate>;

// Returns the rule for `kind`. Every kind has a rule.
const ErrorRule& errorRule(ErrorKind kind);

// Returns the stable name of `statement`, as it stands in answers: "true",
// "false" or "unknown" for the field notRun.
std::string_view notRunText(ExecutionStatus status);

inline Error makeError(ErrorKind kind, std::string detail) { return Error { kind, std::move(detail), std::nullopt }; }

} // namespace arbutus::base
