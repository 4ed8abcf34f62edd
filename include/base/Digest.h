#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus::base {

// Returns the SHA-256 digest of `data` as 64 lowercase hexadecimal digits.
std::string sha256Hex(std::string_view data);

// Returns the HMAC-SHA-256 of `data` as 32 raw bytes.
std::string hmacSha256(std::string_view key, std::string_view data);

// Compares in constant time with respect to the contents. Different lengths return early.
bool isEqualConstantTime(std::string_view left, std::string_view right);

// Returns the 64-bit xxHash of `data`. Not collision-resistant against adversarial input.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

// Returns `bytes` as lowercase hexadecimal digits.
std::string toHex(std::string_view bytes);

} // namespace arbutus::base
