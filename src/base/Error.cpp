#include "include/base/Error.h"

#include <array>
#include <cassert>

namespace arbutus::base {

static constexpr std::array errorRules {
    ErrorRule { ErrorKind::Unauthorized, "unauthorized", 401, false, ExecutionStatus::NotRun, "The bearer token is missing or unknown." },
    ErrorRule { ErrorKind::Forbidden, "forbidden", 403, false, ExecutionStatus::NotRun, "The sheet does not allow this team to make the call." },
    ErrorRule { ErrorKind::InvalidRequest, "invalid-request", 400, false, ExecutionStatus::NotRun, "The request cannot be parsed or has an invalid field." },
    ErrorRule { ErrorKind::UnknownModel, "unknown-model", 404, false, ExecutionStatus::NotRun, "The sheet does not grant this team access to the model." },
    ErrorRule { ErrorKind::UnknownService, "unknown-service", 404, false, ExecutionStatus::NotRun, "The sheet does not grant this team access to the service." },
    ErrorRule { ErrorKind::NotFound, "not-found", 404, false, ExecutionStatus::NotRun, "The path or object does not exist." },
    ErrorRule { ErrorKind::KeyRequired, "key-required", 400, false, ExecutionStatus::NotRun, "A call that is not repeatable requires an Idempotency-Key." },
    ErrorRule { ErrorKind::KeyConflict, "key-conflict", 422, false, ExecutionStatus::NotRun, "The Idempotency-Key was already used with a different request." },
    ErrorRule { ErrorKind::OrderInProgress, "order-in-progress", 409, true, ExecutionStatus::Unknown, "An order with this key is in progress; retry later to get its outcome." },
    ErrorRule { ErrorKind::OrderOutcomeUnknown, "order-outcome-unknown", 409, false, ExecutionStatus::Unknown, "The outcome of this order is unknown until an operator resolves it." },
    ErrorRule { ErrorKind::Overloaded, "overloaded", 429, true, ExecutionStatus::NotRun, "The team has reached a limit or its queue is full." },
    ErrorRule { ErrorKind::DeadlineUnreachable, "deadline-unreachable", 503, true, ExecutionStatus::NotRun, "The request cannot be answered before its deadline." },
    ErrorRule { ErrorKind::NoUpstream, "no-upstream", 503, true, ExecutionStatus::NotRun, "No upstream is available for the request." },
    ErrorRule { ErrorKind::NoQuorum, "no-quorum", 503, true, ExecutionStatus::NotRun, "The replicated state has no quorum; nothing was sent." },
    ErrorRule { ErrorKind::ClaimUnconfirmed, "claim-unconfirmed", 503, true, ExecutionStatus::NotRun, "The claim of the order was not confirmed in time; nothing was sent." },
    ErrorRule { ErrorKind::CommandUnconfirmed, "command-unconfirmed", 503, true, ExecutionStatus::Unknown, "The replicated state did not confirm the command in time; the command may still take effect." },
    ErrorRule { ErrorKind::StaleConfiguration, "stale-configuration", 503, true, ExecutionStatus::NotRun, "This VM cannot confirm that its configuration is current." },
    ErrorRule { ErrorKind::ShuttingDown, "shutting-down", 503, true, ExecutionStatus::NotRun, "This VM is shutting down." },
    ErrorRule { ErrorKind::CrashSuspect, "crash-suspect", 422, false, ExecutionStatus::Ran, "The request ran on upstreams that then crashed; it is not retried." },
    ErrorRule { ErrorKind::StreamFailed, "stream-failed", 502, true, ExecutionStatus::Ran, "The response could not be completed on any pipeline." },
    ErrorRule { ErrorKind::RequestTimeout, "request-timeout", 504, true, ExecutionStatus::Unknown, "The deadline passed after the request had been sent." },
    ErrorRule { ErrorKind::UpstreamFailed, "upstream-failed", 502, false, ExecutionStatus::Unknown, "The upstream did not respond; whether it executed the call is unknown." },
    ErrorRule { ErrorKind::SheetInvalid, "sheet-invalid", 422, false, ExecutionStatus::NotRun, "The sheet has invalid rows; nothing was changed." },
    ErrorRule { ErrorKind::SheetConflict, "sheet-conflict", 409, false, ExecutionStatus::NotRun, "Another sheet was accepted first; nothing was changed." },
    ErrorRule { ErrorKind::StorageFull, "storage-full", 507, true, ExecutionStatus::NotRun, "The disk of the state is full or the state has reached a size limit; reads continue." },
    ErrorRule { ErrorKind::StorageCorrupt, "storage-corrupt", 500, false, ExecutionStatus::NotRun, "A state file is corrupt before its tail." },
    ErrorRule { ErrorKind::StorageFailed, "storage-failed", 500, false, ExecutionStatus::Unknown, "Reading, writing or syncing a state file failed." },
    ErrorRule { ErrorKind::NotLeader, "not-leader", 503, true, ExecutionStatus::NotRun, "This replica is not the leader." },
    ErrorRule { ErrorKind::PeerRejected, "peer-rejected", 403, false, ExecutionStatus::NotRun, "A peer failed to authenticate as a member of this deployment." },
    ErrorRule { ErrorKind::MalformedFrame, "malformed-frame", 400, false, ExecutionStatus::NotRun, "A frame from a peer cannot be decoded." },
    ErrorRule { ErrorKind::InvalidSetting, "invalid-setting", 500, false, ExecutionStatus::NotRun, "A setting is missing or has an invalid value." },
    ErrorRule { ErrorKind::Internal, "internal", 500, false, ExecutionStatus::Unknown, "An unexpected internal error occurred." },
    ErrorRule { ErrorKind::HeldBack, "held-back", 503, true, ExecutionStatus::NotRun, "The prompt has a part in common with requests that crashed upstreams." },
};

static constexpr bool isIndexedByKind()
{
    for (std::size_t i = 0; i < errorRules.size(); ++i) {
        if (static_cast<std::size_t>(errorRules[i].kind) != i)
            return false;
    }
    return errorRules.size() == static_cast<std::size_t>(ErrorKind::HeldBack) + 1;
}
static_assert(isIndexedByKind(), "errorRules must have one row per ErrorKind, in enum order.");

const ErrorRule& errorRule(ErrorKind kind)
{
    auto index = static_cast<std::size_t>(kind);
    assert(index < errorRules.size());
    return errorRules[index];
}

std::string_view notRunText(ExecutionStatus status)
{
    static constexpr std::array<std::string_view, 3> texts { "true", "false", "unknown" };
    return texts[static_cast<std::size_t>(status)];
}

} // namespace arbutus::base
