#pragma once

namespace arbutus::base {

// Makes the heap return large freed blocks to the system at once and share few arenas, so
// that the resident size follows what the process holds. Call before threads start.
void limitHeapFragmentation();

} // namespace arbutus::base
