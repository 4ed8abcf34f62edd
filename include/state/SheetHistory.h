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

// Decides which sheets are accepted, and remembers the acceptances.
class SheetHistory {
public:
    explicit SheetHistory(const Limits& limits)
        : limits_(limits)
    {
    }

    // Applies the checks in the order of the design: validity, resend of an
    // accepted sheet, reuse of an operator's number, base revision. On
    // acceptance `feed` advances.
    Outcome apply(const ApplySheet&, base::WallTime now, bool isAuditFull, ConfigurationFeed& feed);

    // The acceptance of the sheet in force; absent before the first.
    std::optional<SheetAcceptance> currentAcceptance() const;

    void save(SnapshotWriter&) const;
    void load(SnapshotReader&);

private:
    using OperatorNumber = std::pair<std::string, std::uint64_t>;

    void recordAcceptance(SheetAcceptance);

    const Limits& limits_;
    // Oldest first.
    std::deque<SheetAcceptance> acceptances_;
    // The place of an acceptance, as its sheet revision.
    std::map<OperatorNumber, std::uint64_t> revisionByOperatorNumber_;
};

} // namespace arbutus::state
