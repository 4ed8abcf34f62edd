#pragma once

#include "include/base/Time.h"

#include <boost/outcome.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace arbutus::base {

// All kinds of errors in the system. Each kind has one row in the rule table,
// which defines the response that callers and operators receive.
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
    // Stored by number, so new kinds are added at the end.
    HeldBack,
};

// What an error response states about whether the request was executed.
enum class ExecutionStatus {
    NotRun,
    Ran,
    Unknown,
};

// How an error kind is reported to callers and operators.
struct ErrorRule {
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    // Whether a retry of the same request can succeed.
    bool mayResend;
    ExecutionStatus executionStatus;
    // Sentence shown as the title of a problem response.
    std::string_view title;
};

struct Error {
    ErrorKind kind;
    std::string detail;
    // Earliest time at which a retry is expected to succeed; nullopt if waiting does not help.
    std::optional<TimePoint> retryAt;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

template <typename T>
using Result = outcome::result<T, Error, outcome::policy::terminate>;

// Returns the rule for `kind`. Every kind has one.
const ErrorRule& errorRule(ErrorKind kind);

// Returns the value of the response field notRun for `status`: "true", "false" or
// "unknown". These values are part of the API.
std::string_view notRunText(ExecutionStatus status);

inline Error makeError(ErrorKind kind, std::string detail) { return Error { kind, std::move(detail), std::nullopt }; }

} // namespace arbutus::base
