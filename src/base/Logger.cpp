#include "include/base/Logger.h"

#include <array>
#include <atomic>
#include <cstdio>

namespace arbutus::base {

static std::atomic<LogLevel> minimumLevel { LogLevel::Info };

void Logger::setLevel(LogLevel level) { minimumLevel = level; }

// Escapes line breaks, so that a value cannot start a forged log line.
static void appendEscaped(std::string& line, std::string_view value)
{
    for (char c : value) {
        if (c == '\n')
            line += "\\n";
        else if (c == '\r')
            line += "\\r";
        else
            line.push_back(c);
    }
}

void Logger::write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields) const
{
    if (level < minimumLevel.load())
        return;
    static constexpr std::array<std::string_view, 4> names { "debug", "info", "warning", "error" };
    std::string line = fmt::format("{} {}: {}", names[static_cast<std::size_t>(level)], component_, message);
    for (const auto& field : fields) {
        line += fmt::format(" {}=", field.name);
        appendEscaped(line, field.value);
    }
    line.push_back('\n');
    // A single write per line prevents interleaving of lines from different threads.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace arbutus::base
