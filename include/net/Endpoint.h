#pragma once

#include "include/base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace arbutus::net {

// An IPv4 address in host byte order and a port.
struct Endpoint {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    // Parses "10.0.0.1:80". Fails with InvalidRequest.
    static base::Result<Endpoint> Make(std::string_view text);

    std::string ipText() const;
    std::string text() const;
    // An endpoint without an address is unset.
    bool isSet() const { return ip; }

    friend bool operator==(const Endpoint& left, const Endpoint& right) { return left.ip == right.ip && left.port == right.port; }
    friend bool operator!=(const Endpoint& left, const Endpoint& right) { return !(left == right); }
    friend bool operator<(const Endpoint& left, const Endpoint& right) { return std::tie(left.ip, left.port) < std::tie(right.ip, right.port); }
};

// Parses an IPv4 address in dotted notation. Fails with InvalidRequest.
base::Result<std::uint32_t> parseIp(std::string_view text);
std::string ipText(std::uint32_t ip);

} // namespace arbutus::net
