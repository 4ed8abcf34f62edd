#pragma once

#include "include/base/Error.h"

#include <string>
#include <string_view>

namespace arbutus::base {

std::string toBase64(std::string_view bytes);

// Decodes padded base64. Fails with InvalidRequest if `text` is malformed.
Result<std::string> fromBase64(std::string_view text);

} // namespace arbutus::base
