#pragma once

// Prints CSV: commits per second and commit latency by the number of records per
// sync, then restart time by log length. Uses real files under TMPDIR.
void benchStorage();
