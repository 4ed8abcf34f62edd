#include "include/fleet/FleetMessages.h"

namespace arbutus::fleet {

static constexpr std::size_t maxDepth = 6;
static constexpr std::size_t maxElements = std::size_t { 1 } << 16;

template <typename T>
std::string encode(const T& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return { buffer.data(), buffer.size() };
}

template <typename T>
base::Result<T> decode(std::string_view bytes)
{
    try {
        msgpack::unpack_limit limit(maxElements, maxElements, bytes.size(), bytes.size(), bytes.size(), maxDepth);
        return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit)->template as<T>();
    } catch (const std::exception&) {
        return base::makeError(base::ErrorKind::MalformedFrame, "the fleet message cannot be decoded");
    }
}

template std::string encode(const FleetPoll&);
template std::string encode(const FleetAnswer&);
template std::string encode(const LoadUpdate&);
template std::string encode(const JoinRequest&);
template std::string encode(const LeaveRequest&);
template std::string encode(const LeaveAnswer&);
template std::string encode(const UpstreamProcess&);
template std::string encode(const DepartureAnswer&);
template base::Result<FleetPoll> decode(std::string_view);
template base::Result<FleetAnswer> decode(std::string_view);
template base::Result<LoadUpdate> decode(std::string_view);
template base::Result<JoinRequest> decode(std::string_view);
template base::Result<LeaveRequest> decode(std::string_view);
template base::Result<LeaveAnswer> decode(std::string_view);
template base::Result<UpstreamProcess> decode(std::string_view);
template base::Result<DepartureAnswer> decode(std::string_view);

} // namespace arbutus::fleet
