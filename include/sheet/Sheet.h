#pragma once

#include "include/base/Error.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace arbutus::sheet {

// Maximum size of a sheet's text. 1,100 teams with 24 models each need about 2.1 MB,
// and the command that carries the text must fit in a frame of 4 MiB.
constexpr std::size_t maxTextBytes = std::size_t { 3 } << 20;
constexpr std::size_t maxNameBytes = 64;

// A decimal number with three fractional digits, stored as an integer so that
// rounding cannot make replicas or canonical texts differ.
struct Decimal {
    std::int64_t thousandths = 0;

    double value() const { return static_cast<double>(thousandths) / 1000.0; }
    friend bool operator==(Decimal left, Decimal right) { return left.thousandths == right.thousandths; }
};

struct ModelRow {
    std::string team;
    std::string model;
    std::string version;
    // Empty if the team uses the base model.
    std::string adapter;
    // Class of upstreams that may run the model for this team.
    std::string upstreams;
    Decimal weight;
    // Requests per second.
    Decimal maxRate;
    std::uint32_t priority = 0;
    std::uint32_t maxRunning = 0;
    std::uint32_t layers = 0;
};

struct ServiceRow {
    std::string team;
    std::string service;
    // Requests per second.
    Decimal maxRate;
    std::uint32_t maxRunning = 0;
    bool isRepeatable = false;
};

bool operator==(const ModelRow&, const ModelRow&);
bool operator==(const ServiceRow&, const ServiceRow&);

using Row = std::variant<ModelRow, ServiceRow>;

// Identifies a row. A sheet has at most one row per team and model, and one per team
// and service.
struct RowKey {
    bool isService = false;
    std::string team;
    // Name of the model or of the service.
    std::string name;

    friend bool operator<(const RowKey& left, const RowKey& right)
    {
        return std::tie(left.isService, left.team, left.name) < std::tie(right.isService, right.team, right.name);
    }
    friend bool operator==(const RowKey& left, const RowKey& right)
    {
        return std::tie(left.isService, left.team, left.name) == std::tie(right.isService, right.team, right.name);
    }
};

RowKey keyOf(const Row&);

// Returns the row as one line of canonical CSV without a line break.
std::string toText(const Row&);

// Parses a line written by toText(). Fails with SheetInvalid.
base::Result<Row> rowFromText(std::string_view line);

// A validation error in a sheet.
struct SheetProblem {
    // Row number; the header is row 1. 0 if the problem concerns the whole text.
    std::size_t row = 0;
    // Empty if the problem concerns the whole row.
    std::string column;
    std::string reason;
};

std::string toString(const SheetProblem&);

enum class RowChange {
    Added,
    Removed,
    Changed,
};

// The difference of one row between two sheets. At least one of `before` and `after`
// is present.
struct RowDelta {
    std::optional<Row> before;
    std::optional<Row> after;

    RowChange change() const;
    RowKey key() const;
};

// Returns a description for operators, such as "added: model,team,name,...".
std::string toString(const RowDelta&);

// The validated, immutable content of a sheet.
class Sheet {
public:
    // Creates a sheet without rows.
    Sheet();

    // Parses CSV. Fails with SheetInvalid and a detail that lists all problems;
    // `problems`, if given, receives the same list.
    static base::Result<Sheet> Make(std::string_view csv, std::vector<SheetProblem>* problems = nullptr);

    // Returns the header and the rows, sorted by kind, team and name.
    std::string canonicalText() const;
    // SHA-256 of the canonical text in hexadecimal.
    const std::string& digest() const { return digest_; }

    // Return nullptr if the sheet has no such row. The pointer is valid as long as the sheet.
    const ModelRow* findModel(std::string_view team, std::string_view model) const;
    const ServiceRow* findService(std::string_view team, std::string_view service) const;
    std::optional<Row> find(const RowKey&) const;

    // Sorted by team, then by model or service.
    const std::vector<ModelRow>& modelRows() const { return models_; }
    const std::vector<ServiceRow>& serviceRows() const { return services_; }
    std::size_t rowCount() const { return models_.size() + services_.size(); }

    std::vector<std::string> teams() const;
    // Maps each model to its layer count.
    const std::map<std::string, std::uint32_t>& models() const { return layers_; }

    // Returns the deltas that turn this sheet into `other`, sorted by key.
    std::vector<RowDelta> diff(const Sheet& other) const;

    // Returns a copy with `deltas` applied. Fails with SheetConflict if the `before`
    // row of a delta does not match this sheet, and with SheetInvalid if a model would
    // have two layer counts.
    base::Result<Sheet> apply(const std::vector<RowDelta>& deltas) const;

private:
    // Computes the layer counts and the digest of a sheet with sorted rows. Fails with
    // SheetInvalid if a model has two layer counts.
    static base::Result<Sheet> finalize(Sheet);

    std::vector<ModelRow> models_;
    std::vector<ServiceRow> services_;
    std::map<std::string, std::uint32_t> layers_;
    std::string digest_;
};

} // namespace arbutus::sheet
