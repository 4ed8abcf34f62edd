#include "include/http/ChunkReader.h"

#include <memory>
#include <string>

namespace arbutus::http {

using concurrency::streams::streambuf;

static constexpr std::size_t maxChunkBytes = std::size_t { 64 } << 10;

namespace {

class ChunkReader : public std::enable_shared_from_this<ChunkReader> {
public:
    ChunkReader(streambuf<std::uint8_t> buffer, std::function<bool(std::string_view)> onBytes, std::function<void(bool)> onEnd)
        : buffer_(buffer)
        , onBytes_(std::move(onBytes))
        , onEnd_(std::move(onEnd))
    {
    }

    // A read of one byte completes as soon as any data has arrived. The rest of the
    // available data can then be read without waiting.
    void start()
    {
        buffer_.getn(&firstByte_, 1).then([self = shared_from_this()](pplx::task<std::size_t> task) { self->handleFirstByte(task); });
    }

private:
    void handleFirstByte(const pplx::task<std::size_t>& task)
    {
        try {
            if (!task.get()) {
                onEnd_(true);
                return;
            }
            chunk_.assign(1, static_cast<char>(firstByte_));
            readAvailableBytes();
            if (!onBytes_(chunk_)) {
                onEnd_(false);
                return;
            }
        } catch (const std::exception&) {
            onEnd_(false);
            return;
        }
        start();
    }

    void readAvailableBytes()
    {
        // Avoids asynchronous reads: they complete on the library's thread pool, and
        // waiting for them on a pool thread can deadlock the process.
        while (chunk_.size() < maxChunkBytes) {
            std::uint8_t* block = nullptr;
            std::size_t count = 0;
            if (!buffer_.acquire(block, count) || !block || !count)
                return;
            chunk_.append(reinterpret_cast<const char*>(block), count);
            buffer_.release(block, count);
        }
    }

    streambuf<std::uint8_t> buffer_;
    std::function<bool(std::string_view)> onBytes_;
    std::function<void(bool)> onEnd_;
    std::uint8_t firstByte_ = 0;
    std::string chunk_;
};

} // namespace

void readChunks(streambuf<std::uint8_t> buffer, std::function<bool(std::string_view)> onBytes, std::function<void(bool)> onEnd)
{
    std::make_shared<ChunkReader>(buffer, std::move(onBytes), std::move(onEnd))->start();
}

} // namespace arbutus::http
