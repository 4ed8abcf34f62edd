#include "include/state/PackedDocument.h"

#include "include/base/Compression.h"

namespace arbutus::state {

static constexpr std::size_t maxDocumentBytes = std::size_t { 16 } << 20;

std::string packDocument(std::string_view text) { return base::compressDelta({}, text); }

base::Result<std::shared_ptr<const std::string>> unpackDocument(const std::shared_ptr<const std::string>& stored)
{
    if (!base::isCompressed(*stored))
        return stored;
    BOOST_OUTCOME_TRY(text, base::decompressDelta({}, *stored, maxDocumentBytes));
    return std::make_shared<const std::string>(std::move(text));
}

} // namespace arbutus::state
