#pragma once

#include "include/base/Error.h"
#include "include/state/WallTimeMsgpack.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace arbutus::state {

// For each open array, msgpack allocates 24 bytes per declared element before it
// reads the elements. These limits keep the memory for untrusted input below 25 MB.
constexpr std::size_t maxUnpackDepth = 8;
constexpr std::size_t maxUnpackElements = std::size_t { 1 } << 17;

inline msgpack::unpack_limit unpackLimit(std::size_t bytes)
{
    std::size_t elements = std::min(bytes, maxUnpackElements);
    return { elements, elements, bytes, bytes, bytes, maxUnpackDepth };
}

// Returns the canonical encoding of `value`.
template <typename T>
std::string packToString(const T& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return { buffer.data(), buffer.size() };
}

// Decodes a value from its canonical encoding. Fails with MalformedFrame for any
// other input, including trailing bytes. `what` names the value in the error.
template <typename T>
base::Result<T> unpackCanonical(std::string_view bytes, std::string_view what)
{
    try {
        std::size_t offset = 0;
        auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, unpackLimit(bytes.size()));
        if (offset == bytes.size()) {
            T value = handle->template as<T>();
            // msgpack also accepts missing elements and longer encodings of a number.
            if (packToString(value) == bytes)
                return value;
        }
    } catch (const std::exception&) {
        // Reported below.
    }
    return base::makeError(base::ErrorKind::MalformedFrame, std::string(what) + " cannot be decoded");
}

} // namespace arbutus::state
