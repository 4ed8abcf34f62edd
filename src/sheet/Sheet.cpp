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
static std::pair<std::string_view, std::string_view> sortKey(const R& row) { return { row.team, nameOf(row) }; }

static RowKey keyOf(const ModelRow& row) { return { false, row.team, row.model }; }
static RowKey keyOf(const ServiceRow& row) { return { true, row.team, row.service }; }

RowKey keyOf(const Row& row)
{
    return std::visit([](const auto& typed) { return keyOf(typed); }, row);
}

static void append(std::string& text, Decimal decimal)
{
    text += std::to_string(decimal.thousandths / 1000);
    if (auto fraction = decimal.thousandths % 1000) {
        std::string digits = std::to_string(1000 + fraction);
        digits.erase(digits.find_last_not_of('0') + 1);
        text += '.';
        text.append(digits, 1);
    }
}

// Names contain only bytes that need no quoting.
static void append(std::string& text, const ModelRow& row)
{
    text += "model,";
    for (const auto* name : { &row.team, &row.model, &row.version, &row.adapter }) {
        text += *name;
        text += ',';
    }
    text += std::to_string(row.priority);
    text += ',';
    append(text, row.weight);
    text += ',';
    text += std::to_string(row.maxRunning);
    text += ',';
    append(text, row.maxRate);
    text += ',';
    text += row.upstreams;
    text += ",,,";
    text += std::to_string(row.layers);
}

static void append(std::string& text, const ServiceRow& row)
{
    text += "service,";
    text += row.team;
    text += ",,,,,,";
    text += std::to_string(row.maxRunning);
    text += ',';
    append(text, row.maxRate);
    text += ",,";
    text += row.service;
    text += row.isRepeatable ? ",yes," : ",no,";
}

std::string toText(const Row& row)
{
    std::string text;
    std::visit([&text](const auto& typed) { append(text, typed); }, row);
    return text;
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

// Reports duplicate keys and rows whose layer count differs from that of the first
// row of the same model.
static std::vector<SheetProblem> checkAcrossRows(const std::vector<ParsedRow>& rows)
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
    auto acrossRowProblems = checkAcrossRows(parsed.rows);
    parsed.problems.insert(parsed.problems.end(), acrossRowProblems.begin(), acrossRowProblems.end());
    std::stable_sort(parsed.problems.begin(), parsed.problems.end(), [](const auto& left, const auto& right) { return left.row < right.row; });
    if (problems)
        *problems = parsed.problems;
    if (!parsed.problems.empty())
        return invalidSheet(parsed.problems);
    Sheet sheet;
    for (auto& [number, row] : parsed.rows) {
        if (auto* model = std::get_if<ModelRow>(&row))
            sheet.models_.push_back(std::move(*model));
        else
            sheet.services_.push_back(std::move(std::get<ServiceRow>(row)));
    }
    auto isBefore = [](const auto& left, const auto& right) { return sortKey(left) < sortKey(right); };
    std::sort(sheet.models_.begin(), sheet.models_.end(), isBefore);
    std::sort(sheet.services_.begin(), sheet.services_.end(), isBefore);
    return finalize(std::move(sheet));
}

base::Result<Sheet> Sheet::finalize(Sheet sheet)
{
    sheet.models_.shrink_to_fit();
    sheet.services_.shrink_to_fit();
    for (const auto& row : sheet.models_) {
        auto [known, isNew] = sheet.layers_.emplace(row.model, row.layers);
        if (!isNew && known->second != row.layers)
            return base::makeError(base::ErrorKind::SheetInvalid, fmt::format("model {} has both {} and {} layers", row.model, known->second, row.layers));
    }
    sheet.digest_ = base::sha256Hex(sheet.canonicalText());
    return sheet;
}

std::string Sheet::canonicalText() const
{
    std::string text(headerLine);
    text += '\n';
    for (const auto& row : models_) {
        append(text, row);
        text += '\n';
    }
    for (const auto& row : services_) {
        append(text, row);
        text += '\n';
    }
    return text;
}

template <typename R>
static const R* findRow(const std::vector<R>& rows, std::string_view team, std::string_view name)
{
    std::pair wanted(team, name);
    auto found = std::lower_bound(rows.begin(), rows.end(), wanted, [](const R& row, const auto& key) { return sortKey(row) < key; });
    return found != rows.end() && sortKey(*found) == wanted ? &*found : nullptr;
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
        if (now == right.end() || (old != left.end() && sortKey(*old) < sortKey(*now))) {
            deltas.push_back({ *old++, std::nullopt });
        } else if (old == left.end() || sortKey(*now) < sortKey(*old)) {
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

// Deltas of one kind of row as pairs of `before` and `after`, sorted by key.
template <typename R>
using TypedDeltas = std::map<std::pair<std::string_view, std::string_view>, std::pair<const R*, const R*>>;

template <typename R>
static const R* typedRow(const std::optional<Row>& row) { return row ? std::get_if<R>(&*row) : nullptr; }

// Returns false if the two rows of `delta` differ in kind or key, or if `deltas`
// already contains the key.
template <typename R>
static bool addDelta(const RowDelta& delta, TypedDeltas<R>& deltas)
{
    const R* before = typedRow<R>(delta.before);
    const R* after = typedRow<R>(delta.after);
    bool hasMatchingTypes = (before != nullptr) == delta.before.has_value() && (after != nullptr) == delta.after.has_value();
    if (!hasMatchingTypes || (before && after && sortKey(*before) != sortKey(*after)))
        return false;
    return deltas.emplace(sortKey(before ? *before : *after), std::pair(before, after)).second;
}

// Merges `deltas` into `rows`; both are sorted. Returns nullopt if a delta does not
// match its row.
template <typename R>
static std::optional<std::vector<R>> mergeDeltas(const std::vector<R>& rows, const TypedDeltas<R>& deltas)
{
    std::vector<R> result;
    result.reserve(rows.size() + deltas.size());
    auto row = rows.begin();
    for (const auto& [key, sides] : deltas) {
        const auto& [before, after] = sides;
        for (; row != rows.end() && sortKey(*row) < key; ++row)
            result.push_back(*row);
        bool isPresent = row != rows.end() && sortKey(*row) == key;
        if (before ? !isPresent || !(*row == *before) : isPresent)
            return std::nullopt;
        if (isPresent)
            ++row;
        if (after)
            result.push_back(*after);
    }
    result.insert(result.end(), row, rows.end());
    return result;
}

base::Result<Sheet> Sheet::apply(const std::vector<RowDelta>& deltas) const
{
    TypedDeltas<ModelRow> modelDeltas;
    TypedDeltas<ServiceRow> serviceDeltas;
    bool isConsistent = true;
    for (const auto& delta : deltas)
        isConsistent = (delta.key().isService ? addDelta(delta, serviceDeltas) : addDelta(delta, modelDeltas)) && isConsistent;
    auto models = mergeDeltas(models_, modelDeltas);
    auto services = mergeDeltas(services_, serviceDeltas);
    if (!isConsistent || !models || !services)
        return base::makeError(base::ErrorKind::SheetConflict, "a delta does not match the row that it changes");
    Sheet sheet;
    sheet.models_ = std::move(*models);
    sheet.services_ = std::move(*services);
    return finalize(std::move(sheet));
}

} // namespace arbutus::sheet
