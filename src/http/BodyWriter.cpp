#include "include/http/BodyWriter.h"

#include <cstring>

namespace arbutus::http {

BodyWriter::BodyWriter() = default;

bool BodyWriter::write(std::string_view bytes, std::size_t maxPendingBytes)
{
    std::lock_guard lock(mutex_);
    if (isClosed_ || !buffer_.can_write() || buffer_.in_avail() + bytes.size() > maxPendingBytes)
        return false;
    // The library checks the results of its asynchronous calls on its thread pool.
    // Waiting for them here stopped the whole process when every thread of the
    // pool waited for a lock that the waiting thread held.
    auto* block = buffer_.alloc(bytes.size());
    std::memcpy(block, bytes.data(), bytes.size());
    buffer_.commit(bytes.size());
    // Makes the bytes visible to the reader before it returns.
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
