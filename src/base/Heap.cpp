#include "include/base/Heap.h"

#include <malloc.h>

namespace arbutus::base {

// Larger blocks are mapped one by one. By default the C library raises its threshold with
// the first large block that is freed, after which bodies of requests fragment the heap.
static constexpr int mappedBlockBytes = 64 << 10;
static constexpr int arenas = 2;

void limitHeapFragmentation()
{
#ifdef __GLIBC__
    ::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
    ::mallopt(M_ARENA_MAX, arenas);
#endif
}

} // namespace arbutus::base
