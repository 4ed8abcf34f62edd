#pragma once

#include "include/base/Digest.h"
#include "src/state/Unpack.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus::state {

// Serializes a sequence of values, followed by a checksum.
class SnapshotWriter {
public:
    template <typename T>
    void write(const T& value) { msgpack::pack(buffer_, value); }

    // Writes the number of values and then each value.
    template <typename Container>
    void writeAll(const Container& values)
    {
        write(static_cast<std::uint64_t>(values.size()));
        for (const auto& value : values)
            write(value);
    }

    // Appends one value that is already serialized.
    void writeRaw(std::string_view bytes) { buffer_.write(bytes.data(), bytes.size()); }

    // Returns the serialized values with the checksum.
    std::string finish() const
    {
        std::string bytes(buffer_.data(), buffer_.size());
        return bytes + base::sha256Hex(bytes);
    }

private:
    msgpack::sbuffer buffer_;
};

// Reads the output of SnapshotWriter. Throws an exception derived from std::exception
// on any other input; StateMachine::MakeFromSnapshot() converts it to an error.
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

    // Reads a number of values and calls `consume` to read each of them.
    template <typename Consumer>
    void readAll(Consumer consume)
    {
        for (auto count = read<std::uint64_t>(); count; --count)
            consume();
    }

    // Returns the next value in serialized form.
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
