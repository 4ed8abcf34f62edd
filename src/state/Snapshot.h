#pragma once

#include "include/base/Digest.h"
#include "src/state/Unpack.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus::state {

// Writes values one after the other, followed by a checksum.
class SnapshotWriter {
public:
    template <typename T>
    void write(const T& value) { msgpack::pack(buffer_, value); }

    template <typename Container>
    void writeAll(const Container& values)
    {
        write(static_cast<std::uint64_t>(values.size()));
        for (const auto& value : values)
            write(value);
    }

    // Appends bytes that already have the form of one value.
    void writeRaw(std::string_view bytes) { buffer_.write(bytes.data(), bytes.size()); }

    std::string finish() const
    {
        std::string bytes(buffer_.data(), buffer_.size());
        return bytes + base::sha256Hex(bytes);
    }

private:
    msgpack::sbuffer buffer_;
};

// Reads what SnapshotWriter wrote. Throws an exception derived from
// std::exception for anything else; decodeSnapshot() turns it into an error.
class SnapshotReader {
public:
    explicit SnapshotReader(std::string_view bytes)
        : bytes_(bytes)
    {
        if (bytes.size() < checksumBytes || base::sha256Hex(bytes.substr(0, bytes.size() - checksumBytes)) != bytes.substr(bytes.size() - checksumBytes))
            throw msgpack::type_error();
        bytes_.remove_suffix(checksumBytes);
    }

    template <typename T>
    T read()
    {
        auto handle = next();
        return handle->template as<T>();
    }

    template <typename Consumer>
    void readAll(Consumer consume)
    {
        for (auto count = read<std::uint64_t>(); count; --count)
            consume();
    }

    // Returns the bytes of the next value.
    std::string_view readRaw()
    {
        std::size_t start = offset_;
        next();
        return bytes_.substr(start, offset_ - start);
    }

    bool isAtEnd() const { return offset_ == bytes_.size(); }

private:
    static constexpr std::size_t checksumBytes = 64;

    msgpack::object_handle next() { return msgpack::unpack(bytes_.data(), bytes_.size(), offset_, nullptr, nullptr, unpackLimit(bytes_.size())); }

    std::string_view bytes_;
    std::size_t offset_ = 0;
};

} // namespace arbutus::state
