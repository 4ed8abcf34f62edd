#include "include/storage/HardStateStore.h"

#include "src/storage/Encoding.h"

#include <algorithm>

namespace arbutus::storage {

using base::Result;

static constexpr const char* fileName = "hard-state";
static constexpr std::uint64_t magic = 0x3130545348425241; // "ARBHST01"
static constexpr std::size_t fixedFieldBytes = 16;

Result<HardStateStore> HardStateStore::Make(Disk& disk)
{
    HardStateStore store(disk);
    BOOST_OUTCOME_TRY(names, disk.list());
    if (!std::binary_search(names.begin(), names.end(), fileName))
        return store;
    BOOST_OUTCOME_TRY(file, readWholeFile(disk, fileName));
    std::string_view content;
    if (!decodeChecksummed(magic, file, content) || content.size() < fixedFieldBytes)
        return corruptError(fileName, 0, "the hard state does not match its checksum");
    store.state_ = HardState { getInteger<std::uint64_t>(content, 0), std::string(content.substr(fixedFieldBytes)), getInteger<std::uint64_t>(content, 8) };
    store.hasSavedState_ = true;
    return store;
}

Result<void> HardStateStore::save(HardState state)
{
    std::string content;
    putInteger(content, state.term);
    putInteger(content, state.commit);
    content += state.vote;
    BOOST_OUTCOME_TRY(writeAtomically(*disk_, fileName, encodeChecksummed(magic, content)));
    state_ = std::move(state);
    hasSavedState_ = true;
    return base::outcome::success();
}

} // namespace arbutus::storage
