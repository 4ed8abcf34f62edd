#pragma once

#include "include/base/Error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::storage {

// One open file. What is written is durable only after sync() succeeded. Errors
// are StorageFull when space is missing and StorageFailed otherwise.
class DiskFile {
public:
    virtual ~DiskFile() = default;

    // Writes `bytes` at the end. After a failure the file may end with a part of them.
    base::Result<void> append(std::string_view bytes) { return onAppend(bytes); }
    // Cuts the file to `size` bytes; `size` must not exceed the present size.
    base::Result<void> truncate(std::uint64_t size) { return onTruncate(size); }
    // Returns fewer bytes than `length` only at the end of the file.
    base::Result<std::string> read(std::uint64_t offset, std::size_t length) const { return onRead(offset, length); }
    base::Result<std::uint64_t> size() const { return onSize(); }
    // After a failure, nothing written since the last success may be assumed
    // durable, even if a later sync succeeds.
    base::Result<void> sync() { return onSync(); }

private:
    virtual base::Result<void> onAppend(std::string_view) = 0;
    virtual base::Result<void> onTruncate(std::uint64_t size) = 0;
    virtual base::Result<std::string> onRead(std::uint64_t offset, std::size_t length) const = 0;
    virtual base::Result<std::uint64_t> onSize() const = 0;
    virtual base::Result<void> onSync() = 0;
};

// One flat data folder. Created, renamed and removed names are durable only
// after syncDirectory() succeeded. Errors are as for DiskFile.
class Disk {
public:
    virtual ~Disk() = default;

    // Returns the names of all files in ascending order.
    base::Result<std::vector<std::string>> list() const { return onList(); }
    // Opens `name` for reading and appending; creates it empty if it is missing.
    base::Result<std::unique_ptr<DiskFile>> open(const std::string& name);
    // Replaces `to` in one step if it exists.
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

// Replaces the content of `name` so that a crash leaves either the old or the
// new content. The new content is durable on success.
base::Result<void> writeAtomically(Disk&, const std::string& name, std::string_view bytes);

// Returns the whole content of `name`, which must exist.
base::Result<std::string> readWholeFile(Disk&, const std::string& name);

// Whether `name` is an unfinished file of writeAtomically().
bool isTemporaryName(std::string_view name);

base::Error corruptError(const std::string& file, std::uint64_t offset, std::string_view reason);

} // namespace arbutus::storage
