#include "include/consensus/Messages.h"

#include <algorithm>

namespace arbutus::consensus {

bool Configuration::isVoter(const ReplicaKey& key) const
{
    return std::find(voters.begin(), voters.end(), key) != voters.end();
}

bool Configuration::isLearner(const ReplicaKey& key) const
{
    return std::find(learners.begin(), learners.end(), key) != learners.end();
}

template <std::size_t kind = 0>
static MessageBody unpackBody(std::uint64_t kindIndex, const msgpack::object& object)
{
    if constexpr (kind < std::variant_size_v<MessageBody>) {
        if (kind == kindIndex)
            return object.as<std::variant_alternative_t<kind, MessageBody>>();
        return unpackBody<kind + 1>(kindIndex, object);
    } else {
        throw msgpack::type_error();
    }
}

void Message::msgpack_unpack(const msgpack::object& object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != 5)
        throw msgpack::type_error();
    const msgpack::object* fields = object.via.array.ptr;
    fields[0].convert(from);
    fields[1].convert(to);
    fields[2].convert(term);
    body = unpackBody(fields[3].as<std::uint64_t>(), fields[4]);
}

static bool isValid(const Entry& entry) { return entry.kind <= EntryKind::Configuration; }

static bool isValid(const Message& message)
{
    const auto* append = std::get_if<AppendRequest>(&message.body);
    return !append || std::all_of(append->entries.begin(), append->entries.end(), [](const Entry& entry) { return isValid(entry); });
}

template <typename T>
static bool isValid(const T&) { return true; }

template <typename T>
std::string encode(const T& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return std::string(buffer.data(), buffer.size());
}

template <typename T>
base::Result<T> decode(std::string_view bytes)
{
    // Limits array lengths, because msgpack allocates an array before it reads the elements.
    constexpr std::size_t maxDepth = 8;
    const msgpack::unpack_limit limit(maxDecodedArrayLength, 0, maxDecodedBytes, maxDecodedBytes, 0, maxDepth);
    if (bytes.size() > maxDecodedBytes)
        return base::makeError(base::ErrorKind::MalformedFrame, "consensus: encoded value exceeds the size limit");
    try {
        std::size_t offset = 0;
        msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        T value = handle.get().as<T>();
        if (offset == bytes.size() && isValid(value))
            return value;
    } catch (const std::exception&) {
        // msgpack reports malformed input with several unrelated exception types.
    }
    return base::makeError(base::ErrorKind::MalformedFrame, "consensus: malformed encoded value");
}

template std::string encode(const Message&);
template std::string encode(const Entry&);
template std::string encode(const Configuration&);
template std::string encode(const HardState&);
template std::string encode(const SnapshotMeta&);
template base::Result<Message> decode(std::string_view);
template base::Result<Entry> decode(std::string_view);
template base::Result<Configuration> decode(std::string_view);
template base::Result<HardState> decode(std::string_view);
template base::Result<SnapshotMeta> decode(std::string_view);

} // namespace arbutus::consensus
