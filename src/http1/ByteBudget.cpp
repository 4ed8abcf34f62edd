#include "include/http1/ByteBudget.h"

#include <algorithm>

namespace arbutus::http1 {

void ByteBudget::removeReclaimer(Reclaimer& reclaimer) { reclaimers_.erase(std::remove(reclaimers_.begin(), reclaimers_.end(), &reclaimer), reclaimers_.end()); }

void ByteBudget::reclaimIfExceeded()
{
    if (!isExceeded() || isReclaiming_)
        return;
    isReclaiming_ = true;
    for (auto* reclaimer : reclaimers_) {
        if (!isWithinTarget())
            reclaimer->reclaim();
    }
    isReclaiming_ = false;
}

} // namespace arbutus::http1
