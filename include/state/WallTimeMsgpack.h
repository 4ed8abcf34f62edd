#pragma once

#include "include/base/Time.h"

#include <msgpack.hpp>

#include <cstdint>

// Encodes wall time as a whole number of microseconds. The msgpack adaptor for time
// points accepts several encodings of the same time and can overflow on untrusted
// input.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template <>
    struct as<arbutus::base::WallTime> {
        arbutus::base::WallTime operator()(const msgpack::object& object) const
        {
            return arbutus::base::WallTime(std::chrono::microseconds(object.as<std::int64_t>()));
        }
    };

    template <>
    struct convert<arbutus::base::WallTime> {
        const msgpack::object& operator()(const msgpack::object& object, arbutus::base::WallTime& time) const
        {
            time = object.as<arbutus::base::WallTime>();
            return object;
        }
    };

    template <>
    struct pack<arbutus::base::WallTime> {
        template <typename Stream>
        packer<Stream>& operator()(msgpack::packer<Stream>& packer, const arbutus::base::WallTime& time) const
        {
            return packer.pack(static_cast<std::int64_t>(time.time_since_epoch().count()));
        }
    };

    } // namespace adaptor
}
} // namespace msgpack
