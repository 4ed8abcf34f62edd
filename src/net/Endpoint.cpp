#include "include/net/Endpoint.h"

#include <fmt/format.h>

#include <charconv>

namespace arbutus::net {

template <typename Number>
static bool parseNumber(std::string_view text, Number& number)
{
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

base::Result<std::uint32_t> parseIp(std::string_view text)
{
    std::uint32_t ip = 0;
    auto rest = text;
    for (int part = 0; part < 4; ++part) {
        auto dot = rest.find('.');
        bool isLast = part == 3;
        std::uint8_t byte = 0;
        if ((dot == std::string_view::npos) != isLast || !parseNumber(rest.substr(0, dot), byte))
            return base::makeError(base::ErrorKind::InvalidRequest, fmt::format("'{}' is not an IPv4 address", text));
        ip = (ip << 8) | byte;
        if (!isLast)
            rest.remove_prefix(dot + 1);
    }
    return ip;
}

std::string ipText(std::uint32_t ip) { return fmt::format("{}.{}.{}.{}", ip >> 24, (ip >> 16) & 0xff, (ip >> 8) & 0xff, ip & 0xff); }

base::Result<Endpoint> Endpoint::Make(std::string_view text)
{
    auto colon = text.rfind(':');
    Endpoint result;
    if (colon == std::string_view::npos || !parseNumber(text.substr(colon + 1), result.port))
        return base::makeError(base::ErrorKind::InvalidRequest, fmt::format("'{}' is not an address with a port", text));
    BOOST_OUTCOME_TRY(ip, parseIp(text.substr(0, colon)));
    result.ip = ip;
    return result;
}

std::string Endpoint::ipText() const { return net::ipText(ip); }
std::string Endpoint::text() const { return fmt::format("{}:{}", ipText(), port); }

} // namespace arbutus::net
