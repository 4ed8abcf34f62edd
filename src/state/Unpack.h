#pragma once

#include "include/base/Error.h"
#include "include/state/WallTimeMsgpack.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace arbutus::state {

// msgpack reserves 24 bytes for each stated element of an open array before it
// reads the elements. These bounds keep foreign bytes below 25 MB.
constexpr std::size_t maxUnpackDepth = 8;
constexpr std::size_t maxUnpackElements = std::size_t { 1 } << 17;

inline msgpack::unpack_limit unpackLimit(std::size_t bytes)
{
    std::size_t elements = std::min(bytes, maxUnpackElements);
    return { elements, elements, bytes, bytes, bytes, maxUnpackDepth };
}

template <typename T>
std::string packToString(const T& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return { buffer.data(), buffer.size() };
}

// Decodes a value whose type has one byte form. Fails with MalformedFrame for
// anything else, including trailing bytes.
template <typename T>
base::Result<T> unpackCanonical(std::string_view bytes, std::string_view what)
{
    try {
        std::size_t offset = 0;
        auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, unpackLimit(bytes.size()));
        if (offset == bytes.size()) {
            T value = handle->template as<T>();
            // msgpack accepts missing elements and longer forms of a number.
            if (packToString(value) == bytes)
                return value;
        }
    } catch (const std::exception&) {
        // Reported below.
    }
    return base::makeError(base::ErrorKind::MalformedFrame, std::string(what) + " cannot be decoded");
}

} // namespace arbutus::state
