#include "include/storage/Disk.h"

#include <fmt/format.h>

#include <cassert>

namespace arbutus::storage {

using base::Result;

static constexpr std::string_view temporarySuffix = ".tmp";

static bool isValidFileName(const std::string& name) { return !name.empty() && name.find('/') == std::string::npos && name.front() != '.'; }

Result<std::unique_ptr<DiskFile>> Disk::open(const std::string& name)
{
    assert(isValidFileName(name));
    return onOpen(name);
}

Result<void> Disk::rename(const std::string& from, const std::string& to)
{
    assert(isValidFileName(from) && isValidFileName(to));
    return onRename(from, to);
}

Result<void> Disk::remove(const std::string& name)
{
    assert(isValidFileName(name));
    return onRemove(name);
}

static Result<void> writeTemporaryFile(Disk& disk, const std::string& name, std::string_view bytes)
{
    BOOST_OUTCOME_TRY(opened, disk.open(name));
    std::unique_ptr<DiskFile> file = std::move(opened);
    BOOST_OUTCOME_TRY(size, file->size());
    if (size) {
        // Left behind by an interrupted attempt. Creates a new file instead of
        // truncating this one: after a failed sync, the truncation may not be durable.
        file.reset();
        BOOST_OUTCOME_TRY(disk.remove(name));
        BOOST_OUTCOME_TRY(reopened, disk.open(name));
        file = std::move(reopened);
    }
    if (auto written = file->append(bytes); !written) {
        // Frees the space immediately; otherwise a full disk would stay full.
        (void)file->truncate(0);
        return written;
    }
    return file->sync();
}

Result<void> writeAtomically(Disk& disk, const std::string& name, std::string_view bytes)
{
    std::string temporary = name + std::string(temporarySuffix);
    BOOST_OUTCOME_TRY(writeTemporaryFile(disk, temporary, bytes));
    BOOST_OUTCOME_TRY(disk.rename(temporary, name));
    return disk.syncDirectory();
}

Result<std::string> readWholeFile(Disk& disk, const std::string& name)
{
    BOOST_OUTCOME_TRY(file, disk.open(name));
    BOOST_OUTCOME_TRY(size, file->size());
    return file->read(0, size);
}

bool isTemporaryName(std::string_view name)
{
    return name.size() > temporarySuffix.size() && name.substr(name.size() - temporarySuffix.size()) == temporarySuffix;
}

base::Error corruptError(const std::string& file, std::uint64_t offset, std::string_view reason)
{
    return base::makeError(base::ErrorKind::StorageCorrupt, fmt::format("{} at offset {}: {}", file, offset, reason));
}

} // namespace arbutus::storage
