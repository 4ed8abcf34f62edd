#pragma once

#include "include/base/Error.h"
#include "include/consensus/ReplicaCore.h"
#include "include/storage/Recovery.h"

#include <memory>
#include <optional>
#include <string>

namespace arbutus::replica {

// Persists the replication core's state in the replica's data folder: hard state,
// bootstrap configuration, log and snapshots. Not thread-safe.
class ReplicaStorage {
public:
    // Opens the folder, or initializes it and assigns `newDiskNumber` if it is new.
    static base::Result<std::unique_ptr<ReplicaStorage>> Make(const std::string& folder, std::uint64_t newDiskNumber);

    std::uint64_t diskNumber() const { return recovered_->identity.number(); }
    // Returns whether the folder holds no consensus state: no bootstrap configuration,
    // term, snapshot or log entry.
    bool isBlank() const;

    // Durably stores the initial configuration of the deployment. The log does not
    // contain it, so a restart needs it until a snapshot includes a configuration.
    base::Result<void> saveBootstrap(const consensus::Configuration&);

    // Reads the complete state that the core needs to start.
    base::Result<consensus::DurableState> load() const;
    // Returns the recovered snapshot, or nullopt if there is none.
    base::Result<std::optional<consensus::Snapshot>> loadSnapshot() const;

    // Writes one output of the core, which is durable after the next sync(). After
    // StorageFull, no part of the output may be reported as persisted, and the caller
    // must write the same output again.
    base::Result<void> write(const consensus::Output&);
    base::Result<void> sync();

    // Durably stores a snapshot taken by this replica.
    base::Result<void> saveSnapshot(const consensus::Snapshot&);
    // Removes log segments up to the index, as far as the stored snapshots cover them.
    base::Result<void> compact(consensus::Index upTo);

    std::uint64_t syncCount() const { return recovered_->log->syncCount(); }

private:
    ReplicaStorage() = default;

    base::Result<void> writeSnapshot(const consensus::Output&);
    base::Result<void> saveHardState();

    std::unique_ptr<storage::Disk> disk_;
    std::optional<storage::RecoveredStorage> recovered_;
    consensus::HardState hardState_;
    consensus::Configuration bootstrap_;
};

} // namespace arbutus::replica
