#pragma once

#include <fmt/format.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace arbutus::base {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// One key=value pair behind the sentence of a log line.
struct LogField {
    template <typename T>
    LogField(std::string_view fieldName, const T& fieldValue)
        : name(fieldName)
        , value(fmt::format("{}", fieldValue))
    {
    }

    std::string_view name;
    std::string value;
};

// Writes one line per event to standard error: level, the component's prefix, a
// short sentence, then key=value fields. Safe to use from several threads.
class Logger {
public:
    // `part` must outlive the logger; it is a string literal in practice.
    explicit constexpr Logger(std::string_view component)
        : component_(component)
    {
    }

    void debug(std::string_view message, std::initializer_list<LogField> fields = {}) const { write(LogLevel::Debug, message, fields); }
    void info(std::string_view message, std::initializer_list<LogField> fields = {}) const { write(LogLevel::Info, message, fields); }
    void warning(std::string_view message, std::initializer_list<LogField> fields = {}) const { write(LogLevel::Warning, message, fields); }
    void error(std::string_view message, std::initializer_list<LogField> fields = {}) const { write(LogLevel::Error, message, fields); }

    // Lines below `level` are not written, in the whole process.
    static void setLevel(LogLevel level);

private:
    void write(LogLevel, std::string_view message, std::initializer_list<LogField>) const;

    std::string_view component_;
};

} // namespace arbutus::base
