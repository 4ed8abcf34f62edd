#pragma once

#include "include/base/Random.h"
#include "include/storage/Disk.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace arbutus::storage {

// An in-memory disk that tracks the visible and the durable content of files separately.
// After a crash, a random subset of the unsynced changes is durable, in units of
// `sectorBytes`.
class FakeDisk final : public Disk {
public:
    static constexpr std::size_t sectorBytes = 64;

    // Simulates a power failure. Every write, truncation, sync, rename and removal is one
    // step. The first `step` of them succeed and all later ones fail. The first to fail is
    // interrupted: if it is a write, its data may still reach the disk.
    void crashAtStep(std::uint64_t step) { crashStep_ = step; }
    bool hasCrashed() const { return steps_ > crashStep_; }

    // Makes sync number `sync` fail. Syncs of files and of the folder are counted from 1.
    // The changes that a failed file sync covers never become durable, but stay visible
    // until the restart.
    void failSync(std::uint64_t sync) { failingSync_ = sync; }
    std::uint64_t syncCount() const { return syncs_; }
    // Appends fail with StorageFull if the total size of all files would exceed `bytes`.
    void setCapacity(std::uint64_t bytes) { capacity_ = bytes; }

    // Restarts the machine after a power failure. Cancels crashAtStep() and failSync().
    void restart(base::Random& random)
    {
        std::map<std::string, std::shared_ptr<Inode>> names = durableNames_;
        for (const auto& change : pendingNameChanges_) {
            if (random.below(2))
                change.apply(names);
        }
        durableNames_ = names;
        names_ = names;
        pendingNameChanges_.clear();
        for (auto& [name, inode] : names_) {
            inode->dropUnsyncedChanges(random);
        }
        crashStep_ = UINT64_MAX;
        steps_ = 0;
        failingSync_ = UINT64_MAX;
    }

    // The visible content of all files by name. Tests use it to damage or compare files.
    std::map<std::string, std::string> contents() const
    {
        std::map<std::string, std::string> result;
        for (const auto& [name, inode] : names_)
            result[name] = inode->visible;
        return result;
    }
    void setContents(const std::map<std::string, std::string>& contents)
    {
        names_.clear();
        for (const auto& [name, bytes] : contents) {
            names_[name] = std::make_shared<Inode>();
            names_[name]->visible = names_[name]->durable = bytes;
        }
        durableNames_ = names_;
        pendingNameChanges_.clear();
    }

private:
    struct Inode {
        // Bytes written at an offset, or a truncation to that offset if `isTruncation`.
        struct Change {
            std::uint64_t offset;
            std::string bytes;
            bool isTruncation;
        };

        void apply(const Change& change)
        {
            if (change.isTruncation) {
                durable.resize(std::min<std::size_t>(durable.size(), change.offset));
                return;
            }
            durable.resize(std::max<std::size_t>(durable.size(), change.offset + change.bytes.size()));
            durable.replace(change.offset, change.bytes.size(), change.bytes);
        }

        void dropUnsyncedChanges(base::Random& random)
        {
            // Each restart persists all, none or about half of the unsynced sectors of a file.
            std::uint64_t mode = random.below(4);
            std::vector<Change> persisted;
            for (const auto& change : pending) {
                for (std::size_t at = 0; at < change.bytes.size(); at += sectorBytes) {
                    if (mode == 0 || (mode >= 2 && random.below(2)))
                        persisted.push_back(Change { change.offset + at, change.bytes.substr(at, sectorBytes), false });
                }
                if (change.isTruncation && (mode == 0 || (mode >= 2 && random.below(2))))
                    persisted.push_back(change);
            }
            for (const auto& change : persisted)
                apply(change);
            pending.clear();
            visible = durable;
        }

        std::string visible;
        std::string durable;
        std::vector<Change> pending;
    };

    // The creation, removal (no inode) or renaming of a file.
    struct NameChange {
        std::string removed;
        std::string added;
        std::shared_ptr<Inode> inode;

        void apply(std::map<std::string, std::shared_ptr<Inode>>& names) const
        {
            if (!removed.empty())
                names.erase(removed);
            if (!added.empty())
                names[added] = inode;
        }
    };

