#include "include/fleet/RoutesPublisher.h"

#include "include/base/Compression.h"

#include <algorithm>
#include <cassert>

namespace arbutus::fleet {

// An entry VM that holds an older version receives the whole configuration.
static constexpr std::size_t maxOlderDocuments = 16;
// Bytes may run ahead of the rate by this time, so that one tick can serve many polls.
static constexpr std::chrono::milliseconds maxBurst(100);

void RoutesPublisher::setRoutes(std::uint64_t version, Document document)
{
    if (version == version_)
        return;
    if (version_)
        olderDocuments_[version_] = std::move(document_);
    if (olderDocuments_.size() > maxOlderDocuments)
        olderDocuments_.erase(olderDocuments_.begin());
    version_ = version;
    document_ = std::move(document);
    packed_.clear();
}

bool RoutesPublisher::maySend(base::TimePoint now) const { return sentBy_ <= now + maxBurst; }

PackedRoutes RoutesPublisher::pack(std::uint64_t heldVersion, base::TimePoint now)
{
    assert(version_);
    auto older = olderDocuments_.find(heldVersion);
    auto base = older == olderDocuments_.end() ? 0 : heldVersion;
    auto& packed = packed_[base];
    if (!packed)
        packed = std::make_shared<const std::string>(base::compressDelta(base ? *older->second : std::string(), *document_));
    auto sendingTime = std::chrono::duration<double>(static_cast<double>(packed->size()) / bytesPerSecond_);
    sentBy_ = std::max(sentBy_, now) + std::chrono::duration_cast<std::chrono::nanoseconds>(sendingTime);
    return { base, packed };
}

} // namespace arbutus::fleet
