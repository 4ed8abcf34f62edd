#pragma once

#include "include/state/Outcome.h"

#include <memory>
#include <string>

namespace arbutus::state {

class SnapshotReader;
class SnapshotWriter;

// A document of which the highest version is in force.
class VersionedDocument {
public:
    // Takes the document if its version is higher than the one in force.
    VersionReply replaceIfNewer(std::uint64_t version, const std::string& document);

    // Zero before the first.
    std::uint64_t version() const { return version_; }
    // Never null; shared so that a reader keeps what it has read.
    const std::shared_ptr<const std::string>& document() const { return document_; }

    void save(SnapshotWriter&) const;
    void load(SnapshotReader&);

private:
    std::uint64_t version_ = 0;
    std::shared_ptr<const std::string> document_ = std::make_shared<const std::string>();
};

} // namespace arbutus::state
