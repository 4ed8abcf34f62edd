#include "include/base/RankedMutex.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace arbutus::base {

static std::vector<int>& heldRanks()
{
    thread_local std::vector<int> ranks;
    return ranks;
}

void RankedMutex::lock()
{
    auto& ranks = heldRanks();
    if (!ranks.empty() && ranks.back() >= rank_) {
        std::fprintf(stderr, "error base: Lock order violated. held=%d wanted=%d\n", ranks.back(), rank_);
        std::abort();
    }
    mutex_.lock();
    ranks.push_back(rank_);
}

void RankedMutex::unlock()
{
    // Locks may be released in any order. Removing an element keeps the ranks sorted.
    auto& ranks = heldRanks();
    for (auto it = ranks.rbegin(); it != ranks.rend(); ++it) {
        if (*it == rank_) {
            ranks.erase(std::next(it).base());
            break;
        }
    }
    mutex_.unlock();
}

} // namespace arbutus::base
