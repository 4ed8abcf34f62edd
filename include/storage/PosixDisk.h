#pragma once

#include "include/storage/Disk.h"

namespace arbutus::storage {

// A data folder in the file system. Locks the folder for the lifetime of the object,
// so that two processes cannot use the same one.
class PosixDisk final : public Disk {
public:
    // Creates `folder` if it does not exist; its parent must exist. Fails with
    // StorageFailed if another process or object has locked the folder.
    static base::Result<std::unique_ptr<PosixDisk>> Make(const std::string& folder);

    ~PosixDisk() override;
    PosixDisk(const PosixDisk&) = delete;
    PosixDisk& operator=(const PosixDisk&) = delete;

private:
    PosixDisk(std::string folder, int folderDescriptor, int lockDescriptor);

    base::Result<std::vector<std::string>> onList() const override;
    base::Result<std::unique_ptr<DiskFile>> onOpen(const std::string& name) override;
    base::Result<void> onRename(const std::string& from, const std::string& to) override;
    base::Result<void> onRemove(const std::string& name) override;
    base::Result<void> onSyncDirectory() override;

    const std::string folder_;
    const int folderDescriptor_;
    const int lockDescriptor_;
};

} // namespace arbutus::storage
