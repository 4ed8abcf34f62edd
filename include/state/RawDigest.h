#pragma once

#include <array>
#include <string>
#include <string_view>

namespace arbutus::state {

// The 32 bytes of a SHA-256, at half the size of its text.
using RawDigest = std::array<char, 32>;

RawDigest sha256Raw(std::string_view data);

// `hex` must be 64 hexadecimal digits in lower case.
RawDigest digestFromHex(std::string_view hex);

std::string toHex(const RawDigest&);

} // namespace arbutus::state
