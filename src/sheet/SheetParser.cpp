#include "src/sheet/SheetParser.h"

#include <csv.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <limits>

namespace arbutus::sheet {

const std::string_view headerLine = "kind,team,model,version,adapter,priority,weight,max_running,max_rate,upstreams,service,repeatable,layers";

// Longer fields are reported by length only to keep reports readable.
static constexpr std::size_t maxQuotedBytes = 32;
static constexpr std::int64_t maxPriority = 9;
static constexpr std::int64_t maxRunningLimit = 1'000'000;
static constexpr std::int64_t maxLayers = 10'000;
static constexpr std::int64_t maxDecimalValue = 1'000'000'000;
static constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

enum Column : std::size_t {
    Kind,
    Team,
    Model,
    Version,
    Adapter,
    Priority,
    Weight,
    MaxRunning,
    MaxRate,
    Upstreams,
    Service,
    Repeatable,
    Layers,
    ColumnCount,
};

static constexpr std::array<std::string_view, ColumnCount> columnNames {
    "kind", "team", "model", "version", "adapter", "priority", "weight", "max_running", "max_rate", "upstreams", "service", "repeatable", "layers"
};

static constexpr std::array modelOnlyColumns { Model, Version, Adapter, Priority, Weight, Upstreams, Layers };
static constexpr std::array serviceOnlyColumns { Service, Repeatable };

// Quotes `text` for a message and escapes unprintable bytes.
static std::string printable(std::string_view text)
{
    if (text.size() > maxQuotedBytes)
        return fmt::format("a field of {} bytes", text.size());
    std::string result = "'";
    for (unsigned char byte : text) {
        if (byte >= 0x20 && byte < 0x7f)
            result.push_back(static_cast<char>(byte));
        else
            result += fmt::format("\\x{:02X}", byte);
    }
    return result + "'";
}

static bool isDigit(char c) { return c >= '0' && c <= '9'; }
static bool isNameByte(char c) { return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '.' || c == '_' || c == '-'; }

namespace {

// Converts the fields that libcsv delivers to rows and problems.
class SheetParser {
public:
    ParsedSheet parse(std::string_view csv);

private:
    static void onField(void* data, std::size_t size, void* self) { static_cast<SheetParser*>(self)->addField({ static_cast<const char*>(data), size }); }
    static void onRow(int terminator, void* self) { static_cast<SheetParser*>(self)->endRow(terminator); }

    void addField(std::string_view field) { fields_.emplace_back(field); }
    void endRow(int terminator);
    void readHeader();
    void readRow();
    ModelRow readModel();
    ServiceRow readService();

    const std::string& field(Column column) const { return fields_[fieldIndex_[column]]; }
    void report(Column column, std::string reason) { reportRow(std::string(columnNames[column]), std::move(reason)); }
    void reportRow(std::string column, std::string reason) { result_.problems.push_back({ rowNumber_, std::move(column), std::move(reason) }); }
    template <typename Columns>
    void requireEmpty(const Columns&, std::string_view kind);
    std::string name(Column, bool mayHaveSeparators, bool mayBeEmpty);
    std::uint32_t integer(Column, std::int64_t low, std::int64_t high);
    Decimal decimal(Column);

