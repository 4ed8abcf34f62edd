#include "include/control/Frames.h"

#include "include/base/Logger.h"
#include "src/state/Unpack.h"

#include <msgpack.hpp>

#include <utility>

namespace arbutus::control {

using base::ErrorKind;
using base::makeError;
using base::Result;

static constexpr base::Logger logger("members");

template <typename T>
static std::string pack(const T& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return std::string(buffer.data(), buffer.size());
}

template <typename T>
static Result<T> unpack(std::string_view bytes)
{
    // msgpack throws an exception for every malformed input.
    try {
        return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, state::unpackLimit(bytes.size())).get().as<T>();
    } catch (const std::exception& exception) {
        return makeError(ErrorKind::MalformedFrame, exception.what());
    }
}

using TimestampedParts = std::tuple<std::int64_t, std::uint32_t, std::string>;

std::string packTimestamped(base::HybridTime time, std::string_view body)
{
    return pack(std::make_tuple(time.physical.time_since_epoch().count(), time.logical, body));
}

Result<TimestampedBody> unpackTimestamped(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(parts, unpack<TimestampedParts>(bytes));
    return TimestampedBody { { base::WallTime(std::chrono::microseconds(std::get<0>(parts))), std::get<1>(parts) }, std::move(std::get<2>(parts)) };
}

std::optional<std::string> receiveTimestamped(std::string_view bytes, std::string_view sender, base::Timeline& timeline)
{
    auto timestamped = unpackTimestamped(bytes);
    if (!timestamped) {
        logger.warning("A frame cannot be decoded.", { { "sender", sender }, { "reason", timestamped.error().detail } });
        return std::nullopt;
    }
    timeline.observe(timestamped.value().time);
    return std::move(timestamped.value().body);
}

using FeedParts = std::pair<std::string, std::string>;

std::string packFeedAnswer(const membership::FeedAnswer& answer, const std::optional<state::ConfigurationUpdate>& update)
{
    return pack(FeedParts { membership::encode(answer), update ? state::encodeUpdate(*update) : std::string() });
}

Result<FeedReply> unpackFeedAnswer(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(parts, unpack<FeedParts>(bytes));
    FeedReply reply;
    BOOST_OUTCOME_TRY(answer, membership::decodeFeedAnswer(parts.first));
    reply.answer = answer;
    if (!parts.second.empty()) {
        BOOST_OUTCOME_TRY(update, state::decodeUpdate(parts.second));
        reply.update = std::move(update);
    }
    return reply;
}

std::string packIntroduction(const ReplicaIntroduction& introduction) { return pack(introduction); }

Result<ReplicaIntroduction> unpackIntroduction(std::string_view bytes) { return unpack<ReplicaIntroduction>(bytes); }

std::string packList(const std::vector<std::string>& list) { return pack(list); }

Result<std::vector<std::string>> unpackList(std::string_view bytes) { return unpack<std::vector<std::string>>(bytes); }

} // namespace arbutus::control
