#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::routing {

// Identifies what an upstream may have crashed under: a shared part of a prompt, either in
// any position or in one, or a request as a whole.
using PromptPart = std::uint64_t;
using PromptParts = std::vector<PromptPart>;

// Identifies the shared parts of a prompt, each in any position and in its own, so that a
// part which is harmless elsewhere can be suspected in one position.
PromptParts identifyParts(const std::vector<std::string>& sharedParts);
// What a caller repeats when it sends a request again, and what tells it from other requests.
struct RequestContent {
    std::string_view method;
    std::string_view host;
    // With the query.
    std::string_view target;
    // Empty if the route is public.
    std::string_view team;
    std::string_view body;
};
PromptPart identifyRequest(const RequestContent&);

bool isWholeRequest(PromptPart);
// Whether both are the same part of a prompt, in whatever position.
bool haveSameText(PromptPart, PromptPart);
// Returns the whole request among these, or 0.
PromptPart requestAmong(const PromptParts&);

} // namespace arbutus::routing
