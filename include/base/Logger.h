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

// A key=value pair that follows the message of a log line.
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

// Writes one line per event to standard error: level, component, message and
// key=value fields. Thread-safe.
class Logger {
public:
    // `component` must outlive the logger, for example a string literal.
    explicit constexpr Logger(std::string_view component)
        : component_(component)
    {
    }

    void debug(std::string_view message, std::initializer_list<LogField> fields = {}) const { write(LogLevel::Debug, message, fields); }
    void info(std::string_view message, std::initializer_list<LogField> fields = {}) const { write(LogLevel::Info, message, fields); }
    void warning(std::string_view message, std::initializer_list<LogField> fields = {}) const { write(LogLevel::Warning, message, fields); }
    void error(std::string_view message, std::initializer_list<LogField> fields = {}) const { write(LogLevel::Error, message, fields); }

    // Sets the minimum level for the whole process. Lines below `level` are discarded.
    static void setLevel(LogLevel level);

private:
    void write(LogLevel, std::string_view message, std::initializer_list<LogField>) const;

    std::string_view component_;
};

} // namespace arbutus::base
