#pragma once

#include "include/http1/Message.h"

#include <functional>
#include <memory>

namespace arbutus::http1 {

enum class ReadStatus {
    NeedMore,
    HeadDone,
    Done,
    // The bytes are not a valid HTTP/1 message.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

struct ReadLimits {
    std::uint32_t headBytes = 16 << 10;
    std::uint64_t bodyBytes = std::uint64_t { 4 } << 20;
};

// Incrementally parses one request and buffers its whole body.
class RequestReader {
public:
    explicit RequestReader(const ReadLimits&);
    ~RequestReader();
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;

    // Parses bytes from the front of `bytes` and removes the consumed ones.
    ReadStatus read(std::string& bytes);
    bool isHeadDone() const;
    // Whether the client waits for "100 Continue" before it sends the body.
    bool expectsContinue() const;
    RequestHead& head();
    std::string releaseBody();
    // Returns how much memory the parsed part of the request takes.
    std::size_t heldBytes() const;

private:
    struct Parser;
    // Whether the framing of the body is out of proportion to its size.
    bool isFramingExcessive() const;

    std::unique_ptr<Parser> parser_;
    const ReadLimits limits_;
    std::size_t consumedBytes_ = 0;
};

// Incrementally parses one response and passes its body to a sink as it arrives. A status
// that no answer has, or a line in the head that is no field, makes the response malformed.
class ResponseReader {
public:
    using BodySink = std::function<void(std::string_view)>;

    // `hasNoBody` is true for the response to a HEAD request.
    ResponseReader(bool hasNoBody, BodySink);
    ~ResponseReader();
    ResponseReader(const ResponseReader&) = delete;
    ResponseReader& operator=(const ResponseReader&) = delete;

    // Parses bytes from the front of `bytes` and removes the consumed ones. Returns
    // HeadDone once, when the head is complete; call again for the body.
    ReadStatus read(std::string& bytes);
    // Handles an orderly end of the connection. Returns Done if it completes the message,
    // as for a body with neither a length nor chunks; otherwise Malformed.
    ReadStatus readEof();
    const ResponseHead& head() const;
    bool isHeadDone() const;

private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};

} // namespace arbutus::http1
