#pragma once

#include <cpprest/producerconsumerstream.h>
#include <cpprest/streams.h>

#include <memory>
#include <mutex>
#include <string_view>

namespace arbutus::http {

// The write end of a chunked HTTP body. Data written while the connection is busy is
// sent together in the next chunk. Thread-safe.
class BodyWriter {
public:
    BodyWriter();

    concurrency::streams::istream stream() const { return buffer_.create_istream(); }

    // Returns false, writing nothing, if the body is closed or more than
    // `maxPendingBytes` bytes would be pending.
    bool write(std::string_view bytes, std::size_t maxPendingBytes);

    void close();

    std::size_t pendingBytes() const { return buffer_.in_avail(); }

private:
    mutable concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer_;
    std::mutex mutex_;
    bool isClosed_ = false;
};

} // namespace arbutus::http
