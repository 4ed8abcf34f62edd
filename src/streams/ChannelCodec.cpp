#include "include/streams/ChannelCodec.h"

#include <array>
#include <cstring>

namespace arbutus::streams {

using base::ErrorKind;
using base::makeError;
using base::Result;

std::string encodeChannelMessage(const ChannelMessage& message)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(message.index()));
    std::visit([&](const auto& value) { packer.pack(value); }, message);
    return std::string(buffer.data(), buffer.size());
}

template <typename T>
static ChannelMessage convertTo(const msgpack::object& object)
{
    return object.as<T>();
}

using Converter = ChannelMessage (*)(const msgpack::object&);
static constexpr std::array<Converter, std::variant_size_v<ChannelMessage>> converters {
    &convertTo<StageStep>,
    &convertTo<CancelStream>,
    &convertTo<StageResult>,
    &convertTo<EngineLoad>,
};

ChannelDecoder::ChannelDecoder(std::size_t maxMessageBytes)
    : maxMessageBytes_(maxMessageBytes)
    , unpacker_(std::make_unique<msgpack::unpacker>())
{
}

ChannelDecoder::~ChannelDecoder() = default;

void ChannelDecoder::feed(std::string_view bytes)
{
    unpacker_->reserve_buffer(bytes.size());
    std::memcpy(unpacker_->buffer(), bytes.data(), bytes.size());
    unpacker_->buffer_consumed(bytes.size());
    pendingBytes_ += bytes.size();
}

Result<std::optional<ChannelMessage>> ChannelDecoder::next()
{
    // msgpack throws on malformed input.
    try {
        msgpack::object_handle handle;
        if (!unpacker_->next(handle)) {
            if (pendingBytes_ > maxMessageBytes_)
                return makeError(ErrorKind::MalformedFrame, "a channel message is too large");
            return std::optional<ChannelMessage>();
        }
        pendingBytes_ = unpacker_->nonparsed_size();
        const msgpack::object& object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != 2)
            return makeError(ErrorKind::MalformedFrame, "a channel message is not a pair");
        auto index = object.via.array.ptr[0].as<std::uint32_t>();
        if (index >= converters.size())
            return makeError(ErrorKind::MalformedFrame, "a channel message has an unknown type");
        return std::optional<ChannelMessage>(converters[index](object.via.array.ptr[1]));
    } catch (const std::exception& exception) {
        return makeError(ErrorKind::MalformedFrame, exception.what());
    }
}

} // namespace arbutus::streams
