#pragma once

#include "include/base/Error.h"
#include "include/streams/Step.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace arbutus::streams {

// A message on the channel between an entry VM and an engine. Engines send results,
// and a load report at least every 500 ms, which also serves as the heartbeat of the
// channel.
using ChannelMessage = std::variant<StageStep, CancelStream, StageResult, EngineLoad>;

std::string encodeChannelMessage(const ChannelMessage&);

// Decodes messages from a byte stream. Not thread-safe.
class ChannelDecoder {
public:
    // A message of more than `maxMessageBytes` is an error.
    explicit ChannelDecoder(std::size_t maxMessageBytes);
    ~ChannelDecoder();

    void feed(std::string_view bytes);

    // Returns the next message, or nullopt if more bytes are needed. Fails with
    // MalformedFrame, after which the channel must be closed.
    base::Result<std::optional<ChannelMessage>> next();

private:
    const std::size_t maxMessageBytes_;
    std::size_t pendingBytes_ = 0;
    std::unique_ptr<msgpack::unpacker> unpacker_;
};

} // namespace arbutus::streams
