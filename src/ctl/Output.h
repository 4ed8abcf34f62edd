#pragma once

#include "include/base/Error.h"
#include "src/ctl/Commands.h"

#include <cpprest/json.h>

#include <string>
#include <vector>

namespace arbutus::ctl {

// Prints `error` to standard error and returns the exit code for its kind.
ExitCode reportError(const base::Error& error);

void printJson(const web::json::value&);

// Prints columns of equal width.
void printTable(const std::vector<std::vector<std::string>>& rows);

// Returns the field as text, empty when it is absent.
std::string textOf(const web::json::value& object, const std::string& field);

} // namespace arbutus::ctl
