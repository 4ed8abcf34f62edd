#include "include/http1/Message.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace arbutus::http1 {

static char lower(char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); }

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return lower(a) == lower(b); });
}

const std::string* Fields::find(std::string_view name) const
{
    auto found = std::find_if(fields_.begin(), fields_.end(), [name](const Field& field) { return equalIgnoringCase(field.name, name); });
    return found == fields_.end() ? nullptr : &found->value;
}

static bool containsToken(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        auto comma = std::min(list.find(','), list.size());
        auto item = list.substr(0, comma);
        while (!item.empty() && (item.front() == ' ' || item.front() == '\t'))
            item.remove_prefix(1);
        while (!item.empty() && (item.back() == ' ' || item.back() == '\t'))
            item.remove_suffix(1);
        if (equalIgnoringCase(item, token))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

bool isHopByHopField(std::string_view name, const std::string* connection)
{
    static constexpr std::array<std::string_view, 10> hopByHopFields {
        "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length"
    };
    bool isListed = std::any_of(hopByHopFields.begin(), hopByHopFields.end(), [name](std::string_view hop) { return equalIgnoringCase(hop, name); });
    return isListed || (connection && containsToken(*connection, name));
}

void appendField(std::string& head, std::string_view name, std::string_view value)
{
    head.append(name);
    head.append(": ");
    head.append(value);
    head.append("\r\n");
}

std::string chunkHeader(std::size_t size) { return fmt::format("{:x}\r\n", size); }

std::optional<double> parseDecimal(std::string_view text)
{
    std::string copy(text);
    char* end = nullptr;
    double value = std::strtod(copy.c_str(), &end);
    if (end == copy.c_str())
        return std::nullopt;
    return value;
}

} // namespace arbutus::http1
