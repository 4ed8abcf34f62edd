#include "include/state/SheetHistory.h"

#include "src/state/Snapshot.h"

#include <fmt/format.h>

#include <cassert>

namespace arbutus::state {

static SheetRefused makeSheetRefused(base::ErrorKind kind, std::string detail)
{
    SheetRefused result;
    result.refusal = { kind, std::move(detail) };
    return result;
}

Outcome SheetHistory::apply(const ApplySheet& command, base::WallTime now, bool isAuditFull, ConfigurationFeed& feed)
{
    std::vector<sheet::SheetProblem> problems;
    auto parsed = sheet::Sheet::Make(command.csv, &problems);
    if (parsed.has_error()) {
        // The text names only the first problem because the list can be as long as the
        // sheet. The whole list is in `problems`.
        auto result = makeSheetRefused(base::ErrorKind::SheetInvalid, fmt::format("{} problems; the first: {}", problems.size(), toString(problems.front())));
        result.problems = std::move(problems);
        return result;
    }
    sheet::Sheet& sheet = parsed.value();

    if (auto known = revisionByOperatorNumber_.find({ command.operatorName, command.operatorNumber }); known != revisionByOperatorNumber_.end()) {
        const SheetAcceptance& acceptance = acceptances_[static_cast<std::size_t>(known->second - acceptances_.front().revision)];
        if (acceptance.digest == sheet.digest())
            return SheetAccepted { acceptance, true };
        return makeSheetRefused(base::ErrorKind::SheetConflict, fmt::format("{} used number {} for revision {} with another sheet", command.operatorName, command.operatorNumber, acceptance.revision));
    }

    const Configuration& configuration = feed.current();
    if (command.baseRevision != configuration.sheetRevision) {
        auto result = makeSheetRefused(base::ErrorKind::SheetConflict, fmt::format("the sheet is based on revision {}; revision {} is in force", command.baseRevision, configuration.sheetRevision));
        result.conflictingAcceptance = currentAcceptance();
        if (result.conflictingAcceptance)
            result.refusal.detail += fmt::format(", by {} with number {}", result.conflictingAcceptance->operatorName, result.conflictingAcceptance->operatorNumber);
        result.differences = configuration.sheet->diff(sheet);
        result.differenceCount = result.differences.size();
        if (result.differences.size() > limits_.maxReportedDifferences)
            result.differences.resize(limits_.maxReportedDifferences);
        return result;
    }
    if (isAuditFull)
        return makeSheetRefused(base::ErrorKind::StorageFull, "the audit records must be exported and trimmed first");

    SheetAcceptance acceptance { configuration.sheetRevision + 1, command.operatorName, command.operatorNumber, sheet.digest(), now };
    Configuration next = configuration;
    ++next.revision;
    next.sheetRevision = acceptance.revision;
    next.sheet = std::make_shared<const sheet::Sheet>(std::move(sheet));
    feed.advance(std::move(next));
    recordAcceptance(acceptance);
    return SheetAccepted { std::move(acceptance), false };
}

// An operator number can be reused once its acceptance has been dropped. Its old sheet
// cannot be accepted again because the base revision is no longer current.
void SheetHistory::recordAcceptance(SheetAcceptance acceptance)
{
    assert(acceptances_.empty() || acceptances_.back().revision + 1 == acceptance.revision);
    revisionByOperatorNumber_.emplace(OperatorNumber(acceptance.operatorName, acceptance.operatorNumber), acceptance.revision);
    acceptances_.push_back(std::move(acceptance));
    if (acceptances_.size() > limits_.maxSheetAcceptances) {
        revisionByOperatorNumber_.erase({ acceptances_.front().operatorName, acceptances_.front().operatorNumber });
        acceptances_.pop_front();
    }
}

std::optional<SheetAcceptance> SheetHistory::currentAcceptance() const
{
    if (acceptances_.empty())
        return std::nullopt;
    return acceptances_.back();
}

void SheetHistory::save(SnapshotWriter& writer) const { writer.writeAll(acceptances_); }

void SheetHistory::load(SnapshotReader& reader)
{
    reader.readAll([this, &reader] {
        auto acceptance = reader.read<SheetAcceptance>();
        if (!acceptances_.empty() && acceptances_.back().revision + 1 != acceptance.revision)
            throw msgpack::type_error();
        recordAcceptance(std::move(acceptance));
    });
}

} // namespace arbutus::state
