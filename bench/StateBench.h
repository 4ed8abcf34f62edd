#pragma once

namespace arbutus::bench {

// Prints CSV rows "state,<metric>,<size>,<value>,<unit>" to standard output:
// CPU time per command kind; memory per order, audit record and sheet row; size
// and time of snapshots and of the configuration feed.
void benchState();

} // namespace arbutus::bench
