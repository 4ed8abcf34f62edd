#include "include/routing/ModelCopies.h"

#include <algorithm>
#include <map>

namespace arbutus::routing {

using SharesByStart = std::map<int, std::vector<const EngineShare*>>;

// Returns the engine that continues a copy, or the end of `candidates` if there is none.
static std::vector<const EngineShare*>::iterator findNext(std::vector<const EngineShare*>& candidates, const std::string& dataCentre)
{
    auto local = std::find_if(candidates.begin(), candidates.end(), [&dataCentre](const EngineShare* share) { return share->dataCentre == dataCentre; });
    return local == candidates.end() ? candidates.begin() : local;
}

// Takes the engines of one copy from `free`. Returns them without the last layers if the copy
// cannot be completed.
static std::vector<const EngineShare*> takeChain(SharesByStart& free, const EngineShare& first, int layers)
{
    std::vector<const EngineShare*> chain { &first };
    while (chain.back()->layers.to < layers) {
        auto& candidates = free[chain.back()->layers.to];
        auto next = findNext(candidates, chain.back()->dataCentre);
        if (next == candidates.end())
            break;
        chain.push_back(*next);
        candidates.erase(next);
    }
    return chain;
}

static ModelCopy combine(const std::vector<const EngineShare*>& chain)
{
    ModelCopy copy;
    copy.dataCentre = chain.front()->dataCentre;
    copy.streams = chain.front()->streams;
    for (const auto* share : chain) {
        copy.streams = std::min(copy.streams, share->streams);
        copy.running = std::max(copy.running, share->running);
        copy.tokenTime += share->tokenTime;
        copy.tokenTimePerStream += share->tokenTimePerStream;
        copy.prefillTime += share->prefillTime;
        copy.slowestPrefill = std::max(copy.slowestPrefill, share->prefillTime);
    }
    return copy;
}

std::vector<ModelCopy> findModelCopies(std::vector<EngineShare> shares, int layers)
{
    // Engines with about equal memory form a copy, so the smallest wastes little of the others.
    std::stable_sort(shares.begin(), shares.end(), [](const EngineShare& left, const EngineShare& right) { return left.streams > right.streams; });
    SharesByStart free;
    for (const auto& share : shares) {
        if (share.layers.count() > 0)
            free[share.layers.from].push_back(&share);
    }
    std::vector<ModelCopy> copies;
    for (const auto* first : std::exchange(free[0], {})) {
        auto chain = takeChain(free, *first, layers);
        if (chain.back()->layers.to == layers) {
            copies.push_back(combine(chain));
            continue;
        }
        for (auto share = chain.begin() + 1; share != chain.end(); ++share)
            free[(*share)->layers.from].push_back(*share);
    }
    return copies;
}

} // namespace arbutus::routing
