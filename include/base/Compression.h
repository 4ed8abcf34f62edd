#pragma once

#include "include/base/Error.h"

#include <string>
#include <string_view>

namespace arbutus::base {

// Compresses bytes relative to a reference that the receiver has too; parts that both
// have in common cost almost nothing. The reference may be empty. The result contains a
// checksum.
std::string compressDelta(std::string_view reference, std::string_view bytes);

// Reverses compressDelta(). Fails with MalformedFrame if the input is damaged, was
// compressed with another reference or expands to more than `maxBytes`. Safe on
// untrusted input.
Result<std::string> decompressDelta(std::string_view reference, std::string_view compressed, std::size_t maxBytes);

// Whether the bytes begin like a result of compressDelta(), which no text does.
bool isCompressed(std::string_view bytes);

} // namespace arbutus::base
