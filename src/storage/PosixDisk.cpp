#include "include/storage/PosixDisk.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>

namespace arbutus::storage {

using base::Error;
using base::ErrorKind;
using base::Result;

static constexpr const char* lockFileName = "lock";
static constexpr mode_t fileMode = 0600;
static constexpr mode_t folderMode = 0700;

static Error systemError(std::string_view action, std::string_view name, int code)
{
    // Callers handle an exceeded quota or file size limit like a full disk.
    bool isFull = code == ENOSPC || code == EDQUOT || code == EFBIG;
    return base::makeError(isFull ? ErrorKind::StorageFull : ErrorKind::StorageFailed, fmt::format("{} {}: {}", action, name, std::generic_category().message(code)));
}

namespace {

class PosixFile final : public DiskFile {
public:
    PosixFile(std::string name, int descriptor)
        : name_(std::move(name))
        , descriptor_(descriptor)
    {
    }
    ~PosixFile() override { ::close(descriptor_); }
    PosixFile(const PosixFile&) = delete;
    PosixFile& operator=(const PosixFile&) = delete;

private:
    Result<void> onAppend(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return systemError("write", name_, errno);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return base::outcome::success();
    }

    Result<void> onTruncate(std::uint64_t size) override
    {
        if (::ftruncate(descriptor_, static_cast<off_t>(size)))
            return systemError("truncate", name_, errno);
        return base::outcome::success();
    }

    Result<std::string> onRead(std::uint64_t offset, std::size_t length) const override
    {
        BOOST_OUTCOME_TRY(size, onSize());
        // Limits the allocation to the file size, because `length` may be corrupt.
        std::string bytes(offset < size ? std::min<std::uint64_t>(length, size - offset) : 0, '\0');
        std::size_t bytesRead = 0;
        while (bytesRead < bytes.size()) {
            ssize_t count = ::pread(descriptor_, bytes.data() + bytesRead, bytes.size() - bytesRead, static_cast<off_t>(offset + bytesRead));
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                return systemError("read", name_, errno);
            if (!count)
                break;
            bytesRead += static_cast<std::size_t>(count);
        }
        bytes.resize(bytesRead);
        return bytes;
    }

    Result<std::uint64_t> onSize() const override
    {
        struct stat status { };
        if (::fstat(descriptor_, &status))
            return systemError("stat", name_, errno);
        return static_cast<std::uint64_t>(status.st_size);
    }

    Result<void> onSync() override
    {
        // fdatasync() also makes the file size durable. Reading needs no other metadata.
        if (::fdatasync(descriptor_))
            return systemError("sync", name_, errno);
        return base::outcome::success();
    }

    const std::string name_;
    const int descriptor_;
};

} // namespace

PosixDisk::PosixDisk(std::string folder, int folderDescriptor, int lockDescriptor)
    : folder_(std::move(folder))
    , folderDescriptor_(folderDescriptor)
    , lockDescriptor_(lockDescriptor)
{
}

PosixDisk::~PosixDisk()
{
    ::close(lockDescriptor_);
    ::close(folderDescriptor_);
}

static Result<void> syncParent(const std::string& folder)
{
    auto parent = std::filesystem::absolute(folder).lexically_normal().parent_path();
    int descriptor = ::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return systemError("open", parent.string(), errno);
    int code = ::fsync(descriptor) ? errno : 0;
    ::close(descriptor);
    if (code)
        return systemError("sync", parent.string(), code);
    return base::outcome::success();
}

Result<std::unique_ptr<PosixDisk>> PosixDisk::Make(const std::string& folder)
{
    if (!::mkdir(folder.c_str(), folderMode)) {
        BOOST_OUTCOME_TRY(syncParent(folder));
    } else if (errno != EEXIST) {
        return systemError("create", folder, errno);
    }
    int folderDescriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folderDescriptor < 0)
        return systemError("open", folder, errno);
    int lockDescriptor = ::openat(folderDescriptor, lockFileName, O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (lockDescriptor < 0) {
        int code = errno;
        ::close(folderDescriptor);
        return systemError("open", folder + "/" + lockFileName, code);
    }
    if (::flock(lockDescriptor, LOCK_EX | LOCK_NB)) {
        int code = errno;
        ::close(lockDescriptor);
        ::close(folderDescriptor);
        if (code == EWOULDBLOCK)
            return base::makeError(ErrorKind::StorageFailed, fmt::format("data folder {} is in use by another process", folder));
        return systemError("lock", folder, code);
    }
    return std::unique_ptr<PosixDisk>(new PosixDisk(folder, folderDescriptor, lockDescriptor));
}

Result<std::vector<std::string>> PosixDisk::onList() const
{
    std::error_code code;
    std::filesystem::directory_iterator entries(folder_, code);
    std::vector<std::string> names;
    for (; !code && entries != std::filesystem::directory_iterator(); entries.increment(code)) {
        if (auto name = entries->path().filename().string(); name != lockFileName)
            names.push_back(std::move(name));
    }
    if (code)
        return systemError("list", folder_, code.value());
    std::sort(names.begin(), names.end());
    return names;
}

Result<std::unique_ptr<DiskFile>> PosixDisk::onOpen(const std::string& name)
{
    int descriptor = ::openat(folderDescriptor_, name.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, fileMode);
    if (descriptor < 0)
        return systemError("open", name, errno);
    return std::unique_ptr<DiskFile>(new PosixFile(name, descriptor));
}

Result<void> PosixDisk::onRename(const std::string& from, const std::string& to)
{
    if (::renameat(folderDescriptor_, from.c_str(), folderDescriptor_, to.c_str()))
        return systemError("rename", from, errno);
    return base::outcome::success();
}

Result<void> PosixDisk::onRemove(const std::string& name)
{
    if (::unlinkat(folderDescriptor_, name.c_str(), 0))
        return systemError("remove", name, errno);
    return base::outcome::success();
}

Result<void> PosixDisk::onSyncDirectory()
{
    if (::fsync(folderDescriptor_))
        return systemError("sync", folder_, errno);
    return base::outcome::success();
}

} // namespace arbutus::storage
