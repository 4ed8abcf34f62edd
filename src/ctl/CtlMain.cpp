#include "include/base/Settings.h"
#include "src/ctl/Commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

using namespace arbutus;
using ctl::CommandEntry;
using ctl::ExitCode;

static std::vector<base::SettingSpec> settingSpecs()
{
    return {
        { "entry", "URL of any entry VM", "http://127.0.0.1:8080" },
        { "admin-token-file", "file that contains the admin token", "" },
        { "operator", "name of the operator", std::getenv("USER") ? std::getenv("USER") : "operator" },
        { "number", "the operator's number for this change, reused on a resend", "0" },
        { "base", "sheet revision that the change is based on; defaults to the one in force", "" },
        { "format", "text or json", "text" },
    };
}

static void printUsage()
{
    fmt::print("Usage: arbutusctl [--entry URL] [--admin-token-file FILE] [--json] COMMAND ...\n\n");
    for (const auto& entry : ctl::commands())
        fmt::print("  {:<54} {}\n", fmt::format("{} {}", entry.name, entry.usage), entry.help);
    fmt::print("\nExit codes: 0 success, 1 refused, 2 usage error, 3 unreachable.\n");
}

// Finds the command whose name `words` begin with and sets `wordCount` to the length
// of the name in words. Returns nullptr if there is none.
static const CommandEntry* findCommand(const std::vector<std::string>& words, std::size_t& wordCount)
{
    for (const auto& entry : ctl::commands()) {
        auto names = base::splitText(entry.name, ' ');
        if (words.size() >= names.size() && std::equal(names.begin(), names.end(), words.begin())) {
            wordCount = names.size();
            return &entry;
        }
    }
    return nullptr;
}

// Removes the first occurrence of `flag`. Returns whether it was present.
static bool removeFlag(std::vector<const char*>& arguments, std::string_view flag)
{
    auto it = std::find(arguments.begin(), arguments.end(), flag);
    if (it == arguments.end())
        return false;
    arguments.erase(it);
    return true;
}

static int usageError(const std::string& reason)
{
    fmt::print(stderr, "arbutusctl: {}\n", reason);
    return static_cast<int>(ExitCode::Usage);
}

int main(int argc, const char** argv)
{
    std::vector<const char*> arguments(argv, argv + argc);
    bool printsJson = removeFlag(arguments, "--json");
    bool wantsHelp = removeFlag(arguments, "--help");
    // popt requires a null-terminated argument array.
    int count = static_cast<int>(arguments.size());
    arguments.push_back(nullptr);
    auto settings = base::Settings::Make(count, arguments.data(), settingSpecs());
    if (!settings)
        return usageError(settings.error().detail);

    std::size_t wordCount = 0;
    const auto& words = settings.value().positional();
    const auto* command = findCommand(words, wordCount);
    if (wantsHelp && command) {
        fmt::print("Usage: arbutusctl {} {}\n\n{}.\n", command->name, command->usage, command->help);
        return 0;
    }
    if (wantsHelp || words.empty()) {
        printUsage();
        return wantsHelp ? 0 : static_cast<int>(ExitCode::Usage);
    }
    if (!command)
        return usageError(fmt::format("unknown command {}", words[0]));

    std::vector<std::string> rest(words.begin() + static_cast<std::ptrdiff_t>(wordCount), words.end());
    if (rest.size() < command->minArguments || rest.size() > command->maxArguments)
        return usageError(fmt::format("usage: {} {}", command->name, command->usage));
    auto number = settings.value().integer("number", 0, INT64_MAX);
    if (!number)
        return usageError(number.error().detail);
    std::string token;
    if (!command->isLocal) {
        auto secret = settings.value().secretFromFile("admin-token-file");
        if (!secret)
            return usageError(secret.error().detail);
        token = secret.value();
    }
    ctl::AdminClient client(settings.value().text("entry"), token);
    ctl::CommandContext context { client, token, settings.value().text("operator"), static_cast<std::uint64_t>(number.value()), settings.value().text("base"), printsJson || settings.value().text("format") == "json", rest };
    return static_cast<int>(command->run(context));
}
