#include "include/storage/DiskIdentity.h"

#include "src/storage/Encoding.h"

#include <algorithm>

namespace arbutus::storage {

using base::Result;

static constexpr const char* fileName = "disk-identity";
static constexpr std::uint64_t magic = 0x3130444944425241; // "ARBDID01"

static bool isReplicaDataFile(const std::string& name)
{
    return !isTemporaryName(name) && (!name.rfind("log-", 0) || !name.rfind("snapshot-", 0));
}

Result<DiskIdentity> DiskIdentity::Make(Disk& disk, std::uint64_t newNumber)
{
    BOOST_OUTCOME_TRY(names, disk.list());
    if (std::binary_search(names.begin(), names.end(), fileName)) {
        BOOST_OUTCOME_TRY(file, readWholeFile(disk, fileName));
        std::string_view content;
        if (!decodeChecksummed(magic, file, content) || content.size() != sizeof(std::uint64_t))
            return corruptError(fileName, 0, "the disk number does not match its checksum");
        return DiskIdentity(getInteger<std::uint64_t>(content, 0), false);
    }
    if (std::any_of(names.begin(), names.end(), isReplicaDataFile))
        return corruptError(fileName, 0, "the file is missing, but the folder contains a log or snapshots");
    std::string content;
    putInteger(content, newNumber);
    BOOST_OUTCOME_TRY(writeAtomically(disk, fileName, encodeChecksummed(magic, content)));
    return DiskIdentity(newNumber, true);
}

} // namespace arbutus::storage
