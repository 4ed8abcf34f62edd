#pragma once

#include "include/base/Error.h"
#include "include/streams/Step.h"

#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace arbutus::streams {

// Everything that travels on a channel between an entry VM and an engine.
// Engines send results, and a load report at least every 500 ms, which also
// shows that the channel is alive.
using ChannelMessage = std::variant<StageStep, CancelStream, StageResult, EngineLoad>;

std::string encodeChannelMessage(const ChannelMessage&);

// Cuts a byte stream back into messages. Not thread-safe.
class ChannelDecoder {
public:
    // A message that grows beyond `maximumBytes` is an error.
    explicit ChannelDecoder(std::size_t maxMessageBytes);
    ~ChannelDecoder();

    void feed(std::string_view bytes);

    // Returns the next message, none when more bytes are needed, or
    // MalformedFrame, after which the channel has to be closed.
    base::Result<std::optional<ChannelMessage>> next();

private:
    const std::size_t maxMessageBytes_;
    std::size_t pendingBytes_ = 0;
    std::unique_ptr<msgpack::unpacker> unpacker_;
};

} // namespace arbutus::streams
