#pragma once

namespace arbutus::base {

// Blocks SIGINT and SIGTERM in this thread and in those that it starts later,
// and ignores SIGPIPE. Call it first in main.
void blockStopSignals();

// Whether a stop signal is pending, so that waitForStopSignal() would return at once.
bool isStopSignalPending();

// Waits for SIGINT or SIGTERM and returns its number.
int waitForStopSignal();

} // namespace arbutus::base
