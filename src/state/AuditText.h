#pragma once

#include "include/state/AuditChain.h"
#include "include/state/Commands.h"
#include "include/state/Outcome.h"

namespace arbutus::state {

// Sets command, actor, subject, result and detail of the record from a command and
// its outcome.
void fillAuditRecord(const CommandBody&, const Outcome&, AuditRecord&);

} // namespace arbutus::state
