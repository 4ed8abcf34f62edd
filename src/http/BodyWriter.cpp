#include "include/http/BodyWriter.h"

#include <cstring>

namespace arbutus::http {

BodyWriter::BodyWriter() = default;

bool BodyWriter::write(std::string_view bytes, std::size_t maxPendingBytes)
{
    std::lock_guard lock(mutex_);
    if (isClosed_ || !buffer_.can_write() || buffer_.in_avail() + bytes.size() > maxPendingBytes)
        return false;
    // Avoids the library's asynchronous calls, which complete on its thread pool.
    // Waiting for them here deadlocked the process when every pool thread was waiting
    // for a lock held by the caller.
    auto* block = buffer_.alloc(bytes.size());
    std::memcpy(block, bytes.data(), bytes.size());
    buffer_.commit(bytes.size());
    // Makes the bytes visible to the reader before this function returns.
    buffer_.sync();
    return true;
}

void BodyWriter::close()
{
    std::lock_guard lock(mutex_);
    if (isClosed_)
        return;
    isClosed_ = true;
    buffer_.close(std::ios_base::out);
}

} // namespace arbutus::http
