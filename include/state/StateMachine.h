#pragma once

#include "include/state/AuditChain.h"
#include "include/state/Configuration.h"
#include "include/state/CrashLedger.h"
#include "include/state/Limits.h"
#include "include/state/OrderLedger.h"
#include "include/state/Outcome.h"
#include "include/state/SheetHistory.h"
#include "include/state/VersionedDocument.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace arbutus::state {

// The replicated state machine that holds the durable state of a deployment.
// Replicas that apply the same log entries have the same state and write
// byte-identical snapshots. The state machine reads no clock: time comes from the
// commands and never decreases.
class StateMachine {
public:
    explicit StateMachine(const Limits& limits = Limits());
    StateMachine(const StateMachine&) = delete;
    StateMachine& operator=(const StateMachine&) = delete;

    // Restores a snapshot. Fails with StorageCorrupt if `bytes` is damaged or has an
    // unsupported format. Safe on untrusted input.
    static base::Result<std::unique_ptr<StateMachine>> MakeFromSnapshot(std::string_view bytes, const Limits& limits = Limits());

    // Applies the committed log entry at `index`, which must be appliedIndex() + 1.
    // `command` is the result of encodeCommand(), or empty if the entry carries no
    // command. Every command is audited, including refused and malformed ones.
    Outcome apply(std::uint64_t index, std::string_view command);

    // Serializes the whole state, including all audit records that were not trimmed.
    std::string encodeSnapshot() const;

    // Zero before the first entry.
    std::uint64_t appliedIndex() const { return appliedIndex_; }
    // The latest time of all applied commands.
    base::WallTime time() const { return time_; }

    const Configuration& configuration() const { return feed_.current(); }
    ConfigurationUpdate changesSince(std::uint64_t revision) const { return feed_.changesSince(revision); }
    ConfigurationUpdate fullCopy() const { return feed_.fullCopy(); }
    std::optional<SheetAcceptance> currentSheetAcceptance() const { return sheets_.currentAcceptance(); }
    const OrderLedger& orders() const { return orders_; }
    const CrashLedger& crashes() const { return crashes_; }
    const AuditChain& audit() const { return audit_; }
    // The route configuration in force.
    const VersionedDocument& routes() const { return routes_; }
    const VersionedDocument& layerPlan() const { return layerPlan_; }

private:
    Outcome applyBody(const ApplySheet&, base::WallTime proposedAt);
    Outcome applyBody(const ClaimOrder&, base::WallTime proposedAt);
    Outcome applyBody(const RecordOutcome&, base::WallTime proposedAt);
    Outcome applyBody(const CloseClaim&, base::WallTime proposedAt);
    Outcome applyBody(const ResolveOrder&, base::WallTime proposedAt);
    Outcome applyBody(const DeclareEntryGone&, base::WallTime proposedAt);
    Outcome applyBody(const RecordOrderRefusal&, base::WallTime proposedAt);
    Outcome applyBody(const RecordRefusals&, base::WallTime proposedAt);
    Outcome applyBody(const SetDrain&, base::WallTime proposedAt);
    Outcome applyBody(const RecordCrash&, base::WallTime proposedAt);
    Outcome applyBody(const ClearCrash&, base::WallTime proposedAt);
    Outcome applyBody(const IssueFencingToken&, base::WallTime proposedAt);
    Outcome applyBody(const TrimAudit&, base::WallTime proposedAt);
    Outcome applyBody(const ChangeReplicas&, base::WallTime proposedAt);
    Outcome applyBody(const ReplaceRoutes&, base::WallTime proposedAt);
    Outcome applyBody(const SetLayerPlan&, base::WallTime proposedAt);

    void advanceTime(base::WallTime);
    void publishBlamedFingerprints();
    void load(SnapshotReader&);

    const Limits limits_;
    std::uint64_t appliedIndex_ = 0;
    base::WallTime time_;
    // A single counter for all scopes. Tokens increase within each scope, and unused
    // scopes need no memory.
    std::uint64_t lastFencingToken_ = 0;
    ConfigurationFeed feed_;
    SheetHistory sheets_;
    OrderLedger orders_;
    CrashLedger crashes_;
    AuditChain audit_;
    VersionedDocument routes_;
    VersionedDocument layerPlan_;
};

} // namespace arbutus::state
