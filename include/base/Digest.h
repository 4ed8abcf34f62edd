#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus::base {

// Returns the SHA-256 of `data` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

// Returns the 32 raw bytes of HMAC-SHA-256 over `data`.
std::string hmacSha256(std::string_view key, std::string_view data);

// Compares in a time that does not depend on the contents.
bool isEqualConstantTime(std::string_view left, std::string_view right);

// Returns the 64-bit xxHash of `data`; not for use against an adversary.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

std::string toHex(std::string_view bytes);

} // namespace arbutus::base
