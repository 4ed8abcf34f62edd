#pragma once

#include "include/base/Error.h"

#include <memory>
#include <string>
#include <string_view>

namespace arbutus::state {

// Compresses a document for the replicated log, whose entries go to every replica over
// the links that carry heartbeats.
std::string packDocument(std::string_view text);

// Returns the text of a stored document. A document that was stored before documents
// were packed is returned unchanged. Fails with MalformedFrame if it is damaged.
base::Result<std::shared_ptr<const std::string>> unpackDocument(const std::shared_ptr<const std::string>& stored);

} // namespace arbutus::state
