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

// Prints rows with aligned columns, each as wide as its longest cell.
void printTable(const std::vector<std::vector<std::string>>& rows);

// Returns the field as text, or an empty string if it is absent. Values other than
// strings are serialized as JSON.
std::string textOf(const web::json::value& object, const std::string& field);

} // namespace arbutus::ctl
