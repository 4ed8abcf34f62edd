#pragma once

#include "include/base/Error.h"

#include <msgpack.hpp>

#include <exception>
#include <string>
#include <string_view>

namespace arbutus::membership {

constexpr std::size_t maxMessageBytes = 4 << 20;

template <typename T>
std::string encodeMessage(const T& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.size() };
}

// Decodes exactly one value from `bytes`. Fails with MalformedFrame on any other input,
// including trailing bytes and declared lengths larger than `bytes`.
template <typename T>
base::Result<T> decodeMessage(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() > maxMessageBytes)
        return base::makeError(base::ErrorKind::MalformedFrame, "membership message has an invalid size");
    try {
        // msgpack allocates memory for a declared length before it reads the content, so
        // lengths are limited to the size of the message.
        const msgpack::unpack_limit limit(bytes.size(), 0, bytes.size(), bytes.size(), 0, 16);
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size())
            return base::makeError(base::ErrorKind::MalformedFrame, "membership message has trailing bytes");
        T message;
        handle.get().convert(message);
        return message;
    } catch (const std::exception& exception) {
        return base::makeError(base::ErrorKind::MalformedFrame, std::string("membership message cannot be decoded: ") + exception.what());
    }
}

} // namespace arbutus::membership
