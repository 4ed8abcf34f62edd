#pragma once

#include "include/base/Error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutus::base {

// How a setting may be given and what it means.
struct SettingSpec {
    // Name of the flag without dashes; the environment variable is ARBUTUS_ and
    // the name in upper case with underscores.
    std::string name;
    std::string help;
    // Used when neither flag nor variable is given; a setting without a default is required.
    std::optional<std::string> defaultValue;
};

// The checked settings of a program, from flags and environment variables. A
// flag goes before its variable.
class Settings {
public:
    // Parses `argc` and `argv`. Prints help and exits for --help. Fails with
    // InvalidSetting naming the flag when one is unknown, missing or has no value.
    static Result<Settings> Make(int argc, const char** argv, std::vector<SettingSpec> specs);

    const std::string& text(const std::string& name) const;
    Result<std::int64_t> integer(const std::string& name, std::int64_t low, std::int64_t high) const;
    // The value is a whole number of milliseconds.
    Result<std::chrono::milliseconds> milliseconds(const std::string& name, std::chrono::milliseconds low, std::chrono::milliseconds high) const;
    // Comma-separated; empty text is an empty list.
    std::vector<std::string> list(const std::string& name) const;
    // Reads the secret from the file that setting `name` gives. The content is
    // never logged; trailing line breaks are removed.
    Result<std::string> secretFromFile(const std::string& name) const;

    const std::vector<std::string>& positional() const { return positional_; }

private:
    Settings() = default;

    std::map<std::string, std::string> values_;
    std::vector<std::string> positional_;
};

std::vector<std::string> splitText(std::string_view text, char separator);

} // namespace arbutus::base
