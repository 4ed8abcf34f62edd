#include "include/routing/PromptPart.h"

#include "include/base/Digest.h"

#include <algorithm>

namespace arbutus::routing {

// The lowest bit tells whole requests from parts, the next four hold the position of a
// part, beginning at 1, or 0 for any position. The others are a digest.
static constexpr PromptPart wholeRequestBit = 1;
static constexpr int positionShift = 1;
static constexpr std::size_t maxPosition = 15;
static constexpr int textShift = 5;

PromptParts identifyParts(const std::vector<std::string>& sharedParts)
{
    PromptParts parts;
    // With room for the whole request.
    parts.reserve(2 * sharedParts.size() + 1);
    for (std::size_t i = 0; i < sharedParts.size(); ++i) {
        PromptPart anywhere = base::hash64(sharedParts[i]) >> textShift << textShift;
        parts.push_back(anywhere);
        parts.push_back(anywhere | std::min(i + 1, maxPosition) << positionShift);
    }
    return parts;
}

PromptPart identifyRequest(const RequestContent& content)
{
    auto hash = base::hash64(content.method);
    for (auto text : { content.host, content.target, content.team, content.body })
        hash = base::hash64(text, hash);
    return hash | wholeRequestBit;
}

bool isWholeRequest(PromptPart part) { return part & wholeRequestBit; }

bool haveSameText(PromptPart left, PromptPart right) { return left >> textShift == right >> textShift; }

PromptPart requestAmong(const PromptParts& parts)
{
    auto found = std::find_if(parts.begin(), parts.end(), isWholeRequest);
    return found == parts.end() ? 0 : *found;
}

} // namespace arbutus::routing
