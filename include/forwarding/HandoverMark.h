#pragma once

#include "include/base/Error.h"
#include "include/http1/Message.h"

#include <string>
#include <string_view>

namespace arbutus::forwarding {

// Marks a request that one entry VM hands over to another, which sends it to an upstream. The
// mark proves that the sender knows the key of the deployment. It grants a request nothing
// that its caller's own key does not.
struct HandoverMark {
    static constexpr std::string_view fieldName = "Arbutus-Handover";
    // The value of the field in the answer of an entry VM that takes no requests of others.
    // The request has not been sent anywhere.
    static constexpr std::string_view declined = "declined";

    // How often the request may have run before.
    int runs = 0;
};

// Returns the value of the field for a request with this method, target and id.
std::string encodeHandoverMark(const HandoverMark&, std::string_view key, const http1::RequestHead&, std::string_view requestId);

// Fails with Unauthorized if the request has no mark or one made with another key.
base::Result<HandoverMark> decodeHandoverMark(std::string_view key, const http1::RequestHead&, std::string_view requestId);

} // namespace arbutus::forwarding
