#pragma once

#include "include/base/Error.h"
#include "include/consensus/ReplicaCore.h"
#include "include/storage/Recovery.h"

#include <memory>
#include <optional>
#include <string>

namespace arbutus::replica {

// Carries what the replication core wants written to the data folder. Not
// thread-safe.
class ReplicaStorage {
public:
    // Opens or initialises the folder. `candidateDisk` names a new folder.
    static base::Result<std::unique_ptr<ReplicaStorage>> Make(const std::string& folder, std::uint64_t newDiskNumber);

    std::uint64_t diskNumber() const { return recovered_->identity.number(); }
    // Nothing was ever agreed on with this folder.
    bool isBlank() const;

    // Durably stores the first configuration of the deployment. The log begins
    // after it, so a restart needs it until a snapshot holds a later one.
    base::Result<void> saveBootstrap(const consensus::Configuration&);

    // Reads everything that the core needs to start.
    base::Result<consensus::DurableState> load() const;
    // Returns the state machine's part of the recovered snapshot, if there is one.
    base::Result<std::optional<consensus::Snapshot>> loadSnapshot() const;

    // Writes one output of the core; durable after the next sync(). After
    // StorageFull nothing of it may be reported as persisted, and the same output
    // has to be written again.
    base::Result<void> write(const consensus::Output&);
    base::Result<void> sync();

    // Stores a snapshot that this replica took itself.
    base::Result<void> saveSnapshot(const consensus::Snapshot&);
    // Removes log segments that no snapshot needs any more.
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