    class File final : public DiskFile {
    public:
        File(FakeDisk& disk, std::shared_ptr<Inode> inode)
            : disk_(disk)
            , inode_(std::move(inode))
        {
        }

    private:
        base::Result<void> onAppend(std::string_view bytes) override
        {
            bool hasPower = disk_.step();
            if (!hasPower && disk_.steps_ > disk_.crashStep_ + 1)
                return powerLossError();
            std::uint64_t used = 0;
            for (const auto& [name, inode] : disk_.names_)
                used += inode->visible.size();
            std::uint64_t space = disk_.capacity_ > used ? disk_.capacity_ - used : 0;
            std::string_view written = bytes.substr(0, space);
            if (!written.empty()) {
                inode_->pending.push_back({ inode_->visible.size(), std::string(written), false });
                inode_->visible += written;
            }
            if (!hasPower)
                return powerLossError();
            if (written.size() < bytes.size())
                return base::makeError(base::ErrorKind::StorageFull, "no space left");
            return base::outcome::success();
        }
        base::Result<void> onTruncate(std::uint64_t size) override
        {
            if (!disk_.step())
                return powerLossError();
            inode_->visible.resize(size);
            inode_->pending.push_back({ size, {}, true });
            return base::outcome::success();
        }
        base::Result<std::string> onRead(std::uint64_t offset, std::size_t length) const override
        {
            return offset < inode_->visible.size() ? inode_->visible.substr(offset, length) : std::string();
        }
        base::Result<std::uint64_t> onSize() const override { return inode_->visible.size(); }
        base::Result<void> onSync() override
        {
            if (!disk_.step())
                return powerLossError();
            if (++disk_.syncs_ == disk_.failingSync_) {
                inode_->pending.clear();
                return base::makeError(base::ErrorKind::StorageFailed, "input/output error");
            }
            for (const auto& change : inode_->pending)
                inode_->apply(change);
            inode_->pending.clear();
            return base::outcome::success();
        }

        FakeDisk& disk_;
        std::shared_ptr<Inode> inode_;
    };

    static base::Error powerLossError() { return base::makeError(base::ErrorKind::StorageFailed, "power lost"); }

    // Counts one step and returns whether it runs before the power failure.
    bool step() { return ++steps_ <= crashStep_; }

    base::Result<std::vector<std::string>> onList() const override
    {
        std::vector<std::string> result;
        for (const auto& [name, inode] : names_)
            result.push_back(name);
        return result;
    }
    base::Result<std::unique_ptr<DiskFile>> onOpen(const std::string& name) override
    {
        if (hasCrashed())
            return powerLossError();
        auto& inode = names_[name];
        if (!inode) {
            inode = std::make_shared<Inode>();
            pendingNameChanges_.push_back({ {}, name, inode });
        }
        return std::unique_ptr<DiskFile>(new File(*this, inode));
    }
    base::Result<void> onRename(const std::string& from, const std::string& to) override
    {
        if (!step())
            return powerLossError();
        pendingNameChanges_.push_back({ from, to, names_.at(from) });
        pendingNameChanges_.back().apply(names_);
        return base::outcome::success();
    }
    base::Result<void> onRemove(const std::string& name) override
    {
        if (!step())
            return powerLossError();
        pendingNameChanges_.push_back({ name, {}, nullptr });
        pendingNameChanges_.back().apply(names_);
        return base::outcome::success();
    }
    base::Result<void> onSyncDirectory() override
    {
        if (!step())
            return powerLossError();
        if (++syncs_ == failingSync_)
            return base::makeError(base::ErrorKind::StorageFailed, "input/output error");
        durableNames_ = names_;
        pendingNameChanges_.clear();
        return base::outcome::success();
    }

    std::map<std::string, std::shared_ptr<Inode>> names_;
    std::map<std::string, std::shared_ptr<Inode>> durableNames_;
    std::vector<NameChange> pendingNameChanges_;
    std::uint64_t steps_ = 0;
    std::uint64_t crashStep_ = UINT64_MAX;
    std::uint64_t capacity_ = UINT64_MAX;
    std::uint64_t syncs_ = 0;
    std::uint64_t failingSync_ = UINT64_MAX;
};

} // namespace arbutus::storage
