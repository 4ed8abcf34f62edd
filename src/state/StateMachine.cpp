#include "include/state/StateMachine.h"

#include "src/state/AuditText.h"
#include "src/state/Snapshot.h"

#include <algorithm>
#include <cassert>

namespace arbutus::state {

// The first value in a snapshot. Changes with every change of the layout.
static constexpr std::string_view snapshotFormat = "arbutus-state-2";
// The older layout, without route configuration and layer plan.
static constexpr std::string_view firstSnapshotFormat = "arbutus-state-1";

StateMachine::StateMachine(const Limits& limits)
    : limits_(limits)
    , feed_(limits.maxFeedRevisions, limits.maxFeedKeys)
    , sheets_(limits_)
    , orders_(limits_)
    , crashes_(limits_)
    , audit_(limits.maxAuditRecords)
{
}

Outcome StateMachine::apply(std::uint64_t index, std::string_view command)
{
    // A gap means that a committed entry was lost.
    assert(index == appliedIndex_ + 1);
    appliedIndex_ = index;
    if (command.empty())
        return NoCommand {};

    AuditRecord record;
    record.index = index;
    record.commandDigest = sha256Raw(command);
    Outcome outcome;
    if (auto decoded = decodeCommand(command); decoded.has_value()) {
        const auto& [proposedAt, body] = decoded.value();
        advanceTime(proposedAt);
        outcome = std::visit([this, proposedAt = proposedAt](const auto& typed) { return applyBody(typed, proposedAt); }, body);
        fillAuditRecord(body, outcome, record);
    } else {
        record.command = "Malformed";
        record.result = base::errorRule(decoded.error().kind).name;
        record.detail = decoded.error().detail;
        outcome = Refusal { decoded.error().kind, decoded.error().detail };
    }
    record.time = time_;
    audit_.append(std::move(record));
    return outcome;
}

// The clocks of successive proposers differ, so a command can have an earlier time
// than the one before it. The state's time never decreases.
void StateMachine::advanceTime(base::WallTime proposedAt)
{
    time_ = std::max(time_, proposedAt);
    orders_.expire(time_);
    if (crashes_.expire(time_))
        publishBlamedFingerprints();
}

void StateMachine::publishBlamedFingerprints()
{
    if (crashes_.blamed() == feed_.current().blamedFingerprints)
        return;
    Configuration next = feed_.current();
    ++next.revision;
    next.blamedFingerprints = crashes_.blamed();
    feed_.advance(std::move(next));
}

Outcome StateMachine::applyBody(const ApplySheet& command, base::WallTime) { return sheets_.apply(command, time_, audit_.isFull(), feed_); }
Outcome StateMachine::applyBody(const ClaimOrder& command, base::WallTime proposedAt) { return orders_.claim(command, proposedAt, time_, audit_.isFull()); }
Outcome StateMachine::applyBody(const RecordOutcome& command, base::WallTime) { return orders_.recordOutcome(command, time_); }
Outcome StateMachine::applyBody(const CloseClaim& command, base::WallTime) { return orders_.closeClaim(command, time_); }
Outcome StateMachine::applyBody(const ResolveOrder& command, base::WallTime) { return orders_.resolve(command, time_); }

Outcome StateMachine::applyBody(const DeclareEntryGone& command, base::WallTime)
{
    orders_.declareEntryGone(command, time_);
    return Accepted {};
}

// These three commands have no effect other than their audit record.
Outcome StateMachine::applyBody(const RecordOrderRefusal&, base::WallTime) { return Accepted {}; }
Outcome StateMachine::applyBody(const RecordRefusals&, base::WallTime) { return Accepted {}; }
Outcome StateMachine::applyBody(const ChangeReplicas&, base::WallTime) { return Accepted {}; }

Outcome StateMachine::applyBody(const ReplaceRoutes& command, base::WallTime) { return routes_.replaceIfNewer(command.version, command.document); }
Outcome StateMachine::applyBody(const SetLayerPlan& command, base::WallTime) { return layerPlan_.replaceIfNewer(command.revision, command.plan); }

Outcome StateMachine::applyBody(const SetDrain& command, base::WallTime)
{
    const auto& drained = feed_.current().drainedUpstreams;
    if ((drained.count(command.upstream) != 0) == command.isDraining)
        return Accepted {};
    if (command.isDraining && drained.size() >= limits_.maxDrainedUpstreams)
        return Refusal { base::ErrorKind::StorageFull, "the bound of drained upstreams is reached" };
    Configuration next = feed_.current();
    ++next.revision;
    if (command.isDraining)
        next.drainedUpstreams.insert(command.upstream);
    else
        next.drainedUpstreams.erase(command.upstream);
    feed_.advance(std::move(next));
    return Accepted {};
}

Outcome StateMachine::applyBody(const RecordCrash& command, base::WallTime)
{
    CrashReply reply = crashes_.record(command, time_);
    publishBlamedFingerprints();
    return reply;
}

Outcome StateMachine::applyBody(const ClearCrash& command, base::WallTime) { return crashes_.clear(command); }

Outcome StateMachine::applyBody(const IssueFencingToken&, base::WallTime)
{
    if (audit_.isFull())
        return Refusal { base::ErrorKind::StorageFull, "the audit records must be exported and trimmed first" };
    return FencingToken { ++lastFencingToken_ };
}

Outcome StateMachine::applyBody(const TrimAudit& command, base::WallTime)
{
    auto result = audit_.trim(command.throughSequence, command.digest);
    if (result.has_error())
        return Refusal { result.error().kind, result.error().detail };
    return Accepted {};
}

std::string StateMachine::encodeSnapshot() const
{
    SnapshotWriter writer;
    writer.write(snapshotFormat);
    writer.write(appliedIndex_);
    writer.write(time_);
    writer.write(lastFencingToken_);
    feed_.save(writer);
    sheets_.save(writer);
    orders_.save(writer);
    crashes_.save(writer);
    audit_.save(writer);
    routes_.save(writer);
    layerPlan_.save(writer);
    return writer.finish();
}

base::Result<std::unique_ptr<StateMachine>> StateMachine::MakeFromSnapshot(std::string_view bytes, const Limits& limits)
{
    auto machine = std::make_unique<StateMachine>(limits);
    try {
        SnapshotReader reader(bytes);
        machine->load(reader);
    } catch (const std::exception&) {
        return base::makeError(base::ErrorKind::StorageCorrupt, "the snapshot of the state is damaged or of another format");
    }
    return machine;
}

void StateMachine::load(SnapshotReader& reader)
{
    auto format = reader.read<std::string>();
    if (format != snapshotFormat && format != firstSnapshotFormat)
        throw msgpack::type_error();
    appliedIndex_ = reader.read<std::uint64_t>();
    time_ = reader.read<base::WallTime>();
    lastFencingToken_ = reader.read<std::uint64_t>();
    feed_.load(reader);
    sheets_.load(reader);
    orders_.load(reader);
    crashes_.load(reader);
    audit_.load(reader);
    if (format == snapshotFormat) {
        routes_.load(reader);
        layerPlan_.load(reader);
    }
    if (!reader.isAtEnd())
        throw msgpack::type_error();
}

} // namespace arbutus::state
