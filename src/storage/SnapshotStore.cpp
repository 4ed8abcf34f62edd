#include "include/storage/SnapshotStore.h"

#include "include/base/Logger.h"
#include "src/storage/Encoding.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace arbutus::storage {

using base::Result;

static constexpr base::Logger logger("storage");
static constexpr std::string_view namePrefix = "snapshot-";
static constexpr std::uint64_t magic = 0x3130504e53425241; // "ARBSNP01"
static constexpr std::size_t fixedFieldBytes = 16;
static constexpr std::size_t retainedSnapshotCount = 2;

static std::string snapshotName(std::uint64_t index, std::uint64_t term) { return fmt::format("{}{:020}-{:020}", namePrefix, index, term); }

// Reads `index` and `term` from `name`. Returns false if snapshotName() does not produce
// that name.
static bool parseName(const std::string& name, std::uint64_t& index, std::uint64_t& term)
{
    static constexpr std::size_t digits = 20;
    if (name.size() != namePrefix.size() + 2 * digits + 1 || name.rfind(namePrefix, 0))
        return false;
    const char* first = name.data() + namePrefix.size();
    std::from_chars(first, first + digits, index);
    std::from_chars(first + digits + 1, first + 2 * digits + 1, term);
    return name == snapshotName(index, term);
}

Result<SnapshotStore> SnapshotStore::Make(Disk& disk)
{
    SnapshotStore store(disk);
    BOOST_OUTCOME_TRY(names, disk.list());
    for (const auto& name : names) {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        if (parseName(name, index, term))
            store.entries_.push_back(Entry { index, term, name, false });
    }
    return store;
}

static Result<Snapshot> readSnapshot(Disk& disk, const std::string& name, std::uint64_t index, std::uint64_t term)
{
    BOOST_OUTCOME_TRY(file, readWholeFile(disk, name));
    std::string_view content;
    if (!decodeChecksummed(magic, file, content) || content.size() < fixedFieldBytes || getInteger<std::uint64_t>(content, 0) != index || getInteger<std::uint64_t>(content, 8) != term)
        return corruptError(name, 0, "the snapshot does not match its checksum");
    return Snapshot { index, term, std::string(content.substr(fixedFieldBytes)) };
}

Result<LoadedSnapshot> SnapshotStore::loadNewestUndamaged()
{
    LoadedSnapshot loaded;
    for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
        auto read = readSnapshot(*disk_, entry->name, entry->index, entry->term);
        if (read) {
            loaded.snapshot = std::move(read).value();
            return loaded;
        }
        if (read.error().kind != base::ErrorKind::StorageCorrupt)
            return std::move(read).error();
        logger.error("A snapshot is damaged.", { { "file", entry->name } });
        entry->isDamaged = true;
        if (!loaded.damagedIndex) {
            loaded.damagedIndex = entry->index;
            loaded.damagedName = entry->name;
        }
    }
    return loaded;
}

Result<void> SnapshotStore::save(const Snapshot& snapshot)
{
    assert(snapshot.index && snapshot.index >= newestIndex());
    std::string content;
    content.reserve(fixedFieldBytes + snapshot.bytes.size());
    putInteger(content, snapshot.index);
    putInteger(content, snapshot.term);
    content += snapshot.bytes;
    std::string name = snapshotName(snapshot.index, snapshot.term);
    BOOST_OUTCOME_TRY(writeAtomically(*disk_, name, encodeChecksummed(magic, content)));

    entries_.erase(std::remove_if(entries_.begin(), entries_.end(), [&](const Entry& entry) { return entry.name == name; }), entries_.end());
    entries_.push_back(Entry { snapshot.index, snapshot.term, name, false });
    // Removes every damaged snapshot, so that the retained ones are all usable as a
    // fallback.
    std::size_t undamagedCount = 0;
    for (std::size_t i = entries_.size(); i-- > 0;) {
        if (!entries_[i].isDamaged && ++undamagedCount <= retainedSnapshotCount)
            continue;
        if (auto removed = disk_->remove(entries_[i].name); !removed) {
            logger.warning("An old snapshot could not be removed.", { { "file", entries_[i].name }, { "reason", removed.error().detail } });
            continue;
        }
        entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    return base::outcome::success();
}

std::uint64_t SnapshotStore::newestIndex() const
{
    for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
        if (!entry->isDamaged)
            return entry->index;
    }
    return 0;
}

std::uint64_t SnapshotStore::safeTruncationIndex() const
{
    std::size_t undamagedCount = 0;
    for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
        if (!entry->isDamaged && ++undamagedCount == retainedSnapshotCount)
            return entry->index;
    }
    return 0;
}

} // namespace arbutus::storage
