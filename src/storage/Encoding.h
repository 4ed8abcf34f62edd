#pragma once

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus::storage {

// Appends `value` as a fixed-width little-endian integer.
template <typename Integer>
void putInteger(std::string& bytes, Integer value)
{
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        bytes.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
}

// Returns the integer at `offset`, which must lie completely inside `bytes`.
template <typename Integer>
Integer getInteger(std::string_view bytes, std::size_t offset)
{
    assert(offset + sizeof(Integer) <= bytes.size());
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    return static_cast<Integer>(value);
}

// Returns the bytes of a checksummed file: magic number, checksum of the content, content.
std::string encodeChecksummed(std::uint64_t magic, std::string_view content);
// Returns whether `file` starts with `magic` and matches its checksum. If so, `content`
// refers to the content inside `file`.
bool decodeChecksummed(std::uint64_t magic, std::string_view file, std::string_view& content);

} // namespace arbutus::storage
