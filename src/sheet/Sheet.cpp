#include "include/sheet/Sheet.h"

#include "include/base/Digest.h"
#include "src/sheet/SheetParser.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <set>

namespace arbutus::sheet {

static auto tieRow(const ModelRow& row) { return std::tie(row.team, row.model, row.version, row.adapter, row.upstreams, row.weight, row.maxRate, row.priority, row.maxRunning, row.layers); }
static auto tieRow(const ServiceRow& row) { return std::tie(row.team, row.service, row.maxRate, row.maxRunning, row.isRepeatable); }

bool operator==(const ModelRow& left, const ModelRow& right) { return tieRow(left) == tieRow(right); }
bool operator==(const ServiceRow& left, const ServiceRow& right) { return tieRow(left) == tieRow(right); }

static const std::string& nameOf(const ModelRow& row) { return row.model; }
static const std::string& nameOf(const ServiceRow& row) { return row.service; }

template <typename R>
static std::pair<std::string_view, std::string_view> pairOf(const R& row) { return { row.team, nameOf(row) }; }

static RowKey keyOf(const ModelRow& row) { return { false, row.team, row.model }; }
static RowKey keyOf(const ServiceRow& row) { return { true, row.team, row.service }; }

RowKey keyOf(const Row& row)
{
    return std::visit([](const auto& typed) { return keyOf(typed); }, row);
}

static std::string toText(Decimal decimal)
{
    std::string text = fmt::format("{}.{:03}", decimal.thousandths / 1000, decimal.thousandths % 1000);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

// Names consist of bytes that need no quoting.
static std::string toText(const ModelRow& row)
{
    return fmt::format("model,{},{},{},{},{},{},{},{},{},,,{}", row.team, row.model, row.version, row.adapter, row.priority, toText(row.weight), row.maxRunning, toText(row.maxRate), row.upstreams, row.layers);
}

static std::string toText(const ServiceRow& row)
{
    return fmt::format("service,{},,,,,,{},{},,{},{},", row.team, row.maxRunning, toText(row.maxRate), row.service, row.isRepeatable ? "yes" : "no");
}

std::string toText(const Row& row)
{
    return std::visit([](const auto& typed) { return toText(typed); }, row);
}

static base::Error invalidSheet(const std::vector<SheetProblem>& problems)
{
    std::string detail = fmt::format("{} problem{}", problems.size(), problems.size() == 1 ? "" : "s");
    for (const auto& problem : problems)
        detail += "\n" + toString(problem);
    return base::makeError(base::ErrorKind::SheetInvalid, std::move(detail));
}

base::Result<Row> rowFromText(std::string_view line)
{
    ParsedSheet parsed = parseSheet(fmt::format("{}\n{}\n", headerLine, line));
    if (!parsed.problems.empty())
        return invalidSheet(parsed.problems);
    if (parsed.rows.size() != 1)
        return base::makeError(base::ErrorKind::SheetInvalid, fmt::format("expected one row, got {}", parsed.rows.size()));
    return std::move(parsed.rows[0].row);
}

std::string toString(const SheetProblem& problem)
{
    std::string text = problem.row ? fmt::format("row {}", problem.row) : "sheet";
    if (!problem.column.empty())
        text += fmt::format(", column {}", problem.column);
    return text + ": " + problem.reason;
}

RowChange RowDelta::change() const
{
    assert(before || after);
    if (!before)
        return RowChange::Added;
    return after ? RowChange::Changed : RowChange::Removed;
}

RowKey RowDelta::key() const
{
    assert(before || after);
    return keyOf(after ? *after : *before);
}

std::string toString(const RowDelta& delta)
{
    switch (delta.change()) {
    case RowChange::Added:
        return "added: " + toText(*delta.after);
    case RowChange::Removed:
        return "removed: " + toText(*delta.before);
    case RowChange::Changed:
        break;
    }
    return fmt::format("changed: {} to {}", toText(*delta.before), toText(*delta.after));
}

Sheet::Sheet()
    : digest_(base::sha256Hex(canonicalText()))
{
}

// Reports duplicate keys, and every row whose layer count differs from the
// first row of the same model.
static std::vector<SheetProblem> crossCheck(const std::vector<ParsedRow>& rows)
{
    std::vector<SheetProblem> problems;
    std::map<RowKey, std::size_t> rowOfKey;
    std::map<std::string, std::pair<std::uint32_t, std::size_t>> layersOfModel;
    for (const auto& [number, row] : rows) {
        RowKey key = keyOf(row);
        if (auto [first, isNew] = rowOfKey.emplace(key, number); !isNew)
            problems.push_back({ number, key.isService ? "service" : "model", fmt::format("team {} and {} {} already have row {}", key.team, key.isService ? "service" : "model", key.name, first->second) });
        if (const auto* model = std::get_if<ModelRow>(&row)) {
            auto [first, isNew] = layersOfModel.emplace(model->model, std::pair(model->layers, number));
            if (!isNew && first->second.first != model->layers)
                problems.push_back({ number, "layers", fmt::format("model {} has {} layers here and {} in row {}", model->model, model->layers, first->second.first, first->second.second) });
        }
    }
    return problems;
}

base::Result<Sheet> Sheet::Make(std::string_view csv, std::vector<SheetProblem>* problems)
{
    ParsedSheet parsed = parseSheet(csv);
    auto crossProblems = crossCheck(parsed.rows);
    parsed.problems.insert(parsed.problems.end(), crossProblems.begin(), crossProblems.end());
    std::stable_sort(parsed.problems.begin(), parsed.problems.end(), [](const auto& left, const auto& right) { return left.row < right.row; });
    if (problems)
        *problems = parsed.problems;
    if (!parsed.problems.empty())
        return invalidSheet(parsed.problems);
    std::map<RowKey, Row> rows;
    for (auto& parsedRow : parsed.rows) {
        RowKey key = keyOf(parsedRow.row);
        rows.emplace(std::move(key), std::move(parsedRow.row));
    }
    return fromRows(std::move(rows));
}

base::Result<Sheet> Sheet::fromRows(std::map<RowKey, Row> rows)
{
    Sheet sheet;
    sheet.models_.reserve(rows.size());
    for (auto& [key, row] : rows) {
        if (key.isService) {
            sheet.services_.push_back(std::move(std::get<ServiceRow>(row)));
            continue;
        }
        auto& model = std::get<ModelRow>(row);
        auto [known, isNew] = sheet.layers_.emplace(model.model, model.layers);
        if (!isNew && known->second != model.layers)
            return base::makeError(base::ErrorKind::SheetInvalid, fmt::format("model {} has both {} and {} layers", model.model, known->second, model.layers));
        sheet.models_.push_back(std::move(model));
    }
    sheet.models_.shrink_to_fit();
    sheet.services_.shrink_to_fit();
    sheet.digest_ = base::sha256Hex(sheet.canonicalText());
    return sheet;
}

std::string Sheet::canonicalText() const
{
    std::string text(headerLine);
    text += '\n';
    for (const auto& row : models_)
        text += toText(row) + '\n';
    for (const auto& row : services_)
        text += toText(row) + '\n';
    return text;
}

template <typename R>
static const R* findRow(const std::vector<R>& rows, std::string_view team, std::string_view name)
{
    std::pair wanted(team, name);
    auto found = std::lower_bound(rows.begin(), rows.end(), wanted, [](const R& row, const auto& key) { return pairOf(row) < key; });
    return found != rows.end() && pairOf(*found) == wanted ? &*found : nullptr;
}

const ModelRow* Sheet::findModel(std::string_view team, std::string_view model) const { return findRow(models_, team, model); }
const ServiceRow* Sheet::findService(std::string_view team, std::string_view service) const { return findRow(services_, team, service); }

std::optional<Row> Sheet::find(const RowKey& key) const
{
    if (key.isService) {
        if (const auto* row = findService(key.team, key.name))
            return *row;
    } else if (const auto* row = findModel(key.team, key.name)) {
        return *row;
    }
    return std::nullopt;
}

std::vector<std::string> Sheet::teams() const
{
    std::set<std::string> names;
    for (const auto& row : models_)
        names.insert(row.team);
    for (const auto& row : services_)
        names.insert(row.team);
    return { names.begin(), names.end() };
}

template <typename R>
static void appendDiff(const std::vector<R>& left, const std::vector<R>& right, std::vector<RowDelta>& deltas)
{
    auto old = left.begin();
    auto now = right.begin();
    while (old != left.end() || now != right.end()) {
        if (now == right.end() || (old != left.end() && pairOf(*old) < pairOf(*now))) {
            deltas.push_back({ *old++, std::nullopt });
        } else if (old == left.end() || pairOf(*now) < pairOf(*old)) {
            deltas.push_back({ std::nullopt, *now++ });
        } else {
            if (!(*old == *now))
                deltas.push_back({ *old, *now });
            ++old;
            ++now;
        }
    }
}

std::vector<RowDelta> Sheet::diff(const Sheet& other) const
{
    std::vector<RowDelta> deltas;
    appendDiff(models_, other.models_, deltas);
    appendDiff(services_, other.services_, deltas);
    return deltas;
}

base::Result<Sheet> Sheet::apply(const std::vector<RowDelta>& deltas) const
{
    std::map<RowKey, Row> rows;
    for (const auto& row : models_)
        rows.emplace_hint(rows.end(), keyOf(row), row);
    for (const auto& row : services_)
        rows.emplace_hint(rows.end(), keyOf(row), row);
    for (const auto& delta : deltas) {
        RowKey key = delta.key();
        auto found = rows.find(key);
        bool doesMatch = delta.before ? found != rows.end() && found->second == *delta.before && keyOf(*delta.before) == key : found == rows.end();
        if (!doesMatch)
            return base::makeError(base::ErrorKind::SheetConflict, fmt::format("the row of team {} and {} is not the one that the delta changes", key.team, key.name));
        if (delta.after)
            rows.insert_or_assign(key, *delta.after);
        else
            rows.erase(found);
    }
    return fromRows(std::move(rows));
}

} // namespace arbutus::sheet