    ParsedSheet result_;
    std::vector<std::string> fields_;
    // Index of each known column's field in a row.
    std::array<std::size_t, ColumnCount> fieldIndex_ {};
    std::size_t columnCount_ = 0;
    std::size_t rowNumber_ = 1;
    bool hasHeader_ = false;
    bool isHeaderUsable_ = false;
    bool didEndWithCarriageReturn_ = false;
};

} // namespace

ParsedSheet SheetParser::parse(std::string_view csv)
{
    if (csv.size() > maxTextBytes) {
        result_.problems.push_back({ 0, "", fmt::format("the text has {} bytes; at most {} are allowed", csv.size(), maxTextBytes) });
        return std::move(result_);
    }
    if (csv.substr(0, byteOrderMark.size()) == byteOrderMark)
        csv.remove_prefix(byteOrderMark.size());

    csv_parser parser;
    [[maybe_unused]] int initialised = csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
    assert(!initialised);
    std::size_t consumed = csv_parse(&parser, csv.data(), csv.size(), onField, onRow, this);
    bool isComplete = consumed == csv.size() && !csv_fini(&parser, onField, onRow, this);
    if (!isComplete) {
        // libcsv cannot find the next row after a misplaced quote.
        std::string where = consumed == csv.size() ? "a quoted field is not closed" : fmt::format("misplaced quote at byte {}", consumed);
        reportRow("", where + "; this row and those after it were not checked");
    } else if (!hasHeader_) {
        result_.problems.push_back({ 0, "", "the text has no header row" });
    }
    csv_free(&parser);
    return std::move(result_);
}

void SheetParser::endRow(int terminator)
{
    // libcsv reports a CR LF line break as two row ends.
    bool isLineFeedOfCrLf = terminator == '\n' && didEndWithCarriageReturn_ && fields_.empty();
    didEndWithCarriageReturn_ = terminator == '\r';
    if (isLineFeedOfCrLf)
        return;
    bool isBlank = fields_.empty() || (fields_.size() == 1 && fields_[0].empty());
    if (!isBlank) {
        if (!hasHeader_)
            readHeader();
        else if (isHeaderUsable_)
            readRow();
    }
    fields_.clear();
    ++rowNumber_;
}

void SheetParser::readHeader()
{
    hasHeader_ = true;
    columnCount_ = fields_.size();
    std::size_t problemsBefore = result_.problems.size();
    std::array<bool, ColumnCount> isSeen {};
    for (std::size_t i = 0; i < fields_.size(); ++i) {
        const auto* found = std::find(columnNames.begin(), columnNames.end(), fields_[i]);
        if (found == columnNames.end()) {
            reportRow("", fmt::format("column {} is unknown: {}", i + 1, printable(fields_[i])));
            continue;
        }
        auto column = static_cast<std::size_t>(found - columnNames.begin());
        if (isSeen[column])
            report(static_cast<Column>(column), "the column is given twice");
        isSeen[column] = true;
        fieldIndex_[column] = i;
    }
    for (std::size_t column = 0; column < ColumnCount; ++column) {
        if (!isSeen[column])
            report(static_cast<Column>(column), "the column is missing");
    }
    isHeaderUsable_ = result_.problems.size() == problemsBefore;
}

void SheetParser::readRow()
{
    if (fields_.size() != columnCount_) {
        reportRow("", fmt::format("the row has {} fields; the header has {}", fields_.size(), columnCount_));
        return;
    }
    std::size_t problemsBefore = result_.problems.size();
    Row row;
    if (field(Kind) == "model")
        row = readModel();
    else if (field(Kind) == "service")
        row = readService();
    else
        report(Kind, fmt::format("{} is neither 'model' nor 'service'", printable(field(Kind))));
    if (result_.problems.size() == problemsBefore)
        result_.rows.push_back({ rowNumber_, std::move(row) });
}

ModelRow SheetParser::readModel()
{
    requireEmpty(serviceOnlyColumns, "model");
    ModelRow row;
    row.team = name(Team, false, false);
    row.model = name(Model, true, false);
    row.version = name(Version, true, false);
    row.adapter = name(Adapter, true, true);
    row.priority = integer(Priority, 0, maxPriority);
    row.weight = decimal(Weight);
    row.maxRunning = integer(MaxRunning, 1, maxRunningLimit);
    row.maxRate = decimal(MaxRate);
    row.upstreams = name(Upstreams, false, false);
    row.layers = integer(Layers, 1, maxLayers);
    return row;
}

ServiceRow SheetParser::readService()
{
    requireEmpty(modelOnlyColumns, "service");
    ServiceRow row;
    row.team = name(Team, false, false);
    row.service = name(Service, false, false);
    row.maxRunning = integer(MaxRunning, 1, maxRunningLimit);
    row.maxRate = decimal(MaxRate);
    row.isRepeatable = field(Repeatable) == "yes";
    if (!row.isRepeatable && field(Repeatable) != "no")
        report(Repeatable, fmt::format("{} is neither 'yes' nor 'no'", printable(field(Repeatable))));
    return row;
}

template <typename Columns>
void SheetParser::requireEmpty(const Columns& columns, std::string_view kind)
{
    for (Column column : columns) {
        if (!field(column).empty())
            report(column, fmt::format("must be empty in a row of kind {}", kind));
    }
}

std::string SheetParser::name(Column column, bool mayHaveSeparators, bool mayBeEmpty)
{
    const std::string& text = field(column);
    if (text.empty() && !mayBeEmpty)
        report(column, "must not be empty");
    if (text.size() > maxNameBytes) {
        report(column, fmt::format("has {} bytes; at most {} are allowed", text.size(), maxNameBytes));
        return text;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (isNameByte(text[i]) || (mayHaveSeparators && (text[i] == '/' || text[i] == ':')))
            continue;
        report(column, fmt::format("byte {} of {} (0x{:02X}) is not allowed; use letters, digits, '.', '_', '-'{}", i + 1, printable(text), static_cast<unsigned char>(text[i]), mayHaveSeparators ? ", '/', ':'" : ""));
        break;
    }
    return text;
}

std::uint32_t SheetParser::integer(Column column, std::int64_t low, std::int64_t high)
{
    assert(low >= 0 && high <= std::numeric_limits<std::uint32_t>::max());
    const std::string& text = field(column);
    // All limits have at most 10 digits, so the value cannot overflow.
    bool isValid = !text.empty() && text.size() <= 10 && std::all_of(text.begin(), text.end(), isDigit);
    std::int64_t value = 0;
    if (isValid) {
        for (char digit : text)
            value = value * 10 + (digit - '0');
        isValid = value >= low && value <= high;
    }
    if (!isValid) {
        report(column, fmt::format("{} is not a whole number from {} to {}", printable(text), low, high));
        return 0;
    }
    return static_cast<std::uint32_t>(value);
}

Decimal SheetParser::decimal(Column column)
{
    const std::string& text = field(column);
    std::size_t point = std::min(text.find('.'), text.size());
    std::string_view whole = std::string_view(text).substr(0, point);
    std::string_view fraction = point < text.size() ? std::string_view(text).substr(point + 1) : std::string_view();
    bool isValid = !whole.empty() && whole.size() <= 10 && fraction.size() <= 3 && (point == text.size() || !fraction.empty())
        && std::all_of(whole.begin(), whole.end(), isDigit) && std::all_of(fraction.begin(), fraction.end(), isDigit);
    Decimal result;
    if (isValid) {
        for (char digit : whole)
            result.thousandths = result.thousandths * 10 + (digit - '0');
        for (std::size_t i = 0; i < 3; ++i)
            result.thousandths = result.thousandths * 10 + (i < fraction.size() ? fraction[i] - '0' : 0);
        isValid = result.thousandths > 0 && result.thousandths <= maxDecimalValue * 1000;
    }
    if (!isValid)
        report(column, fmt::format("{} is not a number above 0 with at most 3 decimals", printable(text)));
    return result;
}

ParsedSheet parseSheet(std::string_view csv) { return SheetParser().parse(csv); }

} // namespace arbutus::sheet
