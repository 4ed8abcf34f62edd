#include "src/ctl/Output.h"

#include <fmt/format.h>

#include <algorithm>

namespace arbutus::ctl {

ExitCode reportError(const base::Error& error)
{
    fmt::print(stderr, "arbutusctl: {}\n", error.detail);
    bool isUnreachable = error.kind == base::ErrorKind::NoUpstream || error.kind == base::ErrorKind::NoQuorum || error.kind == base::ErrorKind::CommandUnconfirmed;
    return isUnreachable ? ExitCode::Unreachable : ExitCode::Refused;
}

void printJson(const web::json::value& value) { fmt::print("{}\n", value.serialize()); }

void printTable(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += i + 1 < row.size() ? fmt::format("{:<{}}  ", row[i], widths[i]) : row[i];
        fmt::print("{}\n", line);
    }
}

std::string textOf(const web::json::value& object, const std::string& field)
{
    if (!object.has_field(field))
        return {};
    const auto& value = object.at(field);
    return value.is_string() ? value.as_string() : value.serialize();
}

} // namespace arbutus::ctl
