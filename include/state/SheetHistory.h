#pragma once

#include "include/state/Configuration.h"
#include "include/state/Limits.h"
#include "include/state/Outcome.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace arbutus::state {

// Decides which sheets are accepted and records the acceptances.
class SheetHistory {
public:
    explicit SheetHistory(const Limits& limits)
        : limits_(limits)
    {
    }

    // Checks, in this order: validity, resend of an accepted sheet, reuse of an
    // operator number, base revision, capacity of the audit chain. Advances `feed` if
    // the sheet is accepted. Returns SheetAccepted or SheetRefused.
    Outcome apply(const ApplySheet&, base::WallTime now, bool isAuditFull, ConfigurationFeed& feed);

    // Returns the acceptance of the sheet in force, or nullopt before the first.
    std::optional<SheetAcceptance> currentAcceptance() const;

    void save(SnapshotWriter&) const;
    void load(SnapshotReader&);

private:
    using OperatorNumber = std::pair<std::string, std::uint64_t>;

    void recordAcceptance(SheetAcceptance);

    const Limits& limits_;
    // Oldest first.
    std::deque<SheetAcceptance> acceptances_;
    // Sheet revision of each acceptance, which gives its position in acceptances_.
    std::map<OperatorNumber, std::uint64_t> revisionByOperatorNumber_;
};

} // namespace arbutus::state
