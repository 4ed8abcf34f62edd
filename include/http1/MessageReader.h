#pragma once

#include "include/http1/Message.h"

#include <functional>
#include <memory>

namespace arbutus::http1 {

enum class ReadStatus {
    NeedMore,
    HeadDone,
    Done,
    // The bytes are no message of the protocol.
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

struct ReadLimits {
    std::uint32_t headBytes = 16 << 10;
    std::uint64_t bodyBytes = std::uint64_t { 4 } << 20;
};

// Reads one request and keeps its whole body.
class RequestReader {
public:
    explicit RequestReader(const ReadLimits&);
    ~RequestReader();
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;

    // Takes bytes from the front of `bytes` and removes them from it.
    ReadStatus read(std::string& bytes);
    bool isHeadDone() const;
    // The client waits for "100 Continue" before it sends the body.
    bool expectsContinue() const;
    RequestHead& head();
    std::string releaseBody();

private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};

// Reads one response and hands over its body in parts.
class ResponseReader {
public:
    using BodySink = std::function<void(std::string_view)>;

    // `hasNoBody` is true for the response to a HEAD request.
    ResponseReader(bool hasNoBody, BodySink);
    ~ResponseReader();
    ResponseReader(const ResponseReader&) = delete;
    ResponseReader& operator=(const ResponseReader&) = delete;

    // Returns HeadDone once, when the head is complete; call again for the body.
    ReadStatus read(std::string& bytes);
    // The connection ended in order. Done for a body without a length.
    ReadStatus readEof();
    const ResponseHead& head() const;
    bool isHeadDone() const;
    // No byte of this response has been read.
    bool hasNoBytes() const;

private:
    struct Parser;
    std::unique_ptr<Parser> parser_;
};

} // namespace arbutus::http1
