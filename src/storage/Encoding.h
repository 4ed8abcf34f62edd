#pragma once

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus::storage {

// Little-endian integers of fixed width, the same on every platform.
template <typename Integer>
void putInteger(std::string& bytes, Integer value)
{
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        bytes.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
}

// `offset` and the integer must lie inside `bytes`.
template <typename Integer>
Integer getInteger(std::string_view bytes, std::size_t offset)
{
    assert(offset + sizeof(Integer) <= bytes.size());
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    return static_cast<Integer>(value);
}

// A checked file: magic number, checksum of the rest, the rest.
std::string encodeChecksummed(std::uint64_t magic, std::string_view content);
// Returns whether `file` is the result of sealContent() for `magic`; if so,
// `content` becomes the part inside `file`.
bool decodeChecksummed(std::uint64_t magic, std::string_view file, std::string_view& content);

} // namespace arbutus::storage
