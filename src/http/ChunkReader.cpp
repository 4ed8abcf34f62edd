#include "include/http/ChunkReader.h"

#include <memory>
#include <string>

namespace arbutus::http {

using concurrency::streams::streambuf;

static constexpr std::size_t pieceBytes = std::size_t { 64 } << 10;

namespace {

    class ChunkReader : public std::enable_shared_from_this<ChunkReader> {
    public:
        ChunkReader(streambuf<std::uint8_t> buffer, std::function<bool(std::string_view)> onBytes, std::function<void(bool)> onEnd)
            : buffer_(buffer)
            , onBytes_(std::move(onBytes))
            , onEnd_(std::move(onEnd))
        {
        }

        // A read of one byte completes as soon as anything has arrived; the rest of
        // what is there can then be taken without waiting.
        void start()
        {
            buffer_.getn(&firstByte_, 1).then([self = shared_from_this()](pplx::task<std::size_t> task) { self->takeFirst(task); });
        }

    private:
        void takeFirst(const pplx::task<std::size_t>& task)
        {
            try {
                if (!task.get()) {
                    onEnd_(true);
                    return;
                }
                piece_.assign(1, static_cast<char>(firstByte_));
                takeRest();
                if (!onBytes_(piece_)) {
                    onEnd_(false);
                    return;
                }
            } catch (const std::exception&) {
                onEnd_(false);
                return;
            }
            start();
        }

        void takeRest()
        {
            std::size_t available = std::min(buffer_.in_avail(), pieceBytes);
            if (!available)
                return;
            piece_.resize(1 + available);
            auto count = buffer_.getn(reinterpret_cast<std::uint8_t*>(piece_.data()) + 1, available).get();
            piece_.resize(1 + count);
        }

        streambuf<std::uint8_t> buffer_;
        std::function<bool(std::string_view)> onBytes_;
        std::function<void(bool)> onEnd_;
        std::uint8_t firstByte_ = 0;
        std::string piece_;
    };

} // namespace

void readChunks(streambuf<std::uint8_t> buffer, std::function<bool(std::string_view)> onBytes, std::function<void(bool)> onEnd)
{
    std::make_shared<ChunkReader>(buffer, std::move(onBytes), std::move(onEnd))->start();
}

} // namespace arbutus::http
