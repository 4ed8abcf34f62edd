#pragma once

#include "include/base/Error.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::transport {

// The maximum size of a frame, without its length field.
constexpr std::size_t maxFrameBytes = 4 << 20;
constexpr std::size_t maxSenderBytes = 64;
// Leaves space for all other fields.
constexpr std::size_t maxBodyBytes = maxFrameBytes - 256;

// Whether a frame is a request, a response or neither.
enum class FrameRole : std::uint8_t {
    OneWay,
    Request,
    Response,
};

// One message between two processes of the deployment.
struct Frame {
    // The message type, defined by the modules that use the transport. 0 is reserved for
    // the handshake.
    std::uint8_t kind = 0;
    FrameRole role = FrameRole::OneWay;
    // The id of the sending process, 1 to maxSenderBytes bytes long.
    std::string sender;
    // Starts above 0 and increases with every frame in one direction of a connection.
    std::uint64_t sequence = 0;
    // In a response, the sequence number of the request.
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

// The keys for the two directions of a connection. Both peers contribute random bytes,
// so frames from another connection or from the other direction fail authentication.
struct ConnectionKeys {
    std::string client;
    std::string server;
};
constexpr std::size_t challengeBytes = 32;
constexpr std::size_t nonceBytes = 16;
// Returns the key of the client's first frame, which contains the client's nonce.
std::string helloKey(std::string_view sharedKey, std::string_view challenge);
ConnectionKeys connectionKeys(std::string_view sharedKey, std::string_view challenge, std::string_view nonce);

// Appends the encoded frame to `bytes`: length (4 bytes, big-endian), kind, role,
// length of the sender, sender, sequence, request sequence, body, and an HMAC-SHA-256 of
// all these fields with `key`. The frame must not exceed the limits above.
void encodeFrame(std::string& bytes, const Frame&, std::string_view key);

// Incrementally decodes and authenticates the frames of one direction of a connection.
class FrameDecoder {
public:
    // Frames whose length field is above `limit` are rejected without waiting for their
    // content.
    explicit FrameDecoder(std::string key, std::size_t limit = maxFrameBytes);

    // Switches to the key and limit that apply after the handshake. Sequence numbers must
    // continue to increase.
    void setKey(std::string key, std::size_t limit);

    // Appends received bytes. Has no effect after a fault.
    void feed(std::string_view bytes);

    // Returns the next complete frame, or nullopt if more bytes are needed or after a
    // fault.
    std::optional<Frame> next();

    // Why decoding has failed. Once set, no more frames are returned, because the start
    // of the next one is unknown.
    std::optional<DropReason> fault() const { return fault_; }
    // Whether the received bytes end inside a frame.
    bool hasPartialFrame() const { return begin_ < buffer_.size(); }

private:
    std::optional<Frame> fail(DropReason);

    std::string key_;
    std::size_t limit_;
    std::string buffer_;
    // The offset in `buffer_` of the first byte that has not been decoded.
    std::size_t begin_ = 0;
    std::uint64_t lastSequence_ = 0;
    std::optional<DropReason> fault_;
};

} // namespace arbutus::transport
