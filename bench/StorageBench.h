#pragma once

// Prints CSV: commits a second and latency of a commit against the number of
// records that share a sync, then restart time against the length of the log. Uses
// real files under TMPDIR.
void benchStorage();
