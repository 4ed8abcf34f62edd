#pragma once

#include "src/ctl/AdminClient.h"

#include <string>
#include <vector>

namespace arbutus::ctl {

// Exit codes, for scripts.
enum class ExitCode {
    Success = 0,
    // The command was carried out and its answer is a refusal: an invalid sheet, a refused change.
    Refused = 1,
    // The command line or a setting is wrong.
    Usage = 2,
    // The system could not be reached or gave no answer.
    Unreachable = 3,
};

// What every command gets.
struct CommandContext {
    const AdminClient& client;
    std::string token;
    std::string operatorName;
    std::uint64_t operatorNumber = 0;
    // The sheet revision that a change was made from; absent for the one in force.
    std::string baseRevision;
    bool printsJson = false;
    // What follows the command's words.
    std::vector<std::string> arguments;
};

struct CommandEntry {
    const char* name;
    const char* usage;
    const char* help;
    std::size_t minArguments;
    std::size_t maxArguments;
    // Whether it works without a connection.
    bool isLocal;
    ExitCode (*run)(const CommandContext&);
};

const std::vector<CommandEntry>& commands();

} // namespace arbutus::ctl
