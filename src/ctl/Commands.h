#pragma once

#include "src/ctl/AdminClient.h"

#include <string>
#include <vector>

namespace arbutus::ctl {

// Exit codes of arbutusctl. Scripts depend on them.
enum class ExitCode {
    Success = 0,
    // The command completed with a negative result: an invalid sheet, a refused change or a lagging VM.
    Refused = 1,
    // The command line or a setting is invalid.
    Usage = 2,
    // The system is unreachable, has no quorum or did not confirm the command.
    Unreachable = 3,
};

// Inputs shared by all commands.
struct CommandContext {
    const AdminClient& client;
    std::string token;
    std::string operatorName;
    // Number that the operator assigns to a change. A resend reuses it.
    std::uint64_t operatorNumber = 0;
    // Sheet revision that a change is based on; empty for the revision in force.
    std::string baseRevision;
    bool printsJson = false;
    // Positional arguments after the command name.
    std::vector<std::string> arguments;
};

// A command of arbutusctl and how to run it.
struct CommandEntry {
    // One or more words separated by spaces, for example "sheet apply".
    const char* name;
    const char* usage;
    const char* help;
    std::size_t minArguments;
    std::size_t maxArguments;
    // Whether the command runs without a connection and a token.
    bool isLocal;
    ExitCode (*run)(const CommandContext&);
};

// Returns all commands. A name precedes every shorter name that is a prefix of it.
const std::vector<CommandEntry>& commands();

} // namespace arbutus::ctl
