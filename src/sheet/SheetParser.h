#pragma once

#include "include/sheet/Sheet.h"

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::sheet {

extern const std::string_view headerLine;

struct ParsedRow {
    // The header is row 1.
    std::size_t number = 0;
    Row row;
};

struct ParsedSheet {
    std::vector<ParsedRow> rows;
    std::vector<SheetProblem> problems;
};

// Parses and checks `csv`. `rows` holds the rows without a problem of their own.
ParsedSheet parseSheet(std::string_view csv);

} // namespace arbutus::sheet
