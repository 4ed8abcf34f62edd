#pragma once

namespace arbutus::base {

// Blocks SIGINT and SIGTERM in the calling thread and in threads that it creates
// later, and ignores SIGPIPE. Call this at the start of main().
void blockStopSignals();

// Returns whether a stop signal is pending, that is, waitForStopSignal() would not block.
bool isStopSignalPending();

// Blocks until SIGINT or SIGTERM arrives and returns the signal number.
int waitForStopSignal();

} // namespace arbutus::base
