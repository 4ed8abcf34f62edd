#include "include/transport/Frame.h"

#include "include/base/Digest.h"

#include <cassert>

namespace arbutus::transport {

static constexpr std::size_t lengthBytes = 4;
static constexpr std::size_t digestBytes = 32;
// Kind, role, length of the sender, sender, sequence, request sequence, digest.
static constexpr std::size_t minFrameBytes = 3 + 1 + 1 + 1 + digestBytes;
static constexpr std::size_t maxVarintBytes = 10;

std::string_view dropReasonName(DropReason reason)
{
    static constexpr std::array<std::string_view, dropReasonCount> names {
        "oversized",
        "malformed",
        "bad-digest",
        "replayed",
        "truncated",
        "unknown-sender",
        "unexpected-frame",
        "handshake-timeout",
        "too-many-connections",
        "slow-reader",
    };
    return names[static_cast<std::size_t>(reason)];
}

std::string helloKey(std::string_view sharedKey, std::string_view challenge)
{
    return base::hmacSha256(sharedKey, std::string("arbutus hello ").append(challenge));
}

ConnectionKeys connectionKeys(std::string_view sharedKey, std::string_view challenge, std::string_view nonce)
{
    std::string salt = std::string(challenge).append(nonce);
    return { base::hmacSha256(sharedKey, "arbutus client " + salt), base::hmacSha256(sharedKey, "arbutus server " + salt) };
}

// Appends a little-endian base-128 varint: most sequence numbers take three bytes instead
// of eight.
static void appendVarint(std::string& bytes, std::uint64_t value)
{
    for (; value >= 0x80; value >>= 7)
        bytes.push_back(static_cast<char>(value | 0x80));
    bytes.push_back(static_cast<char>(value));
}

static bool readVarint(std::string_view& bytes, std::uint64_t& value)
{
    value = 0;
    for (std::size_t i = 0; i < maxVarintBytes && !bytes.empty(); ++i) {
        auto byte = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        value |= static_cast<std::uint64_t>(byte & 0x7f) << (7 * i);
        if (byte < 0x80)
            return true;
    }
    return false;
}

void encodeFrame(std::string& bytes, const Frame& frame, std::string_view key)
{
    assert(!frame.sender.empty() && frame.sender.size() <= maxSenderBytes && frame.body.size() <= maxBodyBytes);
    std::string content;
    content.reserve(minFrameBytes + frame.sender.size() + frame.body.size() + 2 * maxVarintBytes);
    content.append(lengthBytes, '\0');
    content.push_back(static_cast<char>(frame.kind));
    content.push_back(static_cast<char>(frame.role));
    content.push_back(static_cast<char>(frame.sender.size()));
    content += frame.sender;
    appendVarint(content, frame.sequence);
    appendVarint(content, frame.requestSequence);
    content += frame.body;
    std::size_t length = content.size() - lengthBytes + digestBytes;
    assert(length <= maxFrameBytes);
    for (std::size_t i = 0; i < lengthBytes; ++i)
        content[i] = static_cast<char>(length >> (8 * (lengthBytes - 1 - i)));
    bytes += content;
    bytes += base::hmacSha256(key, content);
}

FrameDecoder::FrameDecoder(std::string key, std::size_t limit)
    : key_(std::move(key))
    , limit_(limit)
{
}

void FrameDecoder::setKey(std::string key, std::size_t limit)
{
    key_ = std::move(key);
    limit_ = limit;
}

void FrameDecoder::feed(std::string_view bytes)
{
    if (fault_)
        return;
    buffer_.erase(0, begin_);
    begin_ = 0;
    buffer_ += bytes;
}

std::optional<Frame> FrameDecoder::fail(DropReason reason)
{
    fault_ = reason;
    buffer_.clear();
    begin_ = 0;
    return std::nullopt;
}

std::optional<Frame> FrameDecoder::next()
{
    std::string_view rest = std::string_view(buffer_).substr(begin_);
    if (fault_ || rest.size() < lengthBytes)
        return std::nullopt;
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        length = length << 8 | static_cast<unsigned char>(rest[i]);
    if (length > limit_)
        return fail(DropReason::Oversized);
    if (length < minFrameBytes)
        return fail(DropReason::Malformed);
    if (rest.size() < lengthBytes + length)
        return std::nullopt;
    std::string_view authenticatedBytes = rest.substr(0, lengthBytes + length - digestBytes);
    if (!base::isEqualConstantTime(base::hmacSha256(key_, authenticatedBytes), rest.substr(authenticatedBytes.size(), digestBytes)))
        return fail(DropReason::BadDigest);
    begin_ += lengthBytes + length;

    // The frame is now known to come from a holder of the key.
    std::string_view fields = authenticatedBytes.substr(lengthBytes);
    Frame frame;
    frame.kind = static_cast<std::uint8_t>(fields[0]);
    frame.role = static_cast<FrameRole>(fields[1]);
    auto senderBytes = static_cast<unsigned char>(fields[2]);
    fields.remove_prefix(3);
    if (frame.role > FrameRole::Response || !senderBytes || senderBytes > maxSenderBytes || senderBytes > fields.size())
        return fail(DropReason::Malformed);
    frame.sender = fields.substr(0, senderBytes);
    fields.remove_prefix(senderBytes);
    if (!readVarint(fields, frame.sequence) || !readVarint(fields, frame.requestSequence))
        return fail(DropReason::Malformed);
    if (frame.sequence <= lastSequence_)
        return fail(DropReason::Replayed);
    lastSequence_ = frame.sequence;
    frame.body = fields;
    return frame;
}

} // namespace arbutus::transport
