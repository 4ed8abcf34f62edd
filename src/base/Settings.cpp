#include "include/base/Settings.h"

#include <fmt/format.h>
#include <popt.h>

#include <cassert>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

namespace arbutus::base {

std::vector<std::string> splitText(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        auto end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return parts;
}

static std::string variableName(const std::string& name)
{
    std::string variable = "ARBUTUS_";
    for (char c : name)
        variable.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
    return variable;
}

static std::vector<poptOption> optionTable(const std::vector<SettingSpec>& specs)
{
    std::vector<poptOption> table;
    for (std::size_t i = 0; i < specs.size(); ++i)
        table.push_back({ specs[i].name.c_str(), '\0', POPT_ARG_STRING, nullptr, static_cast<int>(i) + 1, specs[i].help.c_str(), "VALUE" });
    table.push_back({ nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr });
    table.push_back(POPT_TABLEEND);
    return table;
}

Result<Settings> Settings::Make(int argc, const char** argv, std::vector<SettingSpec> specs)
{
    Settings settings;
    auto table = optionTable(specs);
    using Context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;
    Context context(poptGetContext(nullptr, argc, argv, table.data(), 0), &poptFreeContext);
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()), &std::free);
        settings.values_[specs[static_cast<std::size_t>(code) - 1].name] = value ? value.get() : "";
    }
    if (code < -1)
        return makeError(ErrorKind::InvalidSetting, fmt::format("{}: {}", poptBadOption(context.get(), 0), poptStrerror(code)));
    while (const char* argument = poptGetArg(context.get()))
        settings.positional_.emplace_back(argument);

    for (const auto& spec : specs) {
        if (settings.values_.count(spec.name))
            continue;
        if (const char* variable = std::getenv(variableName(spec.name).c_str()))
            settings.values_[spec.name] = variable;
        else if (spec.defaultValue)
            settings.values_[spec.name] = *spec.defaultValue;
        else
            return makeError(ErrorKind::InvalidSetting, fmt::format("--{} (or {}) is required: {}", spec.name, variableName(spec.name), spec.help));
    }
    return settings;
}

const std::string& Settings::text(const std::string& name) const
{
    auto it = values_.find(name);
    assert(it != values_.end());
    return it->second;
}

Result<std::int64_t> Settings::integer(const std::string& name, std::int64_t low, std::int64_t high) const
{
    const auto& value = text(name);
    std::int64_t number = 0;
    auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc() || end != value.data() + value.size() || number < low || number > high)
        return makeError(ErrorKind::InvalidSetting, fmt::format("--{} must be a whole number from {} to {}, not \"{}\"", name, low, high, value));
    return number;
}

Result<std::chrono::milliseconds> Settings::milliseconds(const std::string& name, std::chrono::milliseconds low, std::chrono::milliseconds high) const
{
    BOOST_OUTCOME_TRY(count, integer(name, low.count(), high.count()));
    return std::chrono::milliseconds(count);
}

std::vector<std::string> Settings::list(const std::string& name) const { return splitText(text(name), ','); }

Result<std::string> Settings::secretFromFile(const std::string& name) const
{
    std::ifstream file(text(name), std::ios::binary);
    if (!file)
        return makeError(ErrorKind::InvalidSetting, fmt::format("--{} names a file that cannot be read", name));
    std::ostringstream content;
    content << file.rdbuf();
    std::string secret = content.str();
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    if (secret.empty())
        return makeError(ErrorKind::InvalidSetting, fmt::format("--{} names an empty file", name));
    return secret;
}

} // namespace arbutus::base
