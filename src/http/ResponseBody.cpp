#include "src/http/ResponseBody.h"

#include <algorithm>

namespace arbutus::http {

static constexpr std::size_t maxPartBytes = std::size_t { 64 } << 10;

// Avoids asynchronous reads: they complete on the library's thread pool, and waiting for
// them on a pool thread can deadlock the process.
void ResponseBody::readAvailable(std::string& part)
{
    for (std::size_t limit = part.size() + maxPartBytes; part.size() < limit;) {
        std::uint8_t* block = nullptr;
        std::size_t available = 0;
        if (!buffer_.acquire(block, available) || !block || !available)
            return;
        auto count = std::min(available, limit - part.size());
        part.append(reinterpret_cast<const char*>(block), count);
        buffer_.release(block, count);
    }
}

// A read of one byte completes as soon as any data has arrived. The rest of the available
// data can then be read without waiting.
void ResponseBody::readNext(PartHandler handler)
{
    buffer_.getn(&firstByte_, 1).then([self = shared_from_this(), handler = std::move(handler)](pplx::task<std::size_t> task) {
        try {
            std::string part;
            if (task.get()) {
                part.assign(1, static_cast<char>(self->firstByte_));
                self->readAvailable(part);
            }
            handler(std::move(part));
        } catch (const std::exception&) {
            handler(std::nullopt);
        }
    });
}

} // namespace arbutus::http
