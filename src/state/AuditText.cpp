#include "src/state/AuditText.h"

#include "include/base/Digest.h"
#include "include/state/OrderLedger.h"

#include <fmt/format.h>

#include <array>

namespace arbutus::state {

std::string_view resultName(const Outcome& outcome)
{
    static constexpr std::array<std::string_view, 6> claimNames { "granted", "running", "unknown", "answered", "answer-dropped", "claim-closed" };
    struct ResultNamer {
        std::string_view operator()(const NoCommand&) const { return "no-command"; }
        std::string_view operator()(const Accepted&) const { return "accepted"; }
        std::string_view operator()(const Refusal& refusal) const { return base::errorRule(refusal.kind).name; }
        std::string_view operator()(const SheetAccepted& accepted) const { return accepted.isResend ? "resend" : "accepted"; }
        std::string_view operator()(const SheetRefused& refused) const { return base::errorRule(refused.refusal.kind).name; }
        std::string_view operator()(const ClaimReply& reply) const { return claimNames[static_cast<std::size_t>(reply.status)]; }
        std::string_view operator()(const CrashReply& reply) const { return reply.isBlamed ? "blamed" : "accepted"; }
        std::string_view operator()(const FencingToken&) const { return "accepted"; }
        std::string_view operator()(const VersionReply& stored) const { return stored.isAdopted ? "accepted" : "superseded"; }
    };
    return std::visit(ResultNamer(), outcome);
}

static std::string_view errorKindName(std::uint32_t errorKind) { return base::errorRule(static_cast<base::ErrorKind>(errorKind)).name; }

// Includes the digest so that an answer can be verified after the ledger has dropped it.
static std::string answerText(const OrderAnswer& answer) { return fmt::format("status={} bytes={} answer={}", answer.httpStatus, answer.body.size(), toHex(answerDigest(answer))); }

namespace {
// Fills actor, subject and detail from the command.
struct CommandDescriber {
    AuditRecord& record;

    void set(std::string actor, std::string subject, std::string detail)
    {
        record.actor = std::move(actor);
        record.subject = std::move(subject);
        record.detail = std::move(detail);
    }

    void operator()(const ApplySheet& command) { set(command.operatorName, fmt::format("sheet based on {}", command.baseRevision), fmt::format("number={}", command.operatorNumber)); }
    void operator()(const ClaimOrder& command) { set(fmt::format("{} incarnation {}", command.entryVm, command.entryIncarnation), toString(command.order), fmt::format("claim={:016x} body={}", command.claimNumber, command.bodyDigest)); }
    void operator()(const RecordOutcome& command) { set("", toString(command.order), fmt::format("claim={:016x} {}", command.claimNumber, command.isUnknown ? "unknown" : answerText(command.answer))); }
    void operator()(const CloseClaim& command) { set("", toString(command.order), fmt::format("claim={:016x}", command.claimNumber)); }
    void operator()(const ResolveOrder& command) { set(command.operatorName, toString(command.order), command.didRun ? answerText(command.answer) : "not run"); }
    void operator()(const DeclareEntryGone& command) { set("", command.entryVm, fmt::format("incarnation={}", command.entryIncarnation)); }
    void operator()(const RecordOrderRefusal& command) { set(command.entryVm, toString(command.order), fmt::format("{}: {}", errorKindName(command.errorKind), command.detail)); }
    void operator()(const RecordRefusals& command)
    {
        std::string counts = fmt::format("from={} to={}", command.from.time_since_epoch().count(), command.to.time_since_epoch().count());
        for (const auto& count : command.counts)
            counts += fmt::format(" {}/{}={}", count.team, errorKindName(count.errorKind), count.count);
        set(command.entryVm, "refused requests", std::move(counts));
    }
    void operator()(const SetDrain& command) { set(command.operatorName, command.upstream, command.isDraining ? "drain" : "undrain"); }
    void operator()(const RecordCrash& command) { set(fmt::format("{} incarnation {}", command.upstream, command.upstreamIncarnation), command.fingerprint, command.wasSoleSuspect ? "alone" : "among others"); }
    void operator()(const ClearCrash& command) { set(fmt::format("{} incarnation {}", command.upstream, command.upstreamIncarnation), command.fingerprint, ""); }
    void operator()(const IssueFencingToken& command) { set(command.holder, command.scope, ""); }
    void operator()(const TrimAudit& command) { set(command.operatorName, fmt::format("audit records through {}", command.throughSequence), command.digest); }
    void operator()(const ChangeReplicas& command) { set(command.operatorName, "replicas", command.change); }
    void operator()(const ReplaceRoutes& command) { set("", fmt::format("routes version {}", command.version), fmt::format("bytes={} digest={}", command.document.size(), base::sha256Hex(command.document))); }
    void operator()(const SetLayerPlan& command) { set("", fmt::format("layer plan {}", command.revision), fmt::format("digest={}", base::sha256Hex(command.plan))); }
};

// Returns the text that the outcome appends to the detail.
struct OutcomeDetail {
    std::string operator()(const Refusal& refusal) const { return refusal.detail; }
    std::string operator()(const SheetAccepted& accepted) const { return fmt::format("revision={} digest={}", accepted.acceptance.revision, accepted.acceptance.digest); }
    std::string operator()(const SheetRefused& refused) const { return refused.refusal.detail; }
    std::string operator()(const CrashReply& reply) const { return fmt::format("deaths={} alone={}", reply.crashCount, reply.soleSuspectCrashCount); }
    std::string operator()(const FencingToken& fencing) const { return fmt::format("number={}", fencing.number); }
    std::string operator()(const VersionReply& stored) const { return fmt::format("in-force={}", stored.versionInForce); }
    template <typename Other>
    std::string operator()(const Other&) const { return ""; }
};
} // namespace

void fillAuditRecord(const CommandBody& body, const Outcome& outcome, AuditRecord& record)
{
    record.command = commandName(body);
    record.result = resultName(outcome);
    std::visit(CommandDescriber { record }, body);
    std::string text = std::visit(OutcomeDetail(), outcome);
    if (!text.empty())
        record.detail += (record.detail.empty() ? "" : " ") + text;
}

} // namespace arbutus::state
