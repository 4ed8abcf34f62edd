#include "include/http/BodyWriter.h"

namespace arbutus::http {

BodyWriter::BodyWriter() = default;

bool BodyWriter::write(std::string_view bytes, std::size_t maximumPending)
{
    std::lock_guard lock(mutex_);
    if (isClosed_ || !buffer_.can_write() || buffer_.in_avail() + bytes.size() > maximumPending)
        return false;
    // The buffer copies the bytes, so both tasks are complete when they return.
    buffer_.putn_nocopy(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size()).wait();
    buffer_.sync().wait();
    return true;
}

void BodyWriter::close()
{
    std::lock_guard lock(mutex_);
    if (isClosed_)
        return;
    isClosed_ = true;
    buffer_.close(std::ios_base::out).wait();
}

} // namespace arbutus::http
