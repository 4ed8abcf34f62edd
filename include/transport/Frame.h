#pragma once

#include "include/base/Error.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::transport {

// The largest frame, counted behind its length field.
constexpr std::size_t maxFrameBytes = 4 << 20;
constexpr std::size_t maxSenderBytes = 64;
// Room for every field besides the body.
constexpr std::size_t maxBodyBytes = maxFrameBytes - 256;

// Whether a frame is an answer or asks for one.
enum class FrameRole : std::uint8_t {
    OneWay,
    Request,
    Response,
};

// One message between two processes of the deployment.
struct Frame {
    // Chosen by the modules that use the transport; 0 is reserved for the handshake.
    std::uint8_t kind = 0;
    FrameRole role = FrameRole::OneWay;
    // The process that made the frame; 1 to maxSenderBytes bytes.
    std::string sender;
    // Rises with every frame in one direction of a connection, starting above 0.
    std::uint64_t sequence = 0;
    // For an answer, the sequence number of the request.
    std::uint64_t requestSequence = 0;
    std::string body;
};

// Why a frame or a connection was dropped.
enum class DropReason : std::uint8_t {
    Oversized,
    Malformed,
    BadDigest,
    Replayed,
    Truncated,
    UnknownSender,
    UnexpectedFrame,
    HandshakeTimeout,
    TooManyConnections,
    SlowReader,
};
constexpr std::size_t dropReasonCount = static_cast<std::size_t>(DropReason::SlowReader) + 1;
std::string_view dropReasonName(DropReason);

// The keys of one connection. Both sides contribute random bytes, so frames of
// another connection or of the other direction do not match.
struct ConnectionKeys {
    std::string client;
    std::string server;
};
constexpr std::size_t challengeBytes = 32;
constexpr std::size_t nonceBytes = 16;
// The key of the client's first frame, which carries its nonce.
std::string helloKey(std::string_view sharedKey, std::string_view challenge);
ConnectionKeys connectionKeys(std::string_view sharedKey, std::string_view challenge, std::string_view nonce);

// Appends the encoded frame to `bytes`: length (4 bytes, big-endian), kind, role,
// sender, sequence, answers, body, HMAC-SHA-256 over all of it with `key`. The
// frame must keep the limits above.
void encodeFrame(std::string& bytes, const Frame&, std::string_view key);

// Takes the bytes of one direction of a connection and returns its frames.
class FrameDecoder {
public:
    // Frames longer than `limit` are refused before their content is stored.
    explicit FrameDecoder(std::string key, std::size_t limit = maxFrameBytes);

    // For the keys agreed on by the handshake. Sequence numbers go on rising.
    void setKey(std::string key, std::size_t limit);

    void feed(std::string_view bytes);

    // Returns the next complete frame, or nothing if more bytes are needed or the
    // stream is at fault.
    std::optional<Frame> next();

    // Once set, no more frames are returned: the place of the next one is unknown.
    std::optional<DropReason> fault() const { return fault_; }
    // Whether the stream would end inside a frame if it ended now.
    bool hasPartialFrame() const { return begin_ < buffer_.size(); }

private:
    std::optional<Frame> fail(DropReason);

    std::string key_;
    std::size_t limit_;
    std::string buffer_;
    // Bytes of `buffer_` before this offset have been returned.
    std::size_t begin_ = 0;
    std::uint64_t lastSequence_ = 0;
    std::optional<DropReason> fault_;
};

} // namespace arbutus::transport
