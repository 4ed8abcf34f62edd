#pragma once

#include "include/base/Error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutus::base {

// Declares a command-line flag and its environment variable.
struct SettingSpec {
    // Flag name without the leading dashes. The environment variable is ARBUTUS_
    // followed by the name in upper case with underscores for dashes.
    std::string name;
    std::string help;
    // Used if neither the flag nor the variable is set. nullopt makes the setting required.
    std::optional<std::string> defaultValue;
};

// The settings of a program, read from flags and environment variables. A flag
// takes precedence over its variable.
class Settings {
public:
    // Parses the command line. Prints help and exits on --help. Fails with
    // InvalidSetting, naming the flag, if a flag is unknown, missing or has no value.
    static Result<Settings> Make(int argc, const char** argv, std::vector<SettingSpec> specs);

    // `name` must be one of the declared settings, here and below.
    const std::string& text(const std::string& name) const;
    // Fails with InvalidSetting if the value is not an integer in [low, high].
    Result<std::int64_t> integer(const std::string& name, std::int64_t low, std::int64_t high) const;
    // Like integer(); the value is in milliseconds.
    Result<std::chrono::milliseconds> milliseconds(const std::string& name, std::chrono::milliseconds low, std::chrono::milliseconds high) const;
    // Splits a comma-separated value. An empty value is an empty list.
    std::vector<std::string> list(const std::string& name) const;
    // Reads a secret from the file whose path is the value of `name` and strips
    // trailing line breaks. Never logs the content. Fails with InvalidSetting if
    // the file is unreadable or empty.
    Result<std::string> secretFromFile(const std::string& name) const;

    // Arguments that are not flags.
    const std::vector<std::string>& positional() const { return positional_; }

private:
    Settings() = default;

    std::map<std::string, std::string> values_;
    std::vector<std::string> positional_;
};

// Splits at each `separator`. A trailing separator adds no empty element.
std::vector<std::string> splitText(std::string_view text, char separator);

} // namespace arbutus::base
