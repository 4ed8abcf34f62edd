#pragma once

#include "include/sheet/Sheet.h"

#include <string>
#include <string_view>
#include <vector>

namespace arbutus::sheet {

extern const std::string_view headerLine;

struct ParsedRow {
    // Row number; the header is row 1.
    std::size_t number = 0;
    Row row;
};

struct ParsedSheet {
    std::vector<ParsedRow> rows;
    std::vector<SheetProblem> problems;
};

// Parses `csv` and checks each row on its own. `rows` contains the rows without problems.
ParsedSheet parseSheet(std::string_view csv);

} // namespace arbutus::sheet
