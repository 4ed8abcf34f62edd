#include "src/replica/ReplicaStorage.h"

#include "include/storage/PosixDisk.h"

#include <msgpack.hpp>

namespace arbutus::replica {

using base::ErrorKind;
using base::makeError;
using base::Result;

static constexpr std::size_t readBatchBytes = std::size_t { 4 } << 20;

// A snapshot file contains the encoded metadata and the state machine's bytes.
static std::string packSnapshot(const consensus::Snapshot& snapshot)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, std::make_pair(consensus::encode(snapshot.meta), *snapshot.data));
    return std::string(buffer.data(), buffer.size());
}

static Result<std::pair<std::string, std::string>> unpackPair(const std::string& bytes, const std::string& what)
{
    std::pair<std::string, std::string> parts;
    try {
        msgpack::unpack(bytes.data(), bytes.size()).get().convert(parts);
    } catch (const std::exception& exception) {
        return makeError(ErrorKind::StorageCorrupt, what + " cannot be decoded: " + exception.what());
    }
    return parts;
}

static Result<consensus::Snapshot> unpackSnapshot(const std::string& bytes)
{
    BOOST_OUTCOME_TRY(parts, unpackPair(bytes, "a snapshot"));
    BOOST_OUTCOME_TRY(meta, consensus::decode<consensus::SnapshotMeta>(parts.first));
    return consensus::Snapshot { meta, std::make_shared<const std::string>(std::move(parts.second)) };
}

Result<std::unique_ptr<ReplicaStorage>> ReplicaStorage::Make(const std::string& folder, std::uint64_t newDiskNumber)
{
    std::unique_ptr<ReplicaStorage> result(new ReplicaStorage);
    BOOST_OUTCOME_TRY(disk, storage::PosixDisk::Make(folder));
    result->disk_ = std::move(disk);
    BOOST_OUTCOME_TRY(recovered, storage::recoverStorage(*result->disk_, newDiskNumber));
    result->recovered_.emplace(std::move(recovered));
    if (const auto& saved = result->recovered_->hardState.state(); !saved.vote.empty()) {
        BOOST_OUTCOME_TRY(parts, unpackPair(saved.vote, "the hard state"));
        BOOST_OUTCOME_TRY(hardState, consensus::decode<consensus::HardState>(parts.first));
        BOOST_OUTCOME_TRY(bootstrap, consensus::decode<consensus::Configuration>(parts.second));
        result->hardState_ = hardState;
        result->bootstrap_ = std::move(bootstrap);
    }
    return result;
}

bool ReplicaStorage::isBlank() const
{
    return bootstrap_.voters.empty() && !recovered_->hardState.state().term && !recovered_->snapshot && !recovered_->log->lastIndex();
}

Result<std::optional<consensus::Snapshot>> ReplicaStorage::loadSnapshot() const
{
    if (!recovered_->snapshot)
        return std::optional<consensus::Snapshot>();
    BOOST_OUTCOME_TRY(snapshot, unpackSnapshot(recovered_->snapshot->bytes));
    return std::optional<consensus::Snapshot>(std::move(snapshot));
}

Result<consensus::DurableState> ReplicaStorage::load() const
{
    consensus::DurableState state;
    BOOST_OUTCOME_TRY(snapshot, loadSnapshot());
    state.snapshot = std::move(snapshot);
    state.hardState = hardState_;
    state.bootstrap = bootstrap_;
    const auto& log = *recovered_->log;
    for (auto next = log.firstIndex(); next <= log.lastIndex();) {
        BOOST_OUTCOME_TRY(records, log.read(next, log.lastIndex(), readBatchBytes));
        for (const auto& record : records) {
            BOOST_OUTCOME_TRY(entry, consensus::decode<consensus::Entry>(record.bytes));
            state.entries.push_back(std::move(entry));
        }
        next = records.back().index + 1;
    }
    return state;
}

Result<void> ReplicaStorage::saveHardState()
{
    storage::HardState state;
    state.term = hardState_.term;
    // The vote field is opaque to the store; it holds the core's hard state and the
    // bootstrap configuration.
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, std::make_pair(consensus::encode(hardState_), consensus::encode(bootstrap_)));
    state.vote.assign(buffer.data(), buffer.size());
    return recovered_->hardState.save(state);
}

Result<void> ReplicaStorage::saveBootstrap(const consensus::Configuration& configuration)
{
    bootstrap_ = configuration;
    return saveHardState();
}

Result<void> ReplicaStorage::writeSnapshot(const consensus::Output& output)
{
    const auto& meta = output.snapshot->meta;
    BOOST_OUTCOME_TRYV(recovered_->snapshots.save({ meta.index, meta.term, packSnapshot(*output.snapshot) }));
    if (output.discardsLog)
        return recovered_->log->reset({ meta.index, meta.term });
    return base::outcome::success();
}

Result<void> ReplicaStorage::write(const consensus::Output& output)
{
    if (output.hardState) {
        hardState_ = *output.hardState;
        BOOST_OUTCOME_TRYV(saveHardState());
    }
    if (output.snapshot) {
        BOOST_OUTCOME_TRYV(writeSnapshot(output));
    }
    auto& log = *recovered_->log;
    if (output.truncateFrom && *output.truncateFrom <= log.lastIndex()) {
        BOOST_OUTCOME_TRYV(log.truncateSuffix(*output.truncateFrom));
    }
    std::vector<storage::LogRecord> records;
    for (const auto& entry : output.appends)
        records.push_back({ entry.index, entry.term, consensus::encode(entry) });
    if (records.empty())
        return base::outcome::success();
    return log.append(records);
}

Result<void> ReplicaStorage::sync() { return recovered_->log->sync(); }

Result<void> ReplicaStorage::saveSnapshot(const consensus::Snapshot& snapshot)
{
    return recovered_->snapshots.save({ snapshot.meta.index, snapshot.meta.term, packSnapshot(snapshot) });
}

Result<void> ReplicaStorage::compact(consensus::Index upTo)
{
    return recovered_->log->truncatePrefix(std::min<std::uint64_t>(upTo, recovered_->snapshots.safeTruncationIndex()));
}

} // namespace arbutus::replica
