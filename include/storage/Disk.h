#pragma once

#include "include/base/Error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::storage {

// An open file. Written data is durable only after a successful sync(). Errors are
// StorageFull if the disk has no space left and StorageFailed otherwise.
class DiskFile {
public:
    virtual ~DiskFile() = default;

    // Appends `bytes` to the file. A failed append may leave a prefix of them behind.
    base::Result<void> append(std::string_view bytes) { return onAppend(bytes); }
    // Truncates the file to `size` bytes, which must not exceed the current size.
    base::Result<void> truncate(std::uint64_t size) { return onTruncate(size); }
    // Returns fewer bytes than `length` only at the end of the file.
    base::Result<std::string> read(std::uint64_t offset, std::size_t length) const { return onRead(offset, length); }
    base::Result<std::uint64_t> size() const { return onSize(); }
    // Makes all written data durable. After a failure, data written since the last
    // successful sync must not be assumed durable, even if a later sync succeeds.
    base::Result<void> sync() { return onSync(); }

private:
    virtual base::Result<void> onAppend(std::string_view) = 0;
    virtual base::Result<void> onTruncate(std::uint64_t size) = 0;
    virtual base::Result<std::string> onRead(std::uint64_t offset, std::size_t length) const = 0;
    virtual base::Result<std::uint64_t> onSize() const = 0;
    virtual base::Result<void> onSync() = 0;
};

// A data folder without subfolders. The creation, renaming and removal of files are
// durable only after a successful syncDirectory(). Errors are as for DiskFile.
class Disk {
public:
    virtual ~Disk() = default;

    // Returns the names of all files in ascending order.
    base::Result<std::vector<std::string>> list() const { return onList(); }
    // Opens `name` for reading and appending. Creates an empty file if it does not exist.
    base::Result<std::unique_ptr<DiskFile>> open(const std::string& name);
    // Replaces `to` atomically if it exists.
    base::Result<void> rename(const std::string& from, const std::string& to);
    base::Result<void> remove(const std::string& name);
    base::Result<void> syncDirectory() { return onSyncDirectory(); }

private:
    virtual base::Result<std::vector<std::string>> onList() const = 0;
    virtual base::Result<std::unique_ptr<DiskFile>> onOpen(const std::string& name) = 0;
    virtual base::Result<void> onRename(const std::string& from, const std::string& to) = 0;
    virtual base::Result<void> onRemove(const std::string& name) = 0;
    virtual base::Result<void> onSyncDirectory() = 0;
};

// Replaces the content of `name`. After a crash, the file has either its old or its
// new content. The new content is durable on success.
base::Result<void> writeAtomically(Disk&, const std::string& name, std::string_view bytes);

// Returns the complete content of `name`, which must exist.
base::Result<std::string> readWholeFile(Disk&, const std::string& name);

// Returns whether `name` is a temporary file of writeAtomically().
bool isTemporaryName(std::string_view name);

// Returns a StorageCorrupt error whose detail names the file and the offset.
base::Error corruptError(const std::string& file, std::uint64_t offset, std::string_view reason);

} // namespace arbutus::storage
