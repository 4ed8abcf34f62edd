#include "include/state/VersionedDocument.h"

#include "src/state/Snapshot.h"

namespace arbutus::state {

VersionReply VersionedDocument::replaceIfNewer(std::uint64_t version, const std::string& document)
{
    if (version <= version_)
        return { version_, version == version_ && document == *document_ };
    version_ = version;
    document_ = std::make_shared<const std::string>(document);
    return { version_, true };
}

void VersionedDocument::save(SnapshotWriter& writer) const
{
    writer.write(version_);
    writer.write(*document_);
}

void VersionedDocument::load(SnapshotReader& reader)
{
    version_ = reader.read<std::uint64_t>();
    document_ = std::make_shared<const std::string>(reader.read<std::string>());
}

} // namespace arbutus::state
