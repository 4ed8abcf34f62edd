#pragma once

#include <cpprest/streams.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace arbutus::http {

// Reads the body of a response in parts of up to 64 KiB.
class ResponseBody : public std::enable_shared_from_this<ResponseBody> {
public:
    using PartHandler = std::function<void(std::optional<std::string>)>;

    explicit ResponseBody(const concurrency::streams::streambuf<std::uint8_t>& buffer)
        : buffer_(buffer)
    {
    }

    // Appends what can be read without waiting.
    void readAvailable(std::string& part);
    // Waits for more and passes it on a thread of the library's pool: an empty part at the
    // end of the body, nullopt if it cannot be read. One call at a time.
    void readNext(PartHandler);

private:
    concurrency::streams::streambuf<std::uint8_t> buffer_;
    std::uint8_t firstByte_ = 0;
};

} // namespace arbutus::http
