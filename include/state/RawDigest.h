#pragma once

#include <array>
#include <string>
#include <string_view>

namespace arbutus::state {

// A SHA-256 digest as 32 raw bytes, half the size of its hexadecimal form.
using RawDigest = std::array<char, 32>;

RawDigest sha256Raw(std::string_view data);

// `hex` must be 64 lowercase hexadecimal digits.
RawDigest digestFromHex(std::string_view hex);

std::string toHex(const RawDigest&);

} // namespace arbutus::state
