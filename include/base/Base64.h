#pragma once

#include "include/base/Error.h"

#include <string>
#include <string_view>

namespace arbutus::base {

std::string toBase64(std::string_view bytes);

// Fails with InvalidRequest for text that is not padded base64.
Result<std::string> fromBase64(std::string_view text);

} // namespace arbutus::base
