#pragma once

#include "include/state/Outcome.h"

#include <memory>
#include <string>

namespace arbutus::state {

class SnapshotReader;
class SnapshotWriter;

// Holds the highest version of a document.
class VersionedDocument {
public:
    // Replaces the document if `version` is higher than the current one. `isAdopted`
    // in the reply is also true if version and content equal the current ones.
    VersionReply replaceIfNewer(std::uint64_t version, const std::string& document);

    // Zero before the first document.
    std::uint64_t version() const { return version_; }
    // Never null. Shared so that readers can keep a version after it is replaced.
    const std::shared_ptr<const std::string>& document() const { return document_; }

    void save(SnapshotWriter&) const;
    void load(SnapshotReader&);

private:
    std::uint64_t version_ = 0;
    std::shared_ptr<const std::string> document_ = std::make_shared<const std::string>();
};

} // namespace arbutus::state
